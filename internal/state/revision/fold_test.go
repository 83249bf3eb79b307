package revision_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hyssopreach/internal/state/revision"
)

// TestMain fixes the seed of the property tests, so that every run gives the
// same result; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// publish returns the payload of a publish based on a revision; the tag makes
// texts differ.
func publish(id string, basedOn uint64, tag string) []byte {
	data := fmt.Sprintf(`{"FormatVersion":1,"BasedOn":%d,"Organisations":[{"Name":"o%s","Weight":1}]}`, basedOn, tag)
	r := revision.NewPublish(id, basedOn, []byte(data))
	payload, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return payload
}

// snapshot returns the payload of the fold's snapshot.
func snapshot(f *revision.Fold) []byte {
	r, ok := f.Snapshot()
	if !ok {
		panic("the fold is incomplete or no revision is in force")
	}
	payload, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return payload
}

func apply(is *is.I, f *revision.Fold, payload []byte) revision.Outcome {
	is.Helper()
	out, err := f.Apply(f.Next(), payload)
	is.NoErr(err)
	return out
}

// Two operators publish texts based on the same revision. The first one must be
// accepted and the second one must be reported as having lost the race, or it
// would silently revert the first. The same holds for a publish appended twice.
func TestSecondPublishOnSameBaseLosesRace(t *testing.T) {
	is := is.New(t)
	f := &revision.Fold{}
	is.Equal(apply(is, f, publish("a", 0, "a")).Verdict, revision.VerdictAccepted)
	lost := apply(is, f, publish("b", 0, "b"))
	is.Equal(lost.Verdict, revision.VerdictLostRace)
	is.Equal(lost.Revision, uint64(1))
	is.Equal(lost.PublishID, "b")
	again := apply(is, f, publish("a", 0, "a"))
	is.Equal(again.Verdict, revision.VerdictLostRace) // appended twice, accepted once
	is.Equal(apply(is, f, publish("c", 9, "c")).Verdict, revision.VerdictRefused)
	is.Equal(apply(is, f, []byte("{")).Verdict, revision.VerdictRefused)
	is.Equal(f.InForce().Revision, uint64(1))
	_, err := f.Apply(99, publish("d", 1, "d"))
	is.True(err != nil) // only the record at Next is accepted
}

// The log has discarded records that the fold has not read, among which may be
// a newer revision. The fold must decide on no publish until a snapshot states
// the revision in force after the gap, and must not return to an older
// revision.
func TestNoPublishIsDecidedAfterGapUntilSnapshot(t *testing.T) {
	is := is.New(t)
	f := &revision.Fold{}
	apply(is, f, publish("a", 0, "a"))
	old := snapshot(f)
	author := *f
	for author.Next() < 5 {
		apply(is, &author, []byte("{"))
	}
	is.True(f.Skip(5))
	is.True(f.Incomplete())
	is.Equal(apply(is, f, publish("b", 1, "b")).Verdict, revision.VerdictUnjudged)
	is.Equal(apply(is, f, old).Verdict, revision.VerdictSnapshot)
	is.True(f.Incomplete()) // it states what was in force before the gap
	fresh := snapshot(&author)
	apply(is, f, fresh)
	is.True(!f.Incomplete())
	is.Equal(f.Next(), uint64(5)) // the records after the snapshot's FoldedTo are read again
	is.Equal(apply(is, f, publish("b", 1, "b")).Revision, uint64(2))
	apply(is, f, old)
	apply(is, f, fresh)
	is.Equal(f.InForce().Revision, uint64(2)) // snapshots never revert
}

// A record or a text in a newer format may contain a newer revision that only
// newer programs accept, so an older program must not decide on later records.
func TestNewerFormatCausesGap(t *testing.T) {
	is := is.New(t)
	for _, newer := range [][]byte{
		[]byte(`{"FormatVersion":2,"Kind":"Merge","Extra":1}`),
		[]byte(`{"FormatVersion":1,"Kind":"Publish","PublishID":"n","BasedOn":1,"Text":"{\"FormatVersion\":2,\"New\":1}"}`),
	} {
		f := &revision.Fold{}
		apply(is, f, publish("a", 0, "a"))
		is.Equal(apply(is, f, newer).Verdict, revision.VerdictUnjudged)
		is.True(f.Incomplete())
		is.Equal(f.InForce().Revision, uint64(1)) // the last known revision stays in force
	}
}

// Two readers of different logs accept different texts as the same revision.
// The divergence must be reported, and must not replace the reader's own text.
func TestSameRevisionWithOtherTextIsReported(t *testing.T) {
	is := is.New(t)
	ours, theirs := &revision.Fold{}, &revision.Fold{}
	apply(is, ours, publish("a", 0, "a"))
	apply(is, theirs, publish("b", 0, "b"))
	out := apply(is, ours, snapshot(theirs))
	var diverged *revision.DivergedError
	is.True(errors.As(out.Violation, &diverged))
	is.Equal(ours.InForce().Hash, diverged.Ours.Hash) // our text stays in force
}

// Readers start, stop and lag behind on a log that discards its oldest records.
// A reader whose fold is complete at an offset must have the same version in
// force as a reader of the whole log has at that offset.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var log [][]byte
		var oldest uint64
		whole := &revision.Fold{}
		history := []revision.Version{{}}
		readers := []*revision.Fold{{}, {}, {}}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := readers[rapid.IntRange(0, len(readers)-1).Draw(t, "reader")]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				base := r.InForce().Revision
				log = append(log, publish(fmt.Sprint(step), base, fmt.Sprint(step)))
			case 3:
				log = append(log, []byte("garbage"))
			case 4:
				if _, ok := r.Snapshot(); ok {
					log = append(log, snapshot(r))
				}
			case 5:
				oldest = min(oldest+uint64(rapid.IntRange(1, 3).Draw(t, "discarded")), uint64(len(log)))
			case 6:
				*r = revision.Fold{}
			case 7:
				if c := readers[0].InForce(); c.Revision > 0 {
					_, err := r.Adopt(c, c.Offset+1)
					is.NoErr(err)
				}
			default:
				r.Skip(oldest)
				if r.Next() < uint64(len(log)) {
					out, err := r.Apply(r.Next(), log[r.Next()])
					is.NoErr(err)
					is.NoErr(out.Violation)
				}
			}
			for whole.Next() < uint64(len(log)) {
				apply(is, whole, log[whole.Next()])
				history = append(history, whole.InForce().Version)
			}
			for _, r := range readers {
				if !r.Incomplete() {
					is.Equal(r.InForce().Version, history[r.Next()])
				}
			}
		}
	})
}

func FuzzParseRecord(f *testing.F) {
	f.Add(publish("a", 0, "a"))
	f.Add([]byte(`{"FormatVersion":1,"Kind":"Snapshot","Revision":3,"Offset":1,"FoldedTo":2,"Text":"{}"}`))
	f.Add([]byte(`{"FormatVersion":2}`))
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, payload []byte) {
		fold := &revision.Fold{}
		out, err := fold.Apply(0, payload)
		if err != nil {
			t.Fatal(err)
		}
		if out.Verdict == revision.VerdictRefused && out.Reason == nil {
			t.Fatal("refused without a reason")
		}
	})
}
