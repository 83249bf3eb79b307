package lease

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1e6, 0)

func recordOf(router string) Record {
	return Record{FormatVersion: 1, Pool: "p", Holder: Holder{Router: router, Incarnation: 1}}
}

// Two planners that held the lease of a pool at the same time would give
// conflicting orders. A lease is granted only to its holder, or to another
// router after it has expired or was released by its holder.
func TestLeaseIsGrantedOnlyIfFree(t *testing.T) {
	is := is.New(t)
	release := recordOf("b")
	release.Release = true
	f := NewFold(0)
	for _, step := range []struct {
		at      time.Duration
		record  Record
		granted bool
		fencing uint64
	}{
		{0, recordOf("a"), true, 0},
		{Lifetime / 2, recordOf("b"), false, 0},
		{Lifetime / 2, recordOf("a"), true, 2}, // a renewal raises the fencing number
		{3*Lifetime/2 - 1, recordOf("b"), false, 2},
		{3 * Lifetime / 2, recordOf("b"), true, 4},
		{5 * Lifetime / 2, recordOf("a"), true, 5},
		{5*Lifetime/2 + 1, release, false, 5}, // b does not hold the lease
		{5*Lifetime/2 + 2, recordOf("b"), false, 5},
	} {
		granted, err := f.Apply(f.Next(), epoch.Add(step.at), step.record)
		is.NoErr(err)
		is.Equal(granted, step.granted)
		l, _ := f.Lease("p")
		is.Equal(l.Fencing, step.fencing)
	}
	release = recordOf("a")
	release.Release = true
	_, err := f.Apply(f.Next(), epoch.Add(3*Lifetime), release)
	is.NoErr(err)
	granted, _ := f.Apply(f.Next(), epoch.Add(3*Lifetime), recordOf("b"))
	is.True(granted)
}

// A reader that starts after the log has discarded records does not know who
// holds a lease. It must not treat any record as granted until none has been
// appended for the duration of a lease; otherwise two routers could hold it.
func TestLateReaderWaitsForExpiry(t *testing.T) {
	is := is.New(t)
	f := NewFold(50)
	for i := range 3 {
		granted, err := f.Apply(f.Next(), epoch.Add(time.Duration(i)*Lifetime/2), recordOf("a"))
		is.NoErr(err)
		is.True(!granted) // a may be the holder, or may lose to an unknown holder
	}
	granted, _ := f.Apply(f.Next(), epoch.Add(2*Lifetime), recordOf("b"))
	is.True(granted)
}

// A fold that skipped a record, or a record that it does not understand, could
// miss that the lease was granted to another router.
func TestGapAndUnknownVersionAreRefused(t *testing.T) {
	is := is.New(t)
	f := NewFold(0)
	_, err := f.Apply(1, epoch, recordOf("a"))
	is.True(errors.Is(err, ErrGap))
	newer := recordOf("a")
	newer.FormatVersion = 2
	_, err = f.Apply(0, epoch, newer)
	is.True(errors.Is(err, ErrUnsupportedVersion))
}

// A record must be the same after encoding and decoding, and a malformed
// payload must be refused.
func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	payload, err := recordOf("a").Encode()
	is.NoErr(err)
	got, err := Decode(payload)
	is.NoErr(err)
	is.Equal(got, recordOf("a"))
	_, err = Decode([]byte("{"))
	is.True(err != nil)
}
