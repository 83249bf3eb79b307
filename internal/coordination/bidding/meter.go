package bidding

import (
	"time"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/state/account"
	"hyssopreach/internal/state/view"
)

const (
	// reportEvery is the longest time for which a change goes unreported, and
	// the distance of repeated reports while work waits.
	reportEvery = time.Second
	// reportQuanta is the number of estimates of unreported service that make
	// a report due at once.
	reportQuanta = 4
	// idleAfter is how long nothing must wait before an organisation is
	// reported as idle.
	idleAfter = 500 * time.Millisecond
	// learnWeight is the weight of a new cost in the learnt mean.
	learnWeight = 0.1
	// learnAfter is the number of costs from which the learnt mean replaces
	// the caller's hint.
	learnAfter = 5
	// leastCost is the smallest charge of a request, in units of service.
	leastCost = 1e-6
)

// meterKey names an account.
type meterKey struct{ pool, organisation string }

// meter is the router's record of one organisation in one pool.
type meter struct {
	account.Meter
	key      meterKey
	weight   float64
	mean     float64 // learnt cost of a request, in units of service
	samples  int
	hint     float64
	waiting  int
	emptyAt  time.Time
	reported struct {
		at      time.Time
		total   float64
		waiting bool
	}
}

// estimate is the expected charge of one request.
func (m *meter) estimate() float64 {
	cost := m.hint
	if m.samples >= learnAfter {
		cost = m.mean
	}
	return max(cost, leastCost) / m.weight
}

// learn takes the cost of a finished request, in units of service.
func (m *meter) learn(cost float64) {
	m.samples++
	if m.samples == 1 {
		m.mean = cost
	}
	weight := max(learnWeight, 1/float64(m.samples))
	m.mean += weight * (cost - m.mean)
}

// waits reports whether the organisation counts as having work.
func (m *meter) waits(now time.Time) bool {
	return m.waiting > 0 || now.Sub(m.emptyAt) < idleAfter
}

// due reports whether the holder must be told.
func (m *meter) due(now time.Time) bool {
	r := &m.reported
	waits := m.waits(now)
	if waits != r.waiting || m.Total()-r.total >= reportQuanta*m.estimate() {
		return true
	}
	return (waits || m.Total() != m.Acknowledged()) && now.Sub(r.at) >= reportEvery
}

// charge builds the organisation's line of a report.
func (m *meter) charge(now time.Time) schedule.Charge {
	m.reported.at, m.reported.total, m.reported.waiting = now, m.Total(), m.waits(now)
	return schedule.Charge{
		Organisation: m.key.organisation, Total: m.Total(), Acknowledged: m.Acknowledged(),
		Tag: m.HolderTag(), Waiting: m.reported.waiting,
	}
}

// AccountKey is the key by which an account's holder is chosen.
func AccountKey(pool, organisation string) string { return pool + "\x00" + organisation }

// report sends what is due to the holders of the accounts.
func (b *Bidder) report(now time.Time) {
	type to struct {
		holder view.RouterID
		pool   string
	}
	var order []to
	due := map[to]*schedule.Report{}
	for _, m := range b.meterOrder {
		if !m.due(now) {
			continue
		}
		holder, ok := b.holder(m.key)
		if !ok {
			continue
		}
		key := to{holder, m.key.pool}
		r := due[key]
		if r == nil {
			r = &schedule.Report{Pool: key.pool, Incarnation: b.incarnation}
			r.Virtual, _ = b.local.Lowest(now, key.pool)
			due[key] = r
			order = append(order, key)
		}
		r.Charges = append(r.Charges, m.charge(now))
	}
	for _, key := range order {
		b.send(key.holder, due[key])
	}
}

func (b *Bidder) holder(key meterKey) (view.RouterID, bool) {
	if id, ok := b.holders[key]; ok {
		return id, true
	}
	id, ok := b.view.Owner(AccountKey(key.pool, key.organisation))
	if ok {
		b.holders[key] = id
	}
	return id, ok
}

// Tags takes the holder's answer.
func (b *Bidder) Tags(now time.Time, m *schedule.Tags) {
	for i := range m.Charges {
		c := &m.Charges[i]
		if known := b.meters[meterKey{m.Pool, c.Organisation}]; known != nil {
			before := known.Tag()
			known.Acknowledge(c.Tag, c.Total)
			if known.Tag()-before > tagQuanta*known.estimate() {
				b.lifted(now, known)
			}
		}
	}
	b.pool(m.Pool).served(now, m.Virtual)
}

// lifted tells the dispatchers at once of a counter that has jumped.
func (b *Bidder) lifted(now time.Time, m *meter) {
	for _, l := range b.lineOrder {
		if l.meter != m || l.queue.Len() == 0 {
			continue
		}
		for _, s := range l.bids {
			if s.remaining() > 0 {
				b.send(s.owner, l.tell(now, s))
			}
		}
	}
}

// meterOf returns the organisation's meter in the pool.
func (b *Bidder) meterOf(pool, organisation string) *meter {
	key := meterKey{pool, organisation}
	m := b.meters[key]
	if m == nil {
		m = &meter{key: key}
		b.meters[key] = m
		b.meterOrder = append(b.meterOrder, m)
	}
	m.weight = b.view.Organisations[organisation].Weight
	if m.weight <= 0 {
		m.weight = 1
	}
	return m
}
