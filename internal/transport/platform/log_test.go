package platform

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/journal"
	"hyssopreach/internal/standin/vmlist"
	"hyssopreach/internal/standin/weights"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func startLog(t *testing.T, settings journal.Settings) (*journal.Journal, *Log) {
	t.Helper()
	j := journal.New(settings)
	if err := j.Start(loopback); err != nil {
		t.Fatal(err)
	}
	l := NewLog(j.Address(), nil)
	t.Cleanup(func() {
		_ = l.Close()
		_ = j.Close()
	})
	return j, l
}

func records(payloads ...string) [][]byte {
	var all [][]byte
	for _, p := range payloads {
		all = append(all, []byte(p))
	}
	return all
}

func TestAppendAndRead(t *testing.T) {
	is := is.New(t)
	_, l := startLog(t, journal.Settings{})
	ctx := context.Background()
	first, err := l.Append(ctx, "Claims", records("a", "b"))
	is.NoErr(err)
	is.Equal(first, uint64(0))
	first, err = l.Append(ctx, "Claims", records("c"))
	is.NoErr(err)
	is.Equal(first, uint64(2))
	page, err := l.Read(ctx, "Claims", 1, time.Time{})
	is.NoErr(err)
	is.Equal(len(page.Records), 2)
	is.Equal(string(page.Records[1].Payload), "c")
	is.Equal(page.Next, uint64(3))
	other, err := l.Read(ctx, "Other", 0, time.Time{}) // each stream has its own offsets
	is.NoErr(err)
	is.Equal(other.Next, uint64(0))
}

// TestReadWaitsForNextRecord appends a record while a read is waiting at the end
// of the stream. The read must return the record without a second call.
func TestReadWaitsForNextRecord(t *testing.T) {
	is := is.New(t)
	j, l := startLog(t, journal.Settings{})
	read := make(chan Page, 1)
	go func() {
		page, _ := l.Read(context.Background(), "s", 0, time.Now().Add(20*time.Second))
		read <- page
	}()
	for j.Counts().Reads == 0 {
		time.Sleep(time.Millisecond)
	}
	j.Append("s", records("x"))
	page := <-read
	is.Equal(len(page.Records), 1)
}

// TestReadOfTrimmedOffset reads from an offset that the log has discarded. The
// error must state where reading can continue.
func TestReadOfTrimmedOffset(t *testing.T) {
	is := is.New(t)
	j, l := startLog(t, journal.Settings{MaxRecords: 2})
	j.Append("s", records("a", "b", "c", "d"))
	_, err := l.Read(context.Background(), "s", 1, time.Time{})
	var gone *OffsetTrimmedError
	is.True(errors.As(err, &gone))
	is.Equal(gone.Oldest, uint64(2))
}

// TestAppendErrorTypes checks that an append that may have taken effect is never
// reported as failed: its caller would append the records a second time.
func TestAppendErrorTypes(t *testing.T) {
	tests := []struct {
		name     string
		faults   journal.Faults
		unknown  bool
		appended int
	}{
		{"AnswerLost", journal.Faults{LoseAnswers: 1}, true, 1},
		{"AnswerLostAtRandom", journal.Faults{LoseProbability: 1}, true, 1},
		{"Down", journal.Faults{Down: true}, true, 0},
		{"Busy", journal.Faults{Busy: true}, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			j, l := startLog(t, journal.Settings{Seed: 1})
			j.SetFaults(test.faults)
			_, err := l.Append(context.Background(), "s", records("a"))
			var unknown *UnknownOutcomeError
			var unavailable *UnavailableError
			is.Equal(errors.As(err, &unknown), test.unknown)
			is.Equal(errors.As(err, &unavailable), !test.unknown)
			is.Equal(j.Counts().Appends, test.appended)
		})
	}
}

// TestAppendWithoutServerIsUnavailable appends to a closed server. The body was
// never sent, so the outcome is known.
func TestAppendWithoutServerIsUnavailable(t *testing.T) {
	is := is.New(t)
	j, l := startLog(t, journal.Settings{})
	is.NoErr(j.Close())
	_, err := l.Append(context.Background(), "s", records("a"))
	var unavailable *UnavailableError
	is.True(errors.As(err, &unavailable))
}

// TestLateAppendTakesEffectAfterError breaks the connection of an append that
// the log carries out a second later. The error must leave the outcome open.
func TestLateAppendTakesEffectAfterError(t *testing.T) {
	is := is.New(t)
	j, l := startLog(t, journal.Settings{})
	j.SetFaults(journal.Faults{LateAppends: 1, LateMillis: 1000})
	_, err := l.Append(context.Background(), "s", records("a"))
	var unknown *UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	is.Equal(j.Counts().Appends, 0)
	page, err := l.Read(context.Background(), "s", 0, time.Now().Add(20*time.Second))
	is.NoErr(err)
	is.Equal(len(page.Records), 1)
}

// TestOffsetGapIsRejected checks that a page with a missing record is an error,
// so that no reader skips a record unnoticed.
func TestOffsetGapIsRejected(t *testing.T) {
	is := is.New(t)
	is.NoErr(checkOffsets([]platform.Record{{Offset: 4}, {Offset: 5}}, 4))
	is.True(checkOffsets([]platform.Record{{Offset: 4}, {Offset: 6}}, 4) != nil)
	is.True(checkOffsets([]platform.Record{{Offset: 5}}, 4) != nil)
}

// TestVMListChangeAppearsAfterLag checks that the stand-in shows a change of the
// list, under a new version, no earlier than the configured lag.
func TestVMListChangeAppearsAfterLag(t *testing.T) {
	is := is.New(t)
	const lag = 50 * time.Millisecond
	list := vmlist.New(vmlist.Settings{Lag: lag, VMs: []platform.VM{{Name: "a"}}})
	is.NoErr(list.Start(loopback))
	defer list.Close()
	client := NewVMList(list.Address(), nil)
	defer client.Close()
	list.SetLeaving("a")
	changed := time.Now()
	for {
		seen, err := client.VMs(context.Background())
		is.NoErr(err)
		if seen.VMs[0].Leaving {
			is.Equal(seen.Version, uint64(2))
			is.True(time.Since(changed) >= lag-time.Millisecond) // not before the lag
			return
		}
		is.Equal(seen.Version, uint64(1))
	}
}

// TestWeightStoreSchedulesAtItsRate checks that a reservation begins only after
// the transfer of the one before it has ended.
func TestWeightStoreSchedulesAtItsRate(t *testing.T) {
	is := is.New(t)
	store := weights.New(weights.Settings{BytesPerSecond: 100})
	is.NoErr(store.Start(loopback))
	defer store.Close()
	client := NewWeightStore(store.Address(), nil)
	defer client.Close()
	first, err := client.Reserve(context.Background(), "m", 1000)
	is.NoErr(err)
	second, err := client.Reserve(context.Background(), "m", 1)
	is.NoErr(err)
	is.Equal(second.Sub(first), 10*time.Second)
}
