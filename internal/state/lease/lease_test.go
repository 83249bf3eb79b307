package lease

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Unix(1e6, 0)

func by(router string) Record {
	return Record{FormatVersion: 1, Pool: "p", Holder: Holder{Router: router, Incarnation: 1}}
}

func TestLeaseIsGrantedOnlyWhenFree(t *testing.T) {
	is := is.New(t)
	release := by("b")
	release.Release = true
	f := NewFold(0)
	for _, step := range []struct {
		at      time.Duration
		record  Record
		granted bool
		fencing uint64
	}{
		{0, by("a"), true, 0},
		{Life / 2, by("b"), false, 0},
		{Life / 2, by("a"), true, 2}, // a renewal raises the fencing number
		{3*Life/2 - 1, by("b"), false, 2},
		{3 * Life / 2, by("b"), true, 4},
		{5 * Life / 2, by("a"), true, 5},
		{5*Life/2 + 1, release, false, 5}, // not its lease
		{5*Life/2 + 2, by("b"), false, 5},
	} {
		granted, err := f.Apply(f.Next(), epoch.Add(step.at), step.record)
		is.NoErr(err)
		is.Equal(granted, step.granted)
		l, _ := f.Lease("p")
		is.Equal(l.Fencing, step.fencing)
	}
	release = by("a")
	release.Release = true
	_, err := f.Apply(f.Next(), epoch.Add(3*Life), release)
	is.NoErr(err)
	granted, _ := f.Apply(f.Next(), epoch.Add(3*Life), by("b"))
	is.True(granted)
}

func TestReaderThatStartsLateWaitsForAGap(t *testing.T) {
	is := is.New(t)
	f := NewFold(50)
	for i := range 3 {
		granted, err := f.Apply(f.Next(), epoch.Add(time.Duration(i)*Life/2), by("a"))
		is.NoErr(err)
		is.True(!granted) // it may be renewing, or losing to a holder unseen
	}
	granted, _ := f.Apply(f.Next(), epoch.Add(2*Life), by("b"))
	is.True(granted)
}

func TestHoleAndUnknownVersionAreNotFolded(t *testing.T) {
	is := is.New(t)
	f := NewFold(0)
	_, err := f.Apply(1, epoch, by("a"))
	is.True(errors.Is(err, ErrHole))
	newer := by("a")
	newer.FormatVersion = 2
	_, err = f.Apply(0, epoch, newer)
	is.True(errors.Is(err, ErrVersion))
}

func TestRecordSurvivesItsEncoding(t *testing.T) {
	is := is.New(t)
	payload, err := by("a").Encode()
	is.NoErr(err)
	got, err := Decode(payload)
	is.NoErr(err)
	is.Equal(got, by("a"))
	_, err = Decode([]byte("{"))
	is.True(err != nil)
}
