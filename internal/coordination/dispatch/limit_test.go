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
		running := l.whole()
		report := schedule.Load{Running: min(running, 8), Queued: max(0, running-8), MeasuredAt: now}
		l.load(now, report, running)
	}
	is.True(l.whole() >= 8 && l.whole() <= 8+queueAllowed)
	l.load(now, schedule.Load{Running: 8, MemoryUsed: 0.99, MeasuredAt: now}, 7)
	is.Equal(l.room(7), 0)
	is.True(l.room(0) > 0) // an empty endpoint always gets one
}

func TestOldLoadReportSaysNothing(t *testing.T) {
	is := is.New(t)
	l := newLimit()
	l.set(start, 8)
	l.load(start.Add(time.Second), schedule.Load{Running: 1, Queued: 5, MeasuredAt: start.Add(-time.Second)}, 8)
	is.Equal(l.whole(), 8)
}

func TestFirstTokenThatWaitsLowersTheLimit(t *testing.T) {
	is := is.New(t)
	l, now := newLimit(), start
	for range 400 {
		now = now.Add(125 * time.Millisecond)
		running := l.whole()
		queued := max(0, running-8)
		first := 100*time.Millisecond + time.Duration(queued)*125*time.Millisecond
		l.ended(now, &schedule.Return{Result: schedule.ResultFinished, FirstToken: first}, running)
		l.began(now, first, running)
	}
	is.True(l.whole() >= 8 && l.whole() <= 12)
}

func TestProbeFindsTheSlotsOfAPlainService(t *testing.T) {
	for _, slots := range []int{3, 8, 20} {
		is := is.New(t)
		random := rand.New(rand.NewPCG(1, uint64(slots)))
		l, now := newLimit(), start
		for range 60_000 {
			running := l.whole()
			queueing := max(1, float64(running)/float64(slots))
			elapsed := time.Duration((0.5 + random.Float64()) * queueing * float64(5*time.Millisecond))
			now = now.Add(elapsed / time.Duration(running))
			l.ended(now, &schedule.Return{Result: schedule.ResultFinished, Elapsed: elapsed}, running)
		}
		is.True(l.whole() >= slots-slots/8)
		is.True(l.whole() <= slots+slots/2+1)
	}
}

func TestRejectionLowersTheLimit(t *testing.T) {
	is := is.New(t)
	l := newLimit()
	l.set(start, 20)
	l.ended(start, &schedule.Return{Result: schedule.ResultRejected}, 12)
	is.Equal(l.whole(), 12)
}
