package overload

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// targetLateness is the lateness up to which nothing more is rejected. It is
	// well below the shortest latency objective of the callers, 100 ms.
	targetLateness = 40 * time.Millisecond
	// riseStep is added to the fraction with a sample that is late by twice the
	// target, in proportion to the excess for other samples, and at most
	// maxRise. Each sample that is not late subtracts fallStep.
	riseStep, maxRise, fallStep = 0.05, 0.15, 0.02
	// sampleInterval is the time between two samples of a process that is on time, and
	// maxSamples bounds the number that a late one stands for.
	sampleInterval, maxSamples = 50 * time.Millisecond, 4
	// maxFraction leaves some connections, by whose requests the router learns
	// who still calls it.
	maxFraction = 0.99
	// evenPart is the part of the connections that are not rejected that is divided
	// evenly between organisations.
	evenPart = 0.25
	// offeredWeight is the weight of the newest sample in the mean number of
	// connections that an organisation opens between two samples. An organisation
	// below minOffered is forgotten.
	offeredWeight, minOffered = 0.2, 0.01
	// clearlyMore is the ratio from which on an organisation counts as receiving more
	// than another one. Rates of other routers are up to a second old.
	clearlyMore = 1.25
)

// Unknown stands for the organisation of connections whose callers are not known.
const Unknown = ""

// Controller holds the fraction of new connections to reject, and how it is
// divided between organisations.
type Controller struct {
	mu       sync.Mutex
	fraction float64 // guarded by mu
	// organisations are those that have lately opened connections while some were
	// rejected. Guarded by mu.
	organisations map[string]*organisation
}

// organisation is the state of one organisation.
type organisation struct {
	// connections is the number of connections since the last sample, and offered
	// the mean number between two samples. used and offeredUsed are the same for
	// requests on connections that carried another request before.
	connections, offered, used, offeredUsed float64
	// fraction is the part of the connections that is rejected, and remainder the
	// part of a connection that is still to be rejected, so that rejected
	// connections are spread evenly.
	fraction, remainder float64
	// usedFraction and usedRemainder are the same for requests on used connections.
	usedFraction, usedRemainder float64
	// bySize decides which of the connections are rejected.
	bySize selection
}

// Observe adjusts the fraction to a sample of the router's lateness and of the time for
// which connections have waited to be accepted. received returns the rate of the work
// that an organisation receives from the whole fleet; nil if no rate is known.
func (c *Controller) Observe(process, queue time.Duration, received func(organisation string) float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	lateness := max(process, queue)
	if lateness <= targetLateness {
		c.fraction = max(c.fraction-fallStep, 0)
	} else {
		excess := float64(lateness-targetLateness) / float64(targetLateness)
		c.fraction = min(c.fraction+min(riseStep*excess, maxRise)*samples(process, queue), maxFraction)
	}
	taken := c.takeSample()
	entries := c.entries(received)
	divideConnections(entries, c.fraction)
	waiting := 0.0
	if queue > targetLateness {
		waiting = c.fraction
	}
	divideUsed(entries, waiting)
	if !taken {
		// Requests on used connections leave no time to learn whose connections wait.
		for i := range entries {
			entries[i].usedFraction = max(entries[i].usedFraction, waiting)
		}
	}
}

// samples returns the number of samples that a late one stands for: the process takes the
// next one after sampleInterval, so that connections wait the longer before they are
// rejected the later it is. A process that was stopped while no connection waited has
// rejected too few for no time.
func samples(process, queue time.Duration) float64 {
	if queue <= targetLateness {
		return 1
	}
	return min(1+float64(min(process, queue))/float64(sampleInterval), maxSamples)
}

// entry is an organisation with the rate of the work that it receives from the whole
// fleet. kept is the number of its connections that are accepted.
type entry struct {
	name     string
	received float64
	*organisation
	kept float64
}

// takeSample updates the mean numbers of connections and requests, and reports whether
// any connection has been accepted or rejected since the last sample. It requires that mu
// is held.
func (c *Controller) takeSample() (taken bool) {
	for name, o := range c.organisations {
		taken = taken || o.connections > 0
		o.offered += offeredWeight * (o.connections - o.offered)
		o.offeredUsed += offeredWeight * (o.used - o.offeredUsed)
		o.connections, o.used = 0, 0
		o.bySize.takeSample()
		if o.offered < minOffered && o.offeredUsed < minOffered {
			delete(c.organisations, name)
		}
	}
	return taken
}

// entries returns the organisations among which the rejections are divided. It requires
// that mu is held.
func (c *Controller) entries(received func(organisation string) float64) []entry {
	var entries []entry
	for name, o := range c.organisations {
		if name == Unknown {
			o.fraction = c.fraction
			continue
		}
		rate := 0.0
		if received != nil {
			rate = received(name)
		}
		entries = append(entries, entry{name, rate, o, 0})
	}
	return entries
}

// divideConnections divides the connections that are not rejected between the
// organisations, and sorts the entries by what they receive. A part is divided evenly,
// so that none takes all of the router's processor time by requests that count little
// work. Of the others, organisations that receive least from the fleet get as many as
// they open, since their callers may have no other router; those that receive about the
// same get even parts. Connections of unknown
// callers are rejected in the mean proportion, which is the given fraction.
func divideConnections(entries []entry, fraction float64) {
	total := 0.0
	for i := range entries {
		total += entries[i].offered
	}
	keepable := total * (1 - fraction)
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.offered, b.offered) })
	remaining := keepable * evenPart
	for i := range entries {
		e := &entries[i]
		e.kept = min(e.offered, remaining/float64(len(entries)-i))
		remaining -= e.kept
	}
	remaining += keepable * (1 - evenPart)
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.received, b.received), strings.Compare(a.name, b.name))
	})
	for first := 0; first < len(entries); {
		end := first + 1
		for end < len(entries) && entries[end].received <= clearlyMore*entries[first].received {
			end++
		}
		remaining -= keepEvenly(entries[first:end], remaining)
		first = end
	}
	for i := range entries {
		e := &entries[i]
		e.fraction = 0
		if e.offered > 0 {
			e.fraction = min(1-e.kept/e.offered, maxFraction)
		}
		e.bySize.divide(e.fraction)
	}
}

// keepEvenly divides further connections evenly between the entries, none of which gets
// more than it opens. It returns the number of connections that have been divided.
func keepEvenly(entries []entry, connections float64) float64 {
	byRest := make([]*entry, 0, len(entries))
	for i := range entries {
		byRest = append(byRest, &entries[i])
	}
	slices.SortFunc(byRest, func(a, b *entry) int { return cmp.Compare(a.offered-a.kept, b.offered-b.kept) })
	divided := 0.0
	for i, e := range byRest {
		more := min(e.offered-e.kept, (connections-divided)/float64(len(byRest)-i))
		e.kept += more
		divided += more
	}
	return divided
}

// divideUsed sets the part of the requests on used connections that is rejected. These
// are read ahead of new connections, so an organisation whose callers hold many would
// leave no processor time to one that receives less and whose connections are rejected,
// or wait to be accepted: waiting is the part that is rejected for these, 0 if none wait.
// Without such an organisation nothing is gained by rejecting what has been read. The
// entries are sorted by what they receive.
func divideUsed(entries []entry, waiting float64) {
	for i := range entries {
		e := &entries[i]
		e.usedFraction = 0
		for k := 0; k < i && entries[k].received*clearlyMore < e.received; k++ {
			e.usedFraction = max(e.usedFraction, entries[k].fraction)
			if entries[k].offered >= minOffered {
				e.usedFraction = max(e.usedFraction, waiting)
			}
		}
	}
}

// Reject reports whether to reject a connection of the organisation, or of Unknown, of whose
// request nothing is known.
func (c *Controller) Reject(name string) bool { return c.RejectSized(name, 0) }

// RejectSized is Reject for a connection whose request asks for the given engine time, in
// milliseconds; 0 if that is not known.
func (c *Controller) RejectSized(name string, engineMillis float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.organisation(name)
	if o == nil {
		return false
	}
	o.connections++
	if name == Unknown || engineMillis <= 0 {
		return rejectNext(o.fraction, &o.remainder)
	}
	return o.bySize.reject(engineMillis)
}

// RejectUsed reports whether to reject a request of the organisation, or of Unknown,
// on a connection that carried another request before.
func (c *Controller) RejectUsed(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.organisation(name)
	if o == nil {
		return false
	}
	o.used++
	return rejectNext(o.usedFraction, &o.usedRemainder)
}

// organisation returns the state of an organisation; nil while nothing is rejected. It
// requires that mu is held.
func (c *Controller) organisation(name string) *organisation {
	if c.fraction == 0 {
		return nil
	}
	o := c.organisations[name]
	if o == nil {
		if c.organisations == nil {
			c.organisations = map[string]*organisation{}
		}
		o = &organisation{fraction: c.fraction}
		o.bySize.divide(c.fraction)
		c.organisations[name] = o
	}
	return o
}

// rejectNext reports whether to reject the next one if the given fraction is rejected.
// remainder holds the part of one that is still to be rejected.
func rejectNext(fraction float64, remainder *float64) bool {
	if *remainder += fraction; *remainder < 1 {
		return false
	}
	*remainder--
	return true
}

// FractionOf returns the part of the organisation's connections that is rejected, 0
// to 1.
func (c *Controller) FractionOf(name string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.organisations[name]; o != nil {
		return o.fraction
	}
	return c.fraction
}

// Fraction returns the part of the connections that is rejected, 0 to 1.
func (c *Controller) Fraction() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fraction
}
