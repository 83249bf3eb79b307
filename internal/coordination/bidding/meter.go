package bidding

import (
	"math"
	"slices"
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/account"
	"hyssopreach/internal/state/view"
)

const (
	// reportInterval is the longest time for which a change goes unreported to the
	// account holder, and the time between repeated reports while requests wait.
	reportInterval = time.Second
	// minQuantum and maxQuantum bound an organisation's quantum: the time in which
	// it receives quantumFraction of the cost of a request. The quantum is the
	// least time between two updates of its counter to dispatchers. While other
	// routers have work of the organisation too, it is also the time between two
	// reports to the account holder. Both thus keep pace with the service.
	minQuantum      = 5 * time.Millisecond
	maxQuantum      = 500 * time.Millisecond
	quantumFraction = 0.125
	// maxCounterInterval is the longest time between two counter updates to
	// dispatchers while requests wait.
	maxCounterInterval = time.Second
	// maxLagCosts is the greatest amount by which the settled service of an
	// organisation with work can be lower than that of another, in costs of a
	// request. The floor for all accounts of a pool is derived from it.
	maxLagCosts = 48
	// idleAfter is how long an organisation must have no waiting request before it
	// is reported as idle.
	idleAfter = 500 * time.Millisecond
)

// meterKey identifies an account.
type meterKey struct{ pool, organisation string }

// meter measures the service of one organisation in one pool through this
// router.
type meter struct {
	account.Meter
	key          meterKey
	weight       float64
	costs        *costEstimate
	waitingCount int
	emptySince   time.Time
	// othersHaveWork is set while other routers have work of the organisation.
	othersHaveWork bool
	// reported is the state in the last report to the account holder.
	reported struct {
		at      time.Time
		waiting bool
	}
	// sent is the counter in the last update to dispatchers.
	sent struct {
		at            time.Time
		counter, rate float64
	}
}

// estimate is the expected cost of one request, per unit of weight.
func (m *meter) estimate() float64 { return m.costs.estimate() / m.weight }

// reserve is the expected cost of a running request beyond the service already
// reported for it. It is the whole estimate if service is reported only at the
// end, and half of the estimate, as the mean over the lifetime of a request, if
// service is reported as it accrues.
func (m *meter) reserve() float64 { return m.estimate() * (1 - m.costs.progressShare/2) }

// hasWork reports whether the organisation counts as having work: a request
// waits, or one did within idleAfter.
func (m *meter) hasWork(now time.Time) bool {
	return m.waitingCount > 0 || now.Sub(m.emptySince) < idleAfter
}

// reportDue reports whether a report must be sent to the account holder.
func (m *meter) reportDue(now time.Time) bool {
	r := &m.reported
	waits := m.hasWork(now)
	if waits != r.waiting {
		return true
	}
	interval := reportInterval
	if m.othersHaveWork {
		interval = m.quantum()
	}
	return (waits || m.Total() != m.Acknowledged()) && now.Sub(r.at) >= interval
}

// charge builds the organisation's entry in a report.
func (m *meter) charge(now time.Time) schedule.Charge {
	m.reported.at, m.reported.waiting = now, m.hasWork(now)
	return schedule.Charge{
		Organisation: m.key.organisation, Total: m.Total(), Acknowledged: m.Acknowledged(),
		Settled: m.Settled(), Reserved: m.Reserved(), Waiting: m.reported.waiting,
	}
}

// AccountKey is the key from which an account's holder is determined.
func AccountKey(pool, organisation string) string { return pool + "\x00" + organisation }

// report sends the reports that are due to the account holders.
func (b *Bidder) report(now time.Time) {
	type destination struct {
		holder view.RouterID
		pool   string
	}
	var order []destination
	reports := map[destination]*schedule.Report{}
	for _, m := range b.meterOrder {
		if !m.reportDue(now) {
			continue
		}
		holder, ok := b.accountHolder(m.key)
		if !ok {
			continue
		}
		key := destination{holder, m.key.pool}
		r := reports[key]
		if r == nil {
			r = &schedule.Report{Pool: key.pool, Incarnation: b.incarnation}
			r.Virtual, _ = b.local.LowestServed(now, key.pool)
			r.Floor = b.pool(key.pool).floor
			reports[key] = r
			order = append(order, key)
		}
		r.Charges = append(r.Charges, m.charge(now))
	}
	for _, key := range order {
		b.send(key.holder, reports[key])
	}
}

// accountHolder returns the router that holds the account; false if no router
// is known.
func (b *Bidder) accountHolder(key meterKey) (view.RouterID, bool) {
	if id, ok := b.holders[key]; ok {
		return id, true
	}
	id, ok := b.view.Owner(AccountKey(key.pool, key.organisation))
	if ok {
		b.holders[key] = id
	}
	return id, ok
}

// Tags handles an account holder's answer to a report.
func (b *Bidder) Tags(now time.Time, m *schedule.Tags) {
	for i := range m.Accounts {
		a := &m.Accounts[i]
		organisationMeter := b.meters[meterKey{m.Pool, a.Organisation}]
		if organisationMeter == nil {
			continue
		}
		organisationMeter.Acknowledge(now, account.Balance{
			Settled: a.Settled, Total: a.Total, OthersReserved: a.OthersReserved, Lifted: a.Lifted,
		})
		b.pool(m.Pool).raiseFloor(a.Settled - maxLagCosts*organisationMeter.estimate())
		organisationMeter.othersHaveWork = a.OthersWait
	}
	b.pool(m.Pool).raiseFloor(m.Floor)
	b.pool(m.Pool).recordServed(now, m.Virtual)
	b.sendCounters(now)
}

// counterDue reports whether the dispatchers must be sent the counter: it is
// due after maxCounterInterval, or after a quantum if it deviates by more than
// half the cost of a request from the value that the dispatchers extrapolate.
func (m *meter) counterDue(now time.Time) bool {
	if m.waitingCount == 0 {
		return false
	}
	age := now.Sub(m.sent.at)
	assumed := m.sent.counter + m.sent.rate*min(age, maxCounterInterval).Seconds()
	deviation := math.Abs(m.Counter(now) - assumed)
	return age >= maxCounterInterval || age >= m.quantum() && deviation > m.estimate()/2
}

// quantum is the time in which the organisation receives quantumFraction of the
// cost of a request, within bounds.
func (m *meter) quantum() time.Duration {
	rate := m.Rate()
	if rate <= 0 {
		return maxQuantum
	}
	d := time.Duration(quantumFraction * m.estimate() / rate * float64(time.Second))
	return min(max(d, minQuantum), maxQuantum)
}

// sendCounters sends the counters that are due to the dispatchers at which the
// organisations bid.
func (b *Bidder) sendCounters(now time.Time) {
	type destination struct {
		owner view.RouterID
		pool  string
	}
	var order []destination
	messages := map[destination]*schedule.Counters{}
	b.tickInterval = busyTickInterval
	for _, m := range b.meterOrder {
		m.UpdateRate(now)
		if m.waitingCount > 0 {
			b.tickInterval = min(b.tickInterval, m.quantum())
		}
		if !m.counterDue(now) {
			continue
		}
		m.sent.at, m.sent.counter, m.sent.rate = now, m.Counter(now), m.Rate()
		for _, owner := range b.dispatchersOf(m) {
			key := destination{owner, m.key.pool}
			if messages[key] == nil {
				messages[key] = &schedule.Counters{Pool: key.pool}
				order = append(order, key)
			}
			messages[key].Counters = append(messages[key].Counters,
				schedule.Counter{Organisation: m.key.organisation, Tag: m.sent.counter, Rate: m.sent.rate})
		}
	}
	for _, key := range order {
		b.send(key.owner, messages[key])
	}
}

// dispatchersOf returns the routers that dispatch an endpoint at which the
// organisation bids.
func (b *Bidder) dispatchersOf(m *meter) []view.RouterID {
	var owners []view.RouterID
	for _, q := range b.queueOrder {
		if q.meter != m || q.waiting.Len() == 0 {
			continue
		}
		for _, s := range q.bids {
			if s.remaining() > 0 && !slices.Contains(owners, s.owner) {
				owners = append(owners, s.owner)
			}
		}
	}
	return owners
}

// meterOf returns the organisation's meter in the pool.
func (b *Bidder) meterOf(pool, organisation string) *meter {
	key := meterKey{pool, organisation}
	m := b.meters[key]
	if m == nil {
		m = &meter{key: key, costs: &b.pool(pool).costs}
		b.meters[key] = m
		b.meterOrder = append(b.meterOrder, m)
	}
	m.weight = b.view.Organisations[organisation].Weight
	if m.weight <= 0 {
		m.weight = 1
	}
	return m
}
