package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
)

func TestLoadReportsSetTheLimit(t *testing.T) {
	is := is.New(t)
	l, now := newLimit(), start
	for range 10 { // an engine of eight slots that is kept full
		now = now.Add(time.Second)
		running := l.effective()
		report := schedule.Load{Running: min(running, 8), Queued: max(0, running-8), MeasuredAt: now}
		l.observeLoad(now, report, running)
	}
	is.True(l.effective() >= 8 && l.effective() <= 8+maxEndpointQueue)
	l.observeLoad(now, schedule.Load{Running: 8, MemoryUsed: 0.99, MeasuredAt: now}, 7)
	is.Equal(l.room(7), 0)
	is.True(l.room(0) > 0) // an idle endpoint always gets one request
}

func TestStaleLoadReportIsIgnored(t *testing.T) {
	is := is.New(t)
	l := newLimit()
	l.set(start, 8)
	l.observeLoad(start.Add(time.Second), schedule.Load{Running: 1, Queued: 5, MeasuredAt: start.Add(-time.Second)}, 8)
	is.Equal(l.effective(), 8)
}

func TestFirstTokenDelayBoundsTheLimit(t *testing.T) {
	is := is.New(t)
	l, now := newLimit(), start
	for range 400 {
		now = now.Add(125 * time.Millisecond)
		running := l.effective()
		queued := max(0, running-8)
		first := 100*time.Millisecond + time.Duration(queued)*125*time.Millisecond
		l.observeEnd(now, &schedule.Return{Result: schedule.ResultFinished, FirstToken: first}, running)
		l.observeFirstToken(now, first, running)
	}
	is.True(l.effective() >= 8 && l.effective() <= 12)
}

func TestProbeFindsTheSlotsOfAPlainService(t *testing.T) {
	for _, slots := range []int{3, 8, 20} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, uint64(slots)))
		l, now := newLimit(), start
		for range 60_000 {
			running := l.effective()
			queueing := max(1, float64(running)/float64(slots))
			elapsed := time.Duration((0.5 + random.Float64()) * queueing * float64(5*time.Millisecond))
			now = now.Add(elapsed / time.Duration(running))
			l.observeEnd(now, &schedule.Return{Result: schedule.ResultFinished, Elapsed: elapsed}, running)
		}
		is.True(l.effective() >= slots-slots/8)
		is.True(l.effective() <= slots+slots/2+1)
	}
}

func TestRejectionLowersTheLimit(t *testing.T) {
	is := is.New(t)
	l := newLimit()
	l.set(start, 20)
	l.observeEnd(start, &schedule.Return{Result: schedule.ResultRejected}, 12)
	is.Equal(l.effective(), 12)
}
