package harness

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

// sampleInterval is the interval at which the differences of service between
// organisations are sampled.
const sampleInterval = 50 * time.Millisecond

// Result holds the figures of a scenario.
type Result struct {
	// Gap is the fairness gap: the largest change of the difference of
	// weighted service between two organisations during any period after the
	// warm-up, or after the last call of TakeGap, in which both had requests
	// waiting. GapWithWarmUp includes the warm-up, and TakeGap does not reset
	// it.
	Gap, GapWithWarmUp float64
	// WidestPair holds the names of the two organisations of Gap.
	WidestPair string
	// LargestCost is the largest weighted cost of a request, and InFlight the
	// service in flight if all slots run requests of this cost. Bounds of Gap
	// are stated in these units.
	LargestCost, InFlight float64
	// Utilisation is the share of slot time that is in use while requests wait,
	// after the warm-up and without the endpoints that are leaving. It is 1 if
	// no request waits.
	Utilisation float64
	// Served is the service of each organisation after the warm-up.
	Served map[string]float64
	// Messages and Bytes are the control traffic by kind of message, per router
	// and second. The kind is the name of the message's Go type.
	Messages, Bytes map[string]float64
	// StartsPerSecond is the number of requests sent to endpoints per second.
	StartsPerSecond float64
	// UrgentWait and Wait are the 99th percentiles of the waiting time of the
	// requests that arrive at Organisation.ArrivalInterval and of the requests
	// of the backlogs.
	UrgentWait, Wait time.Duration
	Refusals         int
	// Violations describes the scheduler outputs that break the scheduler's
	// contract.
	Violations []string
}

// ControlTraffic returns the control traffic of all kinds, per router and
// second.
func (r *Result) ControlTraffic() (messages, bytes float64) {
	for kind := range r.Messages {
		messages += r.Messages[kind]
		bytes += r.Bytes[kind]
	}
	return messages, bytes
}

// differenceRange is the range of the difference of weighted service between
// two organisations over the present period in which both have requests
// waiting.
type differenceRange struct{ low, high float64 }

// metrics accumulates the figures of a scenario.
type metrics struct {
	served           []float64
	servedAtWarmup   []float64 // at the end of the warm-up
	pairs            map[[2]int]*differenceRange
	gap              float64
	gapWithWarmup    float64
	widest           [2]int
	warmedUp         bool
	busySlotSeconds  float64
	totalSlotSeconds float64
	messages         map[string]int
	bytes            map[string]int
	started          int
	additionalWaits  []time.Duration
	backlogWaits     []time.Duration
	refusals         int
}

func newMetrics(organisations int) metrics {
	return metrics{
		served: make([]float64, organisations), servedAtWarmup: make([]float64, organisations),
		pairs: map[[2]int]*differenceRange{}, messages: map[string]int{}, bytes: map[string]int{},
	}
}

func (m *metrics) addService(organisation int, amount float64) { m.served[organisation] += amount }

// advance adds the use of slots until the next event, if any request waits.
// At the end of the warm-up it resets the figures.
func (m *metrics) advance(f *Fleet, to time.Duration) {
	if !m.warmedUp && to >= f.Settings.WarmUp {
		m.warmedUp = true
		copy(m.servedAtWarmup, m.served)
		clear(m.pairs)
		clear(m.messages)
		clear(m.bytes)
		m.gap, m.started = 0, 0
	}
	if !m.warmedUp || to == f.now || !f.anyRequestWaits() {
		return
	}
	d := (to - f.now).Seconds()
	for _, e := range f.engines {
		if e.leaving {
			continue
		}
		m.busySlotSeconds += d * float64(e.running)
		m.totalSlotSeconds += d * float64(e.Slots)
	}
}

func (f *Fleet) anyRequestWaits() bool {
	for _, c := range f.callers {
		if c.waiting > 0 {
			return true
		}
	}
	return false
}

// sample updates the gap from all pairs of organisations and schedules the
// next sample.
func (f *Fleet) sample() {
	m := &f.metrics
	for i, a := range f.callers {
		for j := i + 1; j < len(f.callers); j++ {
			m.comparePair([2]int{i, j}, a, f.callers[j])
		}
	}
	f.after(sampleInterval, f.sample)
}

func (m *metrics) comparePair(pair [2]int, a, b *caller) {
	if a.waiting == 0 || b.waiting == 0 {
		delete(m.pairs, pair)
		return
	}
	difference := m.served[a.index]/a.Weight - m.served[b.index]/b.Weight
	s := m.pairs[pair]
	if s == nil {
		s = &differenceRange{difference, difference}
		m.pairs[pair] = s
	}
	s.low, s.high = min(s.low, difference), max(s.high, difference)
	if gap := s.high - s.low; gap > m.gap {
		m.gap, m.widest = gap, pair
	}
	m.gapWithWarmup = max(m.gapWithWarmup, m.gap)
}

// TakeGap returns the largest gap since the last call and resets it, so that a
// scenario can measure the gap before, during and after a fault.
func (f *Fleet) TakeGap() float64 {
	gap := f.metrics.gap
	f.metrics.gap = 0
	clear(f.metrics.pairs)
	return gap
}

func (m *metrics) countMessage(f *Fleet, from int, message schedule.Message) {
	kind := strings.TrimPrefix(fmt.Sprintf("%T", message), "*schedule.")
	m.messages[kind]++
	if f.Settings.MessageSize != nil {
		m.bytes[kind] += f.Settings.MessageSize(message)
	}
}

func (m *metrics) recordStart(f *Fleet, q *request) {
	m.started++
	if !m.warmedUp {
		return
	}
	if q.additional {
		m.additionalWaits = append(m.additionalWaits, f.now-q.arrivedAt)
		return
	}
	m.backlogWaits = append(m.backlogWaits, f.now-q.arrivedAt)
}

func percentile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(fraction*float64(len(values))))]
}

func (f *Fleet) result() Result {
	m := &f.metrics
	seconds := (f.Settings.Length - f.Settings.WarmUp).Seconds()
	perRouter := seconds * float64(len(f.routers))
	r := Result{
		Gap: m.gap, GapWithWarmUp: m.gapWithWarmup, Utilisation: 1, StartsPerSecond: float64(m.started) / seconds,
		UrgentWait: percentile(m.additionalWaits, 0.99), Wait: percentile(m.backlogWaits, 0.99),
		Refusals: m.refusals, Violations: f.violations,
		Served: map[string]float64{}, Messages: map[string]float64{}, Bytes: map[string]float64{},
	}
	if m.totalSlotSeconds > 0 {
		r.Utilisation = m.busySlotSeconds / m.totalSlotSeconds
	}
	for i, c := range f.callers {
		r.Served[c.Name] = m.served[i] - m.servedAtWarmup[i]
		r.LargestCost = max(r.LargestCost, c.MaxCost/c.Weight)
	}
	for _, e := range f.engines {
		r.InFlight += float64(e.Slots) * r.LargestCost
	}
	r.WidestPair = f.callers[m.widest[0]].Name + " " + f.callers[m.widest[1]].Name
	for kind, count := range m.messages {
		r.Messages[kind] = float64(count) / perRouter
		r.Bytes[kind] = float64(m.bytes[kind]) / perRouter
	}
	return r
}
