package placement

import (
	"fmt"
	"slices"
	"time"
)

// plan is one round over the engines whose reports are fresh.
type plan struct {
	*Planner
	now     time.Time
	engines []*Engine
	// busy are the engines that are loading, or were ordered in this round.
	busy map[*Engine]bool
}

func (p *Planner) newPlan(now time.Time) *plan {
	l := &plan{Planner: p, now: now, busy: map[*Engine]bool{}}
	for i := range p.engines {
		e := &p.engines[i]
		if !e.Leaving && now.Sub(e.MeasuredAt) < reportLife {
			l.engines = append(l.engines, e)
		}
	}
	return l
}

// restate gives an engine that differs from its last order that order again:
// it has lost the order, has started anew, or has obeyed an older holder.
func (l *plan) restate() {
	for _, e := range l.engines {
		last := l.ordered[e.ID]
		if last == nil {
			continue
		}
		switch {
		case !last.given && l.wouldStrand(e, last.models):
			l.ordered[e.ID] = nil
			l.out = append(l.out, Withdraw{Engine: e.ID})
		case !last.given:
			l.busy[e] = true
			l.drained(l.now, e, last)
		case sameModels(e.Loaded, last.models):
			if !last.done {
				l.out = append(l.out, Withdraw{Engine: e.ID})
			}
			last.done = true
		case !last.done && l.now.Sub(last.at) < restateEvery:
			l.busy[e] = true // it is loading
		case l.wouldStrand(e, last.models):
			// What was ordered would now unload a last copy with work.
			l.ordered[e.ID] = nil
		default:
			l.busy[e] = true
			l.give(l.now, e, last.models, "Restated", "Reported", names(e.Loaded))
		}
	}
}

// update replaces models whose version or adapters differ from the text, one
// engine at a time for each model, and removes what the text no longer names.
func (l *plan) update() {
	for i := range l.models {
		m := &l.models[i]
		wanted := wantedForm(m)
		if l.changing(m.Name) {
			continue
		}
		for _, e := range l.engines {
			at := slices.IndexFunc(e.Loaded, func(o LoadedModel) bool { return o.Name == m.Name })
			if at < 0 || sameModel(e.Loaded[at], wanted) || l.busy[e] || l.loading() >= maxLoading {
				continue
			}
			models := slices.Clone(e.Loaded)
			models[at] = wanted
			if l.wouldStrand(e, models) {
				l.spare(e, m)
				continue
			}
			l.order(e, models, "Updated", "Model", m.Name, "Version", m.Version)
			break
		}
	}
	for _, e := range l.engines {
		known := slices.DeleteFunc(slices.Clone(e.Loaded), func(o LoadedModel) bool { return l.model(o.Name) == nil })
		if len(known) < len(e.Loaded) && !l.busy[e] {
			l.order(e, known, "RemovedFromText")
		}
	}
}

// changing reports whether an engine is busy with an order that names the
// model.
func (l *plan) changing(model string) bool {
	for e := range l.busy {
		last := l.ordered[e.ID]
		if last != nil && slices.ContainsFunc(last.models, func(o LoadedModel) bool { return o.Name == model }) {
			return true
		}
	}
	return false
}

// spare loads the wanted form of a model on another engine, so that its only
// copy can be replaced later.
func (l *plan) spare(only *Engine, m *Model) {
	for _, e := range l.engines {
		if e != only && !l.busy[e] && len(e.Loaded) < e.Slots && !holds(e, m.Name) {
			l.order(e, append(slices.Clone(e.Loaded), wantedForm(m)), "SpareForUpdate", "Model", m.Name)
			return
		}
	}
}

// replicate brings each model to the number of copies that the text asks for.
func (l *plan) replicate() {
	for i := range l.models {
		m := &l.models[i]
		waiting, _ := l.load(l.now, m.Name)
		least := m.MinReplicas
		if waiting > 0 {
			least = max(least, 1)
		}
		if l.copies(m.Name) < least {
			l.place(m, "TooFewCopies", true)
		}
	}
}

// place loads a model where there is a free slot, or else in place of the
// model with the least demand per copy that can spare one.
func (l *plan) place(m *Model, reason string, urgent bool) bool {
	if l.loading() >= maxLoading {
		return false
	}
	for _, e := range l.engines {
		if !l.busy[e] && !holds(e, m.Name) && len(e.Loaded) < e.Slots {
			l.order(e, append(slices.Clone(e.Loaded), wantedForm(m)), reason, "Model", m.Name, "Demand", l.demandOf(m.Name))
			return true
		}
	}
	if !urgent {
		return false
	}
	if e, out := l.victim(m); e != nil {
		l.replace(e, out, m, reason)
		return true
	}
	return false
}

// victim finds the copy that is least missed: of the model with the least
// demand per copy, and one more than the text asks for.
func (l *plan) victim(m *Model) (*Engine, string) {
	var best *Engine
	var out string
	var least float64
	for _, e := range l.engines {
		if l.busy[e] || holds(e, m.Name) {
			continue
		}
		for _, o := range e.Loaded {
			known := l.model(o.Name)
			copies := l.copies(o.Name)
			if known == nil || copies <= known.MinReplicas || l.wouldStrand(e, without(e.Loaded, o.Name)) {
				continue
			}
			share := l.mean[o.Name] / float64(copies)
			if best == nil || share < least {
				best, out, least = e, o.Name, share
			}
		}
	}
	return best, out
}

func (l *plan) replace(e *Engine, out string, in *Model, reason string) {
	models := append(without(e.Loaded, out), wantedForm(in))
	l.order(e, models, reason, "Model", in.Name, "Demand", l.demandOf(in.Name), "Unloaded", out, "UnloadedDemand", l.demandOf(out))
}

// followDemand adds a copy of the model with the most demand per copy. Free
// slots are used at once; a swap must have been due for several rounds, and
// the engine must have been left alone for a while.
func (l *plan) followDemand() {
	var in *Model
	var most float64
	for i := range l.models {
		m := &l.models[i]
		share := l.mean[m.Name] / float64(max(l.copies(m.Name), 1))
		if l.mean[m.Name] > 1 && l.copies(m.Name) < len(l.engines) && share > most {
			in, most = m, share
		}
	}
	if in == nil || l.loading() >= maxLoading {
		l.due, l.rounds = swap{}, 0
		return
	}
	if l.place(in, "DemandWithFreeSlot", false) {
		return
	}
	e, out := l.victim(in)
	if e == nil || !l.worthwhile(in, out) {
		l.due, l.rounds = swap{}, 0
		return
	}
	next := swap{in: in.Name, out: out}
	if next != l.due {
		l.due, l.rounds = next, 0
	}
	l.rounds++
	last := l.ordered[e.ID]
	if l.rounds < patience || last != nil && l.now.Sub(last.at) < settle {
		return
	}
	l.due, l.rounds = swap{}, 0
	l.replace(e, out, in, "Demand")
}

// worthwhile compares the demand per copy after a swap: the model that gains
// must still have clearly more than the one that loses, or the next round
// would swap back.
func (l *plan) worthwhile(in *Model, out string) bool {
	gains := l.mean[in.Name] / float64(l.copies(in.Name)+1)
	loses := l.mean[out] / float64(max(l.copies(out)-1, 1))
	return gains > swapRatio*loses
}

func (l *plan) order(e *Engine, models []LoadedModel, reason string, fields ...string) {
	l.busy[e] = true
	l.give(l.now, e, models, reason, fields...)
}

// wouldStrand reports whether an engine that holds only the given models would
// take away the last copy of one that has work.
func (l *plan) wouldStrand(e *Engine, models []LoadedModel) bool {
	for _, o := range e.Loaded {
		kept := slices.ContainsFunc(models, func(k LoadedModel) bool { return sameModel(k, o) })
		if kept || l.model(o.Name) == nil {
			continue
		}
		_, work := l.load(l.now, o.Name)
		if work > 0 && l.copiesBeside(e, o.Name) == 0 {
			return true
		}
	}
	return false
}

// copiesBeside counts the copies of a model on other engines that are not
// about to change.
func (l *plan) copiesBeside(e *Engine, model string) int {
	n := 0
	for _, o := range l.engines {
		if o != e && !l.busy[o] && holds(o, model) {
			n++
		}
	}
	return n
}

// copies counts the engines that hold a model or have been told to.
func (l *plan) copies(model string) int {
	n := 0
	for _, e := range l.engines {
		last := l.ordered[e.ID]
		told := l.busy[e] && last != nil
		if told && slices.ContainsFunc(last.models, func(o LoadedModel) bool { return o.Name == model }) || !told && holds(e, model) {
			n++
		}
	}
	return n
}

func (l *plan) loading() int { return len(l.busy) }

func (l *plan) model(name string) *Model {
	for i := range l.models {
		if l.models[i].Name == name {
			return &l.models[i]
		}
	}
	return nil
}

func (l *plan) demandOf(model string) string { return fmt.Sprintf("%.1f", l.mean[model]) }

func wantedForm(m *Model) LoadedModel {
	return LoadedModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters}
}

func holds(e *Engine, model string) bool {
	return slices.ContainsFunc(e.Loaded, func(o LoadedModel) bool { return o.Name == model })
}

func without(models []LoadedModel, name string) []LoadedModel {
	return slices.DeleteFunc(slices.Clone(models), func(o LoadedModel) bool { return o.Name == name })
}
