package placement

import (
	"fmt"
	"slices"
	"time"
)

// plan is one planning round over the engines with a fresh report.
type plan struct {
	*Planner
	now     time.Time
	engines []*Engine
	// busy holds the engines that are loading, that wait for a drain, or that were
	// ordered in this round.
	busy map[*Engine]bool
}

func (p *Planner) newPlan(now time.Time) *plan {
	l := &plan{Planner: p, now: now, busy: map[*Engine]bool{}}
	for i := range p.engines {
		e := &p.engines[i]
		if !e.Leaving && now.Sub(e.MeasuredAt) < maxReportAge {
			l.engines = append(l.engines, e)
		}
	}
	return l
}

// restateOrders repeats the last order to an engine that does not match it: the
// engine missed the order, has restarted, or has followed an order of an
// earlier lease holder. It also sends announced orders that are due, and marks
// the orders that the engines' reports confirm.
func (l *plan) restateOrders() {
	for _, e := range l.engines {
		last := l.lastOrders[e.ID]
		if last == nil {
			continue
		}
		switch {
		case !last.sent && l.removesLastCopy(e, last.models):
			l.lastOrders[e.ID] = nil
			l.outputs = append(l.outputs, Withdraw{Engine: e.ID}) // cancels the withdrawal
		case !last.sent:
			l.busy[e] = true
			l.sendWhenDrained(l.now, e, last)
		case sameModels(e.Loaded, last.models):
			if !last.confirmed {
				l.outputs = append(l.outputs, Withdraw{Engine: e.ID}) // cancels the withdrawal
			}
			last.confirmed = true
		case !last.confirmed && l.now.Sub(last.at) < restateInterval:
			l.busy[e] = true // the engine is loading
		case l.removesLastCopy(e, last.models):
			// The order would now unload the last copy of a model with work.
			l.lastOrders[e.ID] = nil
		default:
			l.busy[e] = true
			l.announceOrSend(l.now, e, last.models, "Restated", "Reported", formatModels(e.Loaded))
		}
	}
}

// updateModels replaces models whose version or adapters differ from the text,
// on one engine at a time for each model, and unloads models that are no longer
// in the text.
func (l *plan) updateModels() {
	for i := range l.models {
		m := &l.models[i]
		target := targetModel(m)
		if l.changeInProgress(m.Name) {
			continue
		}
		for _, e := range l.engines {
			at := slices.IndexFunc(e.Loaded, func(o LoadedModel) bool { return o.Name == m.Name })
			if at < 0 || sameModel(e.Loaded[at], target) || l.busy[e] || l.busyEngines() >= maxLoading {
				continue
			}
			models := slices.Clone(e.Loaded)
			models[at] = target
			if l.removesLastCopy(e, models) {
				l.loadSpare(e, m)
				continue
			}
			l.orderModels(e, models, "Updated", "Model", m.Name, "Version", m.Version)
			break
		}
	}
	for _, e := range l.engines {
		modelsInText := slices.DeleteFunc(slices.Clone(e.Loaded), func(o LoadedModel) bool { return l.modelByName(o.Name) == nil })
		if len(modelsInText) < len(e.Loaded) && !l.busy[e] {
			l.orderModels(e, modelsInText, "RemovedFromText")
		}
	}
}

// changeInProgress reports whether a busy engine's last order contains the
// model.
func (l *plan) changeInProgress(model string) bool {
	for e := range l.busy {
		last := l.lastOrders[e.ID]
		if last != nil && slices.ContainsFunc(last.models, func(o LoadedModel) bool { return o.Name == model }) {
			return true
		}
	}
	return false
}

// loadSpare loads the model as specified in the text on an engine other than the
// current one, so that the current, only copy can be replaced later.
func (l *plan) loadSpare(current *Engine, m *Model) {
	for _, e := range l.engines {
		if e != current && !l.busy[e] && len(e.Loaded) < e.Slots && !hasModel(e, m.Name) {
			l.orderModels(e, append(slices.Clone(e.Loaded), targetModel(m)), "SpareForUpdate", "Model", m.Name)
			return
		}
	}
}

// addMissingCopies adds a copy of each model that has fewer copies than the
// text requires, or none although requests wait.
func (l *plan) addMissingCopies() {
	for i := range l.models {
		m := &l.models[i]
		waiting, _ := l.demandFor(l.now, m.Name)
		required := m.MinReplicas
		if waiting > 0 {
			required = max(required, 1)
		}
		if l.copies(m.Name) < required {
			l.addCopy(m, "TooFewCopies", true)
		}
	}
}

// addCopy loads a model into a free slot. If there is none and the copy is
// urgent, the copy replaces that of another model.
func (l *plan) addCopy(m *Model, reason string, urgent bool) bool {
	if l.busyEngines() >= maxLoading {
		return false
	}
	for _, e := range l.engines {
		if !l.busy[e] && !hasModel(e, m.Name) && len(e.Loaded) < e.Slots {
			l.orderModels(e, append(slices.Clone(e.Loaded), targetModel(m)), reason, "Model", m.Name, "Demand", l.formatDemand(m.Name))
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

// victim chooses the copy to replace: a copy of the model with the lowest
// demand per copy, among models with more copies than the text requires. The
// last copy of a model with work is never chosen.
func (l *plan) victim(m *Model) (*Engine, string) {
	var best *Engine
	var out string
	var least float64
	for _, e := range l.engines {
		if l.busy[e] || hasModel(e, m.Name) {
			continue
		}
		for _, o := range e.Loaded {
			model := l.modelByName(o.Name)
			copies := l.copies(o.Name)
			if model == nil || copies <= model.MinReplicas || l.removesLastCopy(e, withoutModel(e.Loaded, o.Name)) {
				continue
			}
			perCopy := l.meanDemand[o.Name] / float64(copies)
			if best == nil || perCopy < least {
				best, out, least = e, o.Name, perCopy
			}
		}
	}
	return best, out
}

func (l *plan) replace(e *Engine, out string, in *Model, reason string) {
	models := append(withoutModel(e.Loaded, out), targetModel(in))
	l.orderModels(e, models, reason, "Model", in.Name, "Demand", l.formatDemand(in.Name), "Unloaded", out, "UnloadedDemand", l.formatDemand(out))
}

// followDemand adds a copy of the model with the highest demand per copy. Free
// slots are used at once. A swap is made only after it was due in minSwapRounds
// consecutive rounds, and only on an engine without a change within
// minChangeInterval.
func (l *plan) followDemand() {
	var in *Model
	var most float64
	for i := range l.models {
		m := &l.models[i]
		perCopy := l.meanDemand[m.Name] / float64(max(l.copies(m.Name), 1))
		if l.meanDemand[m.Name] > 1 && l.copies(m.Name) < len(l.engines) && perCopy > most {
			in, most = m, perCopy
		}
	}
	if in == nil || l.busyEngines() >= maxLoading {
		l.pendingSwap, l.swapRounds = swap{}, 0
		return
	}
	if l.addCopy(in, "DemandWithFreeSlot", false) {
		return
	}
	e, out := l.victim(in)
	if e == nil || !l.worthwhile(in, out) {
		l.pendingSwap, l.swapRounds = swap{}, 0
		return
	}
	next := swap{in: in.Name, out: out}
	if next != l.pendingSwap {
		l.pendingSwap, l.swapRounds = next, 0
	}
	l.swapRounds++
	last := l.lastOrders[e.ID]
	if l.swapRounds < minSwapRounds || last != nil && l.now.Sub(last.at) < minChangeInterval {
		return
	}
	l.pendingSwap, l.swapRounds = swap{}, 0
	l.replace(e, out, in, "Demand")
}

// worthwhile reports whether the demand per copy after a swap justifies it. The
// model that gains a copy must still have more than minSwapRatio times the
// demand per copy of the model that loses one, or the next round would swap
// back.
func (l *plan) worthwhile(in *Model, out string) bool {
	gains := l.meanDemand[in.Name] / float64(l.copies(in.Name)+1)
	loses := l.meanDemand[out] / float64(max(l.copies(out)-1, 1))
	return gains > minSwapRatio*loses
}

func (l *plan) orderModels(e *Engine, models []LoadedModel, reason string, fields ...string) {
	l.busy[e] = true
	l.announceOrSend(l.now, e, models, reason, fields...)
}

// removesLastCopy reports whether restricting an engine to the given models
// would remove the last copy of a model with work.
func (l *plan) removesLastCopy(e *Engine, models []LoadedModel) bool {
	for _, o := range e.Loaded {
		remains := slices.ContainsFunc(models, func(k LoadedModel) bool { return sameModel(k, o) })
		if remains || l.modelByName(o.Name) == nil {
			continue
		}
		_, work := l.demandFor(l.now, o.Name)
		if work > 0 && l.otherCopies(e, o.Name) == 0 {
			return true
		}
	}
	return false
}

// otherCopies counts the copies of a model on other engines that are not busy.
func (l *plan) otherCopies(e *Engine, model string) int {
	n := 0
	for _, o := range l.engines {
		if o != e && !l.busy[o] && hasModel(o, model) {
			n++
		}
	}
	return n
}

// copies counts the engines that hold a model, or are ordered to hold it.
func (l *plan) copies(model string) int {
	n := 0
	for _, e := range l.engines {
		last := l.lastOrders[e.ID]
		changing := l.busy[e] && last != nil
		if changing && slices.ContainsFunc(last.models, func(o LoadedModel) bool { return o.Name == model }) || !changing && hasModel(e, model) {
			n++
		}
	}
	return n
}

func (l *plan) busyEngines() int { return len(l.busy) }

func (l *plan) modelByName(name string) *Model {
	for i := range l.models {
		if l.models[i].Name == name {
			return &l.models[i]
		}
	}
	return nil
}

func (l *plan) formatDemand(model string) string { return fmt.Sprintf("%.1f", l.meanDemand[model]) }

func targetModel(m *Model) LoadedModel {
	return LoadedModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters}
}

func hasModel(e *Engine, model string) bool {
	return slices.ContainsFunc(e.Loaded, func(o LoadedModel) bool { return o.Name == model })
}

func withoutModel(models []LoadedModel, name string) []LoadedModel {
	return slices.DeleteFunc(slices.Clone(models), func(o LoadedModel) bool { return o.Name == name })
}
