package harness

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

// sampleEvery is the distance of looks at the service received.
const sampleEvery = 50 * time.Millisecond

// Result is what a scene measured.
type Result struct {
	// Gap is the largest difference of weighted service between two
	// organisations that both had work waiting, over all windows after the
	// warm-up; WholeGap includes the warm-up.
	Gap, WholeGap float64
	// Widest names the two organisations of Gap.
	Widest string
	// LargestCost is the bound's largest cost, InFlight the service in
	// flight when all slots are taken.
	LargestCost, InFlight float64
	// Utilisation is the busy slot-time in the time that work waits.
	Utilisation float64
	// Served is the service of each organisation after the warm-up.
	Served map[string]float64
	// Messages and Bytes count control traffic by kind, per router and second.
	Messages, Bytes map[string]float64
	// Started is the number of requests sent to endpoints a second.
	Started float64
	// UrgentWait and Wait are 99th percentiles of waiting.
	UrgentWait, Wait time.Duration
	Refusals         int
	// Faulty lists broken promises.
	Faulty []string
}

// Control is the control traffic of all kinds, per router and second.
func (r *Result) Control() (messages, bytes float64) {
	for kind := range r.Messages {
		messages += r.Messages[kind]
		bytes += r.Bytes[kind]
	}
	return messages, bytes
}

// spread is the range of a pair's difference while both wait.
type spread struct{ low, high float64 }

type measure struct {
	served   []float64
	warmed   []float64
	pairs    map[[2]int]*spread
	gap      float64
	whole    float64
	widest   [2]int
	warm     bool
	busy     float64 // slot-seconds
	possible float64 // slot-seconds
	messages map[string]int
	bytes    map[string]int
	started  int
	urgent   []time.Duration
	normal   []time.Duration
	refusals int
}

func newMeasure(organisations int) measure {
	return measure{
		served: make([]float64, organisations), warmed: make([]float64, organisations),
		pairs: map[[2]int]*spread{}, messages: map[string]int{}, bytes: map[string]int{},
	}
}

func (m *measure) serve(organisation int, amount float64) { m.served[organisation] += amount }

// advance integrates the use of slots up to the next event.
func (m *measure) advance(f *Fleet, to time.Duration) {
	if !m.warm && to >= f.Settings.Warm {
		m.warm = true
		copy(m.warmed, m.served)
		clear(m.pairs)
		clear(m.messages)
		clear(m.bytes)
		m.gap, m.started = 0, 0
	}
	if !m.warm || to == f.now || !f.anyWaits() {
		return
	}
	d := (to - f.now).Seconds()
	for _, e := range f.engines {
		if e.leaving {
			continue
		}
		m.busy += d * float64(e.running)
		m.possible += d * float64(e.Slots)
	}
}

func (f *Fleet) anyWaits() bool {
	for _, c := range f.callers {
		if c.waiting > 0 {
			return true
		}
	}
	return false
}

// sample looks at the differences between all pairs that wait.
func (f *Fleet) sample() {
	m := &f.measure
	for i, a := range f.callers {
		for j := i + 1; j < len(f.callers); j++ {
			m.compare([2]int{i, j}, a, f.callers[j])
		}
	}
	f.after(sampleEvery, f.sample)
}

func (m *measure) compare(pair [2]int, a, b *caller) {
	if a.waiting == 0 || b.waiting == 0 {
		delete(m.pairs, pair)
		return
	}
	difference := m.served[a.index]/a.Weight - m.served[b.index]/b.Weight
	s := m.pairs[pair]
	if s == nil {
		s = &spread{difference, difference}
		m.pairs[pair] = s
	}
	s.low, s.high = min(s.low, difference), max(s.high, difference)
	if gap := s.high - s.low; gap > m.gap {
		m.gap, m.widest = gap, pair
	}
	m.whole = max(m.whole, m.gap)
}

// Gap is the largest gap since the last call, for scenes that watch it heal.
func (f *Fleet) Gap() float64 {
	gap := f.measure.gap
	f.measure.gap = 0
	clear(f.measure.pairs)
	return gap
}

func (m *measure) sent(f *Fleet, from int, message schedule.Message) {
	kind := strings.TrimPrefix(fmt.Sprintf("%T", message), "*schedule.")
	m.messages[kind]++
	if f.Settings.Size != nil {
		m.bytes[kind] += f.Settings.Size(message)
	}
}

func (m *measure) waited(f *Fleet, q *request) {
	m.started++
	if !m.warm {
		return
	}
	if q.urgent {
		m.urgent = append(m.urgent, f.now-q.arrived)
		return
	}
	m.normal = append(m.normal, f.now-q.arrived)
}

func percentile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(fraction*float64(len(values))))]
}

func (f *Fleet) result() Result {
	m := &f.measure
	seconds := (f.Settings.Length - f.Settings.Warm).Seconds()
	perRouter := seconds * float64(len(f.routers))
	r := Result{
		Gap: m.gap, WholeGap: m.whole, Utilisation: 1, Started: float64(m.started) / seconds,
		UrgentWait: percentile(m.urgent, 0.99), Wait: percentile(m.normal, 0.99),
		Refusals: m.refusals, Faulty: f.faulty,
		Served: map[string]float64{}, Messages: map[string]float64{}, Bytes: map[string]float64{},
	}
	if m.possible > 0 {
		r.Utilisation = m.busy / m.possible
	}
	for i, c := range f.callers {
		r.Served[c.Name] = m.served[i] - m.warmed[i]
		r.LargestCost = max(r.LargestCost, c.Most/c.Weight)
	}
	for _, e := range f.engines {
		r.InFlight += float64(e.Slots) * r.LargestCost
	}
	r.Widest = f.callers[m.widest[0]].Name + " " + f.callers[m.widest[1]].Name
	for kind, count := range m.messages {
		r.Messages[kind] = float64(count) / perRouter
		r.Bytes[kind] = float64(m.bytes[kind]) / perRouter
	}
	return r
}
