package entrypoint

import (
	"math"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/state/view"
)

const (
	// distinctRatio is the ratio of the largest to the smallest stated capacity from
	// which on routers count as different.
	distinctRatio = 1.01
	// reportLifetime is the time for which a report counts. Routers report every 5 s
	// in a fleet of 360, and one report may be lost.
	reportLifetime = 12 * time.Second
	// classFactor is the ratio of the weights of two neighbouring load classes, and
	// maxClass the last class. Its weight, 0.069 of the capacity, keeps the router in
	// some answers, so that the load that it gets shows whether it can take more.
	classFactor, maxClass = 0.8, 12
	// busyHigh is the use of processor time from which on the weight of a router falls
	// if the router is busier than the fleet by busyExcess. A weight that falls while
	// all routers are as busy would only move callers.
	busyHigh, busyExcess = 0.85, 0.12
	// busyRefused is the use from which on the weight falls by two classes at once: the
	// router refuses a third of its callers.
	busyRefused = 1.3
	// busyLow is the use below which the weight rises. A flooding client that has the
	// router in its answer takes up to 0.17 of a small router, so the weights would never
	// come to rest with less distance to busyHigh. A weight also rises if the router is
	// less busy than the fleet by busyShortfall.
	busyLow, busyShortfall = 0.5, 0.25
	// lowerInterval is the minimum time between two changes by which a weight falls,
	// and lowerReports the same in intervals between reports, so that the effect of a
	// change is reported before the next one. With 2.5 s and reports that are 4 s old,
	// weights changed up to twice as often in the model.
	lowerInterval, lowerReports = 4 * time.Second, 1.5
	// raiseInterval is the minimum time before a weight rises, and raiseReports the
	// same in intervals between reports. It doubles up to maxRaiseInterval with each
	// fall within relapseTime after a rise: a client whose load exceeds a small router
	// would otherwise overload it again with each rise. It is reset after
	// forgetTime at full weight.
	raiseInterval, raiseReports = 10 * time.Second, 3
	maxRaiseInterval            = 160 * time.Second
	relapseTime                 = 30 * time.Second
	forgetTime                  = 2 * time.Minute
	// maxReportGap bounds the interval between reports that is taken into account.
	maxReportGap = 6 * time.Second
)

// Caller describes who asks for routers.
type Caller struct {
	// Address is the address from which the caller asks; invalid if unknown.
	Address netip.Addr
	// FailureDomain is the caller's failure domain as it states it; empty if it does
	// not.
	FailureDomain string
}

// Decision is an event for the log.
type Decision struct {
	Event  string
	Fields []string
}

// Events of decisions.
const (
	EventRouterLoad    = "RouterLoadChanged"
	EventRemoteShare   = "EntryRemoteChanged"
	EventUnknownDomain = "EntryDomainUnknown"
	EventActive        = "EntryByCapacityChanged"
)

// Table holds the capacities and the reported load of the fleet's routers.
type Table struct {
	routers []*router
	byID    map[view.RouterID]*router
	domains map[string]*domain
	// active is set while routers state different capacities. fleet is the part of an
	// answer to a caller without a failure domain.
	active bool
	fleet  domain
	// mean is the use of processor time of the whole fleet at the last Step.
	mean      float64
	steppedAt time.Time
	// unknown holds the failure domains that callers have stated and that have no
	// router, at most maxUnknownDomains.
	unknown   map[string]bool
	decisions []Decision
	changes   int64
}

// router is the state of one router.
type router struct {
	view.Router
	self bool
	hash uint64
	// capacity is the stated capacity, or the smallest one in the fleet if the router
	// states none. weight is the part of it that counts.
	capacity, weight float64
	class            int
	// busy is the last reported use of processor time, gap the mean time between
	// reports, and fresh is set until the report has been judged.
	busy       float64
	reportedAt time.Time
	gap        time.Duration
	fresh      bool
	// changedAt is the last change of the class, raisedAt the last by which the
	// weight rose, and raiseAfter the time before the next.
	changedAt, raisedAt time.Time
	raiseAfter          time.Duration
	loggedBand          string
}

// New returns a Table without routers.
func New() *Table {
	return &Table{byID: map[view.RouterID]*router{}, domains: map[string]*domain{}, unknown: map[string]bool{}}
}

// SetRouters replaces the routers by those of a snapshot. The state of routers that
// remain is kept, also of those that have restarted.
func (t *Table) SetRouters(self view.RouterID, routers []view.Router) {
	smallest, largest := math.Inf(1), 0.0
	for i := range routers {
		if c := routers[i].Capacity; c > 0 {
			smallest, largest = min(smallest, c), max(largest, c)
		}
	}
	byID := make(map[view.RouterID]*router, len(routers))
	t.routers = t.routers[:0]
	active := largest > distinctRatio*smallest
	if largest == 0 {
		smallest = 1 // no router states a capacity
	}
	for i := range routers {
		r := t.byID[routers[i].ID]
		if r == nil {
			r = &router{hash: xxhash.Sum64String(string(routers[i].ID)), raiseAfter: raiseInterval}
		}
		r.Router, r.self, r.capacity = routers[i], routers[i].ID == self, routers[i].Capacity
		if r.capacity <= 0 {
			r.capacity = smallest
		}
		r.setWeight()
		byID[r.ID] = r
		t.routers = append(t.routers, r)
	}
	t.byID = byID
	if active != t.active {
		t.active = active
		t.decide(EventActive, "Active", strconv.FormatBool(active), "Routers", strconv.Itoa(len(routers)),
			"Smallest", formatFloat(smallest), "Largest", formatFloat(largest))
	}
	t.groupByDomain()
}

// Active reports whether routers state different capacities, so that Select selects.
func (t *Table) Active() bool { return t.active }

// Report records the use of processor time that a router has reported: 0 to 1, more
// if it refuses callers.
func (t *Table) Report(now time.Time, id view.RouterID, busy float64) {
	r := t.byID[id]
	if r == nil || !(busy >= 0) {
		return
	}
	if !r.reportedAt.IsZero() {
		r.gap += (min(now.Sub(r.reportedAt), maxReportGap) - r.gap) / 2
	}
	r.busy, r.reportedAt, r.fresh = min(busy, 2), now, true
}

// Step adjusts the weights to the reports since the last call and returns what to log.
// It should be called several times a second.
func (t *Table) Step(now time.Time) []Decision {
	t.mean, _ = meanBusy(now, t.routers, nil)
	if t.active {
		for _, r := range t.routers {
			t.adjust(now, r)
		}
		t.normalise()
		t.adjustDomains(now)
	}
	t.steppedAt = now
	decisions := t.decisions
	t.decisions = nil
	return decisions
}

// Reduced returns the number of routers whose weight is less than their capacity.
func (t *Table) Reduced() (count int64) {
	for _, r := range t.routers {
		if r.class > 0 {
			count++
		}
	}
	return count
}

// Changes returns the number of changes of weights since the start.
func (t *Table) Changes() int64 { return t.changes }

// known reports whether the router has reported lately.
func (r *router) known(now time.Time) bool {
	return !r.reportedAt.IsZero() && now.Sub(r.reportedAt) < reportLifetime
}

// meanBusy returns the use of the capacity of the routers that have reported lately,
// without those of the excluded failure domain, if one is given. It returns false if
// there is no such router.
func meanBusy(now time.Time, routers []*router, excluded *domain) (float64, bool) {
	used, capacity := 0.0, 0.0
	for _, r := range routers {
		if r.known(now) && !r.Suspected && (excluded == nil || r.FailureDomain != excluded.name) {
			used += r.busy * r.capacity
			capacity += r.capacity
		}
	}
	if capacity == 0 {
		return 0, false
	}
	return used / capacity, true
}

// adjust changes the weight of a router by its last report. Without reports the weight
// rises to the capacity.
func (t *Table) adjust(now time.Time, r *router) {
	known := r.known(now)
	since := now.Sub(r.changedAt)
	switch {
	case known && r.fresh && r.busy > busyHigh && r.busy > t.mean+busyExcess:
		if r.class == maxClass || since < max(lowerInterval, time.Duration(lowerReports*float64(r.gap))) {
			break
		}
		if now.Sub(r.raisedAt) < relapseTime {
			r.raiseAfter = min(2*r.raiseAfter, maxRaiseInterval)
		}
		step := 1
		if r.busy >= busyRefused {
			step = 2
		}
		t.setClass(now, r, min(r.class+step, maxClass))
	case r.class > 0 && (!known || r.fresh && (r.busy < busyLow || r.busy < t.mean-busyShortfall)):
		if since >= max(r.raiseAfter, raiseReports*r.gap) {
			r.raisedAt = now
			t.setClass(now, r, r.class-1)
		}
	case r.class == 0 && since >= forgetTime:
		r.raiseAfter = raiseInterval
	}
	r.fresh = false
}

// normalise raises all weights alike if none is full. Only the ratios of weights matter,
// so no answer changes by it.
func (t *Table) normalise() {
	lowest := maxClass
	for _, r := range t.routers {
		lowest = min(lowest, r.class)
	}
	if lowest == 0 {
		return
	}
	for _, r := range t.routers {
		r.class -= lowest
		r.setWeight()
	}
}

// setClass changes the weight of a router. Only changes between bands are logged, so
// that the log remains short while weights follow a varying load.
func (t *Table) setClass(now time.Time, r *router, class int) {
	r.class, r.changedAt = class, now
	r.setWeight()
	t.changes++
	band := r.band()
	if band == r.loggedBand || r.loggedBand == "" && band == bandFull {
		return
	}
	r.loggedBand = band
	t.decide(EventRouterLoad, "Router", string(r.ID), "Weight", band, "Class", strconv.Itoa(class), "Capacity", formatFloat(r.capacity),
		"Busy", formatFloat(r.busy), "Age", now.Sub(r.reportedAt).Round(time.Millisecond).String(), "FleetBusy", formatFloat(t.mean))
}

// Bands of weights in the log.
const (
	bandFull, bandReduced, bandLeast = "Full", "Reduced", "Least"
	// firstLeast is the first class of bandLeast: a quarter of the capacity.
	firstLeast = 6
)

// band returns the band of the router's weight. A weight between two bands stays in
// the one that was logged.
func (r *router) band() string {
	switch {
	case r.class == 0:
		return bandFull
	case r.class >= firstLeast:
		return bandLeast
	case r.loggedBand == bandFull && r.class == 1, r.loggedBand == bandLeast && r.class == firstLeast-1:
		return r.loggedBand
	default:
		return bandReduced
	}
}

func (r *router) setWeight() { r.weight = r.capacity * math.Pow(classFactor, float64(r.class)) }

// maxDecisions bounds the decisions between two calls of Step.
const maxDecisions = 16

func (t *Table) decide(event string, fields ...string) {
	if len(t.decisions) < maxDecisions {
		t.decisions = append(t.decisions, Decision{event, fields})
	}
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'f', 3, 64) }
