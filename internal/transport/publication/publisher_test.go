package publication_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/standin/journal"
	"hyssopreach/internal/state/problem"
	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/transport/platform"
	"hyssopreach/internal/transport/publication"
)

func startLog(t *testing.T, settings journal.Settings) (*journal.Journal, *platform.Log) {
	t.Helper()
	j := journal.New(settings)
	if err := j.Start(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
		t.Fatal(err)
	}
	l := platform.NewLog(j.Address(), nil)
	t.Cleanup(func() {
		_ = l.Close()
		_ = j.Close()
	})
	return j, l
}

func document(basedOn int, organisation string) []byte {
	return fmt.Appendf(nil, `{"FormatVersion":1,"BasedOn":%d,"Organisations":[{"Name":%q,"Weight":1}]}`, basedOn, organisation)
}

func publish(t *testing.T, l publication.Log, id string, data []byte) (revision.Outcome, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return publication.NewPublisher(l, id).Publish(ctx, data)
}

// TestPublishReturnsOutcome checks the outcome of a text that is accepted, one
// with an outdated base, one with a base in the future, and one with faults.
func TestPublishReturnsOutcome(t *testing.T) {
	is := is.New(t)
	_, l := startLog(t, journal.Settings{Seed: 1})
	out, err := publish(t, l, "a", document(0, "a"))
	is.NoErr(err)
	is.Equal(out.Verdict, revision.VerdictAccepted)
	is.Equal(out.Revision, uint64(1))
	out, err = publish(t, l, "b", document(0, "b"))
	is.NoErr(err)
	is.Equal(out.Verdict, revision.VerdictLostRace)
	is.Equal(out.Revision, uint64(1))
	out, err = publish(t, l, "c", document(7, "c"))
	is.NoErr(err)
	is.Equal(out.Verdict, revision.VerdictRefused)
	_, err = publish(t, l, "d", document(1, "not a name"))
	var problems problem.Problems
	is.True(errors.As(err, &problems))
}

// TestPublishIsAcceptedOnceDespiteLogFaults guards against a text that is lost or
// accepted twice when the response to an append is lost, the append takes effect
// late, or the log is unavailable for a time.
func TestPublishIsAcceptedOnceDespiteLogFaults(t *testing.T) {
	for name, faults := range map[string]journal.Faults{
		"response lost":            {LoseAnswers: 1},
		"append takes effect late": {LateAppends: 1, LateMillis: 1500},
		"busy":                     {Busy: true},
		"down":                     {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j, l := startLog(t, journal.Settings{Seed: 1})
			j.SetFaults(faults)
			if faults.Busy || faults.Down {
				repair := time.AfterFunc(500*time.Millisecond, func() { j.SetFaults(journal.Faults{}) })
				defer repair.Stop()
			}
			out, err := publish(t, l, "a", document(0, "a"))
			is.NoErr(err)
			is.Equal(out.Verdict, revision.VerdictAccepted)
			is.Equal(out.Revision, uint64(1))
		})
	}
}

// TestUnknownOutcomeIsReported checks that Publish reports an unknown outcome if
// the log has trimmed the records that determine the text's outcome.
func TestUnknownOutcomeIsReported(t *testing.T) {
	is := is.New(t)
	j, l := startLog(t, journal.Settings{Seed: 1, MaxRecords: 1})
	j.Append(revision.Stream, [][]byte{[]byte("x"), []byte("y")}) // a gap that no snapshot covers
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := publication.NewPublisher(l, "a").Publish(ctx, document(0, "a"))
	var unknown *publication.UnknownOutcomeError
	is.True(errors.As(err, &unknown))
	is.True(unknown.Appended)
}

// TestConcurrentPublishersEachGetTheirOutcome publishes several texts on the same
// base concurrently. Exactly one must be accepted, and the others must lose the
// race to its revision.
func TestConcurrentPublishersEachGetTheirOutcome(t *testing.T) {
	is := is.New(t)
	const rounds, racers = 5, 8
	_, l := startLog(t, journal.Settings{Seed: 1})
	for round := range rounds {
		outcomes := make(chan revision.Outcome, racers)
		for racer := range racers {
			id := fmt.Sprintf("%d-%d", round, racer)
			go func() {
				out, err := publish(t, l, id, document(round, "o-"+id))
				if err != nil {
					t.Error(err)
				}
				outcomes <- out
			}()
		}
		accepted := 0
		for range racers {
			out := <-outcomes
			is.Equal(out.Revision, uint64(round+1))
			if out.Verdict == revision.VerdictAccepted {
				accepted++
			} else {
				is.Equal(out.Verdict, revision.VerdictLostRace)
			}
		}
		is.Equal(accepted, 1)
	}
}
