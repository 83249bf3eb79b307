package ledger

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestGapIsLargestOfAllWindows guards against a gap that ignores the weights,
// that misses a pair of organisations, or that survives a reset.
func TestGapIsLargestOfAllWindows(t *testing.T) {
	is := is.New(t)
	all := []bool{true, true, true}
	l := New([]string{"a", "b", "c"}, []float64{1, 2, 1})
	l.Add(0, 10)
	l.Sample(all)
	l.Add(1, 60) // weighted service of 30
	l.Sample(all)
	is.Equal(l.Gap(), Gap{30, "b", "a"})
	l.Add(0, 20)
	l.Add(2, 1000)
	l.Sample(all)
	is.Equal(l.Gap(), Gap{1000, "c", "b"}) // b received nothing since the last sample
	l.Reset()
	l.Sample(all)
	is.Equal(l.Gap(), Gap{})
}

// TestWindowEndsWithoutWaitingWork guards against a gap that includes service
// which one organisation received while the other had no waiting work.
func TestWindowEndsWithoutWaitingWork(t *testing.T) {
	is := is.New(t)
	l := New([]string{"a", "b"}, []float64{1, 1})
	l.Sample([]bool{true, true})
	l.Add(0, 500)
	l.Sample([]bool{true, false}) // b had no waiting work, so the difference does not count
	l.Add(0, 20)
	l.Sample([]bool{true, true})
	l.Add(0, 30)
	l.Sample([]bool{true, true})
	is.Equal(l.Gap().Service, 30.0)
}

// TestUtilisationCountsOnlyTimeWithWaitingWork guards against a utilisation that
// is lowered by time in which no work was waiting for the free slots.
func TestUtilisationCountsOnlyTimeWithWaitingWork(t *testing.T) {
	is := is.New(t)
	var u Utilisation
	is.Equal(u.Share(), 1.0)
	now := time.Unix(0, 0)
	u.AddPeriod(now, 0, 4, true)
	u.AddPeriod(now.Add(time.Second), 0, 4, false)
	u.AddPeriod(now.Add(2*time.Second), 3, 4, true)
	u.AddPeriod(now.Add(3*time.Second), 1, 4, true)
	is.Equal(u.Share(), 0.5)
}
