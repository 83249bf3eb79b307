package entrypoint

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// maxLocal is the maximum number of routers of the caller's failure domain in an
	// answer, and minLocal the minimum if it has as many. In between it is the capacity
	// of the failure domain divided by that of its largest router: were it larger, the
	// largest would be in all answers and still get less than its share.
	maxLocal, minLocal = 8, 3
	// sizeHysteresis is the part of an address by which this quotient must pass the middle
	// between two whole numbers to change the size of answers.
	sizeHysteresis = 0.25
	// localPerRemote is the number of local routers for each router of another failure
	// domain while the caller's failure domain has room, and maxRemote the maximum
	// number of the latter.
	localPerRemote, maxRemote = 4, 16
	// minAnywhere and maxAnywhere bound the size of answers to callers of no known
	// failure domain.
	minAnywhere, maxAnywhere = 4, maxLocal + maxRemote
	// domainHigh is the use of a failure domain's processor time from which on its
	// callers are sent elsewhere, if the others are less busy by domainExcess. Below
	// domainLow, or if the others are busier by domainShortfall, they return, and slowly
	// if the others are busier at all: two failure domains that send callers to each other
	// would be as evenly busy as without that, and bytes between them are costly.
	domainHigh, domainLow         = 0.7, 0.55
	domainExcess, domainShortfall = 0.06, 0.1
	// remoteRise and remoteRiseMore are the addresses of other failure domains that are
	// added in a second at domainHigh, and in addition where half of the processor time
	// is missing. remoteFall and remoteFallSlow are what is taken back in a second.
	remoteRise, remoteRiseMore = 0.6, 3.4
	remoteFall, remoteFallSlow = 0.15, 0.05
	// maxStep bounds the time that one Step accounts for.
	maxStep = time.Second
	// remoteLogInterval is the minimum time between two log lines about the remote
	// addresses of one failure domain.
	remoteLogInterval = 10 * time.Second
	// maxUnknownDomains bounds the unknown failure domains that are logged, and
	// maxLoggedName the length of their names.
	maxUnknownDomains, maxLoggedName = 16, 64
)

// domain is the state of a failure domain.
type domain struct {
	name    string
	routers []*router
	// local is the number of its routers in answers to its callers. remote is the
	// number of other routers, minRemote to maxRemote, whose fraction is the part of
	// the callers that get one more.
	local                        int
	remote, minRemote, maxRemote float64
	loggedRemote                 float64
	loggedAt                     time.Time
}

// groupByDomain groups the routers by failure domain and sets the sizes of answers.
func (t *Table) groupByDomain() {
	for _, d := range t.domains {
		d.routers = d.routers[:0]
	}
	total := 0.0
	for _, r := range t.routers {
		d := t.domains[r.FailureDomain]
		if d == nil {
			d = &domain{name: r.FailureDomain}
			t.domains[r.FailureDomain] = d
		}
		d.routers = append(d.routers, r)
		total += r.capacity
	}
	for name, d := range t.domains {
		if len(d.routers) == 0 {
			delete(t.domains, name)
			continue
		}
		capacity := d.setLocal(minLocal, maxLocal)
		others := len(t.routers) - len(d.routers)
		d.minRemote = min(max(math.Round(float64(d.local)/localPerRemote), 1), float64(others))
		// With so many remote addresses an answer names all routers in proportion to
		// their capacity, and no failure domain comes first.
		d.maxRemote = max(min(float64(d.local)*(total-capacity)/capacity, maxRemote, float64(others)), d.minRemote)
		d.remote = min(max(d.remote, d.minRemote), d.maxRemote)
	}
	t.fleet.routers = t.routers
	t.fleet.setLocal(minAnywhere, maxAnywhere)
}

// setLocal sets the number of the domain's routers in answers and returns its capacity.
func (d *domain) setLocal(least, most int) (capacity float64) {
	largest := 0.0
	for _, r := range d.routers {
		capacity += r.capacity
		largest = max(largest, r.capacity)
	}
	quotient := min(max(capacity/max(largest, 1e-9), float64(least)), float64(most))
	if current := float64(d.local); d.local == 0 || math.Abs(quotient-current) > 0.5+sizeHysteresis {
		d.local = int(math.Round(quotient))
	}
	return capacity
}

// adjustDomains changes how many routers of other failure domains are named to callers
// of each failure domain, by how busy it is and the others are.
func (t *Table) adjustDomains(now time.Time) {
	elapsed := min(now.Sub(t.steppedAt), maxStep).Seconds()
	for _, name := range slices.Sorted(maps.Keys(t.domains)) {
		d := t.domains[name]
		own, known := meanBusy(now, d.routers, nil)
		others, othersKnown := meanBusy(now, t.routers, d)
		switch {
		case known && othersKnown && own > domainHigh && own > others+domainExcess:
			d.remote += elapsed * (remoteRise + remoteRiseMore*min((own-domainHigh)/0.5, 1))
		case own < domainLow || own < others-domainShortfall:
			d.remote -= elapsed * remoteFall
		case own < others:
			d.remote -= elapsed * remoteFallSlow
		}
		d.remote = min(max(d.remote, d.minRemote), d.maxRemote)
		t.logRemote(now, d, own, others)
	}
}

// logRemote logs a change of the remote addresses by a quarter of their range.
func (t *Table) logRemote(now time.Time, d *domain, own, others float64) {
	if d.loggedRemote == 0 {
		d.loggedRemote = d.minRemote
	}
	change := math.Abs(d.remote - d.loggedRemote)
	if change == 0 || change < (d.maxRemote-d.minRemote)/4 || now.Sub(d.loggedAt) < remoteLogInterval {
		return
	}
	t.decide(EventRemoteShare, "FailureDomain", d.name, "Remote", formatFloat(d.remote), "Before", formatFloat(d.loggedRemote),
		"Local", strconv.Itoa(d.local), "Busy", formatFloat(own), "OthersBusy", formatFloat(others))
	d.loggedRemote, d.loggedAt = d.remote, now
}

// Remote returns the mean number of routers of other failure domains that are named to
// callers of the failure domain.
func (t *Table) Remote(failureDomain string) float64 {
	if d := t.domains[failureDomain]; d != nil {
		return d.remote
	}
	return 0
}
