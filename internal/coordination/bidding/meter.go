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
	// reportEvery is the longest time for which a change goes unreported to
	// the holder, and the distance of repeated reports while work waits.
	reportEvery = time.Second
	// shortestQuantum and longestQuantum bound the time in which an
	// organisation receives the quantumPart of the cost of a request. It is the
	// least distance of words about its counter to dispatchers, and that of
	// words to the holder while other routers have work of the organisation
	// too, so that these follow the service.
	shortestQuantum = 5 * time.Millisecond
	longestQuantum  = 500 * time.Millisecond
	quantumPart     = 0.125
	// counterLatest is the greatest distance of words to dispatchers.
	counterLatest = time.Second
	// lagCosts is how many costs of a request the settled counter of an
	// organisation with work can be behind the furthest.
	lagCosts = 48
	// idleAfter is how long nothing must wait before an organisation is
	// reported as idle.
	idleAfter = 500 * time.Millisecond
)

// meterKey names an account.
type meterKey struct{ pool, organisation string }

// meter is the router's record of one organisation in one pool.
type meter struct {
	account.Meter
	key     meterKey
	weight  float64
	costs   *costs
	waiting int
	emptyAt time.Time
	// shared says that other routers have work of the organisation.
	shared   bool
	reported struct {
		at      time.Time
		waiting bool
	}
	told struct {
		at        time.Time
		tag, rate float64
	}
}

// estimate is the expected cost of one request, per unit of weight.
func (m *meter) estimate() float64 { return m.costs.estimate() / m.weight }

// reserve is what a running request is taken to cost beyond what it is known
// to have received: all of it if that is told at the end only, half of it, as
// the mean over a request's life, if it is told on the way.
func (m *meter) reserve() float64 { return m.estimate() * (1 - m.costs.early/2) }

// waits reports whether the organisation counts as having work.
func (m *meter) waits(now time.Time) bool {
	return m.waiting > 0 || now.Sub(m.emptyAt) < idleAfter
}

// due reports whether the holder must be told.
func (m *meter) due(now time.Time) bool {
	r := &m.reported
	waits := m.waits(now)
	if waits != r.waiting {
		return true
	}
	every := reportEvery
	if m.shared {
		every = m.quantum()
	}
	return (waits || m.Total() != m.Acknowledged()) && now.Sub(r.at) >= every
}

// charge builds the organisation's line of a report.
func (m *meter) charge(now time.Time) schedule.Charge {
	m.reported.at, m.reported.waiting = now, m.waits(now)
	return schedule.Charge{
		Organisation: m.key.organisation, Total: m.Total(), Acknowledged: m.Acknowledged(),
		Settled: m.Settled(), Reserved: m.Reserved(), Waiting: m.reported.waiting,
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
			r.Virtual, _ = b.local.LowestServed(now, key.pool)
			r.Floor = b.pool(key.pool).floor
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
	for i := range m.Accounts {
		a := &m.Accounts[i]
		known := b.meters[meterKey{m.Pool, a.Organisation}]
		if known == nil {
			continue
		}
		known.Acknowledge(now, account.Standing{
			Settled: a.Settled, Total: a.Total, OthersReserved: a.OthersReserved, Lifted: a.Lifted,
		})
		b.pool(m.Pool).raise(a.Settled - lagCosts*known.estimate())
		known.shared = a.OthersWait
	}
	b.pool(m.Pool).raise(m.Floor)
	b.pool(m.Pool).served(now, m.Virtual)
	b.tellCounters(now)
}

// moved reports whether the dispatchers must hear of the counter: when it is
// not where they take it to be.
func (m *meter) moved(now time.Time) bool {
	if m.waiting == 0 {
		return false
	}
	age := now.Sub(m.told.at)
	taken := m.told.tag + m.told.rate*min(age, counterLatest).Seconds()
	off := math.Abs(m.Tag(now) - taken)
	return age >= counterLatest || age >= m.quantum() && off > m.estimate()/2
}

// quantum is the time in which the organisation receives a part of the cost of
// a request.
func (m *meter) quantum() time.Duration {
	rate := m.Rate()
	if rate <= 0 {
		return longestQuantum
	}
	d := time.Duration(quantumPart * m.estimate() / rate * float64(time.Second))
	return min(max(d, shortestQuantum), longestQuantum)
}

// tellCounters tells the dispatchers at which lines bid of counters that have
// moved.
func (b *Bidder) tellCounters(now time.Time) {
	type to struct {
		owner view.RouterID
		pool  string
	}
	var order []to
	words := map[to]*schedule.Counters{}
	b.tick = busyTick
	for _, m := range b.meterOrder {
		m.Measure(now)
		if m.waiting > 0 {
			b.tick = min(b.tick, m.quantum())
		}
		if !m.moved(now) {
			continue
		}
		m.told.at, m.told.tag, m.told.rate = now, m.Tag(now), m.Rate()
		for _, owner := range b.biddingAt(m) {
			key := to{owner, m.key.pool}
			if words[key] == nil {
				words[key] = &schedule.Counters{Pool: key.pool}
				order = append(order, key)
			}
			words[key].Counters = append(words[key].Counters,
				schedule.Counter{Organisation: m.key.organisation, Tag: m.told.tag, Rate: m.told.rate})
		}
	}
	for _, key := range order {
		b.send(key.owner, words[key])
	}
}

// biddingAt is the routers that dispatch an endpoint at which the
// organisation bids.
func (b *Bidder) biddingAt(m *meter) []view.RouterID {
	var owners []view.RouterID
	for _, l := range b.lineOrder {
		if l.meter != m || l.queue.Len() == 0 {
			continue
		}
		for _, s := range l.bids {
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
