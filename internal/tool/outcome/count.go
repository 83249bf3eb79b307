package outcome

import (
	"cmp"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"time"

	"hyssopreach/internal/tool/trace"
)

const (
	eventRouted  = "RequestRouted"
	eventRefused = "RequestRefused"
)

// Floors says how the operators judge which requests are served too rarely.
type Floors struct {
	// OutputWeight is the weight of a token of the answer in the size of a request, by
	// which the requests of a class are ordered.
	OutputWeight int64
	// A part of prompts must have been requested MinPartRequests times, over at least
	// MinPartSpan, to count as requested throughout.
	MinPartRequests int
	MinPartSpan     time.Duration
}

// causePattern finds the cause in the detail of a refusal.
var causePattern = regexp.MustCompile(`\(cause=([A-Za-z]+)`)

// notAllowed holds the statuses of refused requests that the configuration does not
// allow.
var notAllowed = map[string]bool{"401": true, "403": true, "404": true}

// request is what identifies a request in the logs of routers.
type request struct {
	organisation, class       string
	inputTokens, outputTokens int64
}

// size is the size by which the requests of a class are ordered.
func (r *request) size(f *Floors) int64 { return r.inputTokens + f.OutputWeight*r.outputTokens }

// tally is what became of the attempts of a request.
type tally struct {
	routed, refused int
	// causes counts the refusals by their cause.
	causes map[string]int
}

// part is a part of the prompts of a class: one that requests share, or one of a
// session.
type part struct {
	class, id string
	shared    bool
}

// partTally is what became of the attempts with a part.
type partTally struct {
	first, last      time.Time
	attempts, routed int
}

// Counter counts the attempts that logs name.
type Counter struct {
	floors   Floors
	requests map[request]*tally
	parts    map[part]*partTally
	// Unparsed is the number of lines that could not be parsed.
	Unparsed int
}

// NewCounter returns a Counter that has read no log.
func NewCounter(f Floors) *Counter {
	return &Counter{floors: f, requests: make(map[request]*tally), parts: make(map[part]*partTally)}
}

// ReadFile counts the attempts in the log at the path.
func (c *Counter) ReadFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("count outcomes: %w", err)
	}
	unparsed, err := trace.Read(file, path, c.add)
	// The file was only read, so that a failure to close it loses no data.
	_ = file.Close()
	c.Unparsed += unparsed
	if err != nil {
		return fmt.Errorf("count outcomes: %w", err)
	}
	return nil
}

func (c *Counter) add(l *trace.Line) {
	if l.Message != eventRouted && l.Message != eventRefused {
		return
	}
	id := request{organisation: l.Get("Organisation"), class: l.Get("Class")}
	if id.class == "" || notAllowed[l.Get("Status")] {
		return
	}
	// Requests without a prompt have no numbers of tokens.
	id.inputTokens, _ = strconv.ParseInt(l.Get("InputTokens"), 10, 64)
	id.outputTokens, _ = strconv.ParseInt(l.Get("OutputTokens"), 10, 64)
	t := c.requests[id]
	if t == nil {
		t = &tally{causes: make(map[string]int)}
		c.requests[id] = t
	}
	c.addPart(part{id.class, l.Get("SharedPart"), true}, l)
	c.addPart(part{id.class, l.Get("OwnPart"), false}, l)
	if l.Message == eventRouted {
		t.routed++
		return
	}
	t.refused++
	t.causes[causeOf(l)]++
}

func (c *Counter) addPart(id part, l *trace.Line) {
	if id.id == "" {
		return
	}
	t := c.parts[id]
	if t == nil {
		t = &partTally{first: l.At, last: l.At}
		c.parts[id] = t
	}
	// The logs of several routers are read one after the other.
	if l.At.Before(t.first) {
		t.first = l.At
	}
	if l.At.After(t.last) {
		t.last = l.At
	}
	t.attempts++
	if l.Message == eventRouted {
		t.routed++
	}
}

// PartOutcome is the number of parts of prompts that were requested throughout, and
// of those for which no request was served.
type PartOutcome struct{ Requested, NeverServed int }

// Parts returns the outcome of the parts of a class: of those that requests share, or
// of those of sessions.
func (c *Counter) Parts(class string, shared bool) PartOutcome {
	var o PartOutcome
	for id, t := range c.parts {
		if id.class != class || id.shared != shared || t.attempts < c.floors.MinPartRequests || t.last.Sub(t.first) < c.floors.MinPartSpan {
			continue
		}
		o.Requested++
		if t.routed == 0 {
			o.NeverServed++
		}
	}
	return o
}

// causeOf returns the cause of a refusal: the one that the scheduler stated, or the
// step at which the request was refused.
func causeOf(l *trace.Line) string {
	if m := causePattern.FindStringSubmatch(l.Get("Detail")); m != nil {
		return m[1]
	}
	return l.Get("Step")
}

// Group is the outcome of a group of requests.
type Group struct {
	Requests, Served int
	// Refusals counts the refused attempts by cause.
	Refusals map[string]int
}

// ServedShare returns the part of the requests that was served, 0 to 1.
func (g *Group) ServedShare() float64 { return float64(g.Served) / float64(max(g.Requests, 1)) }

func (g *Group) add(t *tally) {
	if g.Refusals == nil {
		g.Refusals = make(map[string]int)
	}
	g.Requests++
	if t.routed > 0 {
		g.Served++
	}
	for cause, n := range t.causes {
		g.Refusals[cause] += n
	}
}

// ClassOutcome is the outcome of the requests of one class, in total and for each
// tenth of them by size, the smallest first.
type ClassOutcome struct {
	Class  string
	All    Group
	Tenths [10]Group
	// LargestIn is the size of the largest request of each tenth.
	LargestIn [10]int64
}

// Classes returns the outcomes of all classes, by name.
func (c *Counter) Classes() []ClassOutcome {
	byClass := make(map[string][]request)
	for r := range c.requests {
		byClass[r.class] = append(byClass[r.class], r)
	}
	var outcomes []ClassOutcome
	for class, requests := range byClass {
		slices.SortFunc(requests, func(a, b request) int {
			return cmp.Or(cmp.Compare(a.size(&c.floors), b.size(&c.floors)), cmp.Compare(a.inputTokens, b.inputTokens), cmp.Compare(a.organisation, b.organisation))
		})
		o := ClassOutcome{Class: class}
		for i := range requests {
			tenth := i * len(o.Tenths) / len(requests)
			t := c.requests[requests[i]]
			o.All.add(t)
			o.Tenths[tenth].add(t)
			o.LargestIn[tenth] = requests[i].size(&c.floors)
		}
		outcomes = append(outcomes, o)
	}
	slices.SortFunc(outcomes, func(a, b ClassOutcome) int { return cmp.Compare(a.Class, b.Class) })
	return outcomes
}

// LargestTenth returns the part served of the largest tenth of the requests.
func (o *ClassOutcome) LargestTenth() float64 { return o.Tenths[len(o.Tenths)-1].ServedShare() }

// FifthBelow returns the part served of the fifth below the largest tenth.
func (o *ClassOutcome) FifthBelow() float64 {
	a, b := &o.Tenths[len(o.Tenths)-2], &o.Tenths[len(o.Tenths)-3]
	return float64(a.Served+b.Served) / float64(max(a.Requests+b.Requests, 1))
}

// OrganisationOutcome is the outcome of the requests of one organisation.
type OrganisationOutcome struct {
	Organisation string
	All          Group
}

// Organisations returns the outcomes of all organisations, the least served first.
func (c *Counter) Organisations() []OrganisationOutcome {
	groups := make(map[string]*Group)
	for r, t := range c.requests {
		if r.organisation == "" {
			continue
		}
		g := groups[r.organisation]
		if g == nil {
			g = &Group{}
			groups[r.organisation] = g
		}
		g.add(t)
	}
	var outcomes []OrganisationOutcome
	for name, g := range groups {
		outcomes = append(outcomes, OrganisationOutcome{name, *g})
	}
	slices.SortFunc(outcomes, func(a, b OrganisationOutcome) int {
		return cmp.Or(cmp.Compare(a.All.ServedShare(), b.All.ServedShare()), cmp.Compare(a.Organisation, b.Organisation))
	})
	return outcomes
}
