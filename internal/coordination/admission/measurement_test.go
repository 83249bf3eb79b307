package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
)

// TestMeasurementIsSharedAndForgotten checks that the samples of all routers
// count, recent ones most, that own samples are reported once, and that a
// measurement ends some time after its last sample.
func TestMeasurementIsSharedAndForgotten(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var m measurement
	_, ok := m.value(now)
	is.True(!ok) // not measured yet
	m.addOwn(now, 100*time.Millisecond, 200*time.Millisecond)
	m.addOwn(now, 200*time.Millisecond, 400*time.Millisecond)
	m.add(now, schedule.Samples{Count: 2, EventInterval: 50 * time.Millisecond, LongestGap: 100 * time.Millisecond})
	p, ok := m.value(now)
	is.True(ok)
	is.Equal(p, timing{100 * time.Millisecond, 200 * time.Millisecond})
	is.Equal(m.takeUnreported(), schedule.Samples{Count: 2, EventInterval: 150 * time.Millisecond, LongestGap: 300 * time.Millisecond})
	is.Equal(m.takeUnreported(), schedule.Samples{})
	now = now.Add(4 * measurementTimeConstant)
	m.addOwn(now, 10*time.Millisecond, 10*time.Millisecond)
	p, _ = m.value(now)
	is.True(p.eventInterval < 20*time.Millisecond) // the old samples hardly count
	_, ok = m.value(now.Add(maxMeasurementAge + 1))
	is.True(!ok)
}

// TestUnmeasuredEndpointIsAsFastAsItsPool guards against a router that takes an
// endpoint for idle because it has no samples of it.
func TestUnmeasuredEndpointIsAsFastAsItsPool(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	mean := timing{100 * time.Millisecond, 150 * time.Millisecond}
	e := newEndpoint(now)
	is.Equal(e.timing(now, load{requests: 3}, mean), mean)
	is.Equal(e.timing(now, load{}, mean), timing{}) // it runs nothing
	e.measured.add(now, schedule.Samples{Count: 1, EventInterval: time.Millisecond, LongestGap: time.Millisecond})
	is.Equal(e.timing(now, load{requests: 3}, mean), timing{time.Millisecond, time.Millisecond})
}
