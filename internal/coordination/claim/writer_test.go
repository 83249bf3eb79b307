package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/claim"
)

func requestOf(id byte, key string, body uint64) RequestReceived {
	return RequestReceived{"a", Request{Claim: claim.Claim{ID: claim.ID{id}, Key: claim.DigestOf("o", key), BodyHash: body, Holder: claim.Holder{Router: "a"}}, Deadline: epoch.Add(10 * time.Second)}}
}

// readyWriter returns a writer that has read an empty stream to its end.
func readyWriter(is *is.I) *Writer {
	w := NewWriter(0, 3*claim.KeyLifetime)
	out := w.Step(epoch, Ownership{true})
	is.Equal(outputsOf[Read](out), []Read{{Range: 0, From: 0}})
	w.Step(epoch, Records{})
	is.True(w.Ready())
	return w
}

func recordOf(offset uint64, b claim.Batch) Records {
	return Records{Records: []claim.Record{{Offset: offset, Appended: epoch, Batch: b}}, Next: offset + 1}
}

func TestWriterAnswersOnlyAfterReadingBackItsAppend(t *testing.T) {
	is := is.New(t)
	w := readyWriter(is)
	appends := outputsOf[Append](w.Step(epoch, requestOf(1, "k", 7)))
	is.Equal(len(appends), 1)
	// The append has taken effect, but another claim may precede it in the log.
	is.Equal(len(outputsOf[SendVerdict](w.Step(epoch, Appended{appends[0].Token, 1}))), 0)
	other := claim.Batch{FormatVersion: 1, Entries: []claim.Entry{{Kind: claim.KindClaim, Claim: requestOf(2, "k", 7).Request.Claim}}}
	is.Equal(len(outputsOf[SendVerdict](w.Step(epoch, recordOf(0, other)))), 0)
	got := outputsOf[SendVerdict](w.Step(epoch, recordOf(1, appends[0].Batch)))
	is.Equal(len(got), 1)
	is.Equal(got[0].Verdict.Result.Verdict, claim.VerdictHeld)
	is.Equal(got[0].Verdict.Result.Winner, claim.ID{2})
}

func TestWriterBatchesWhileAppendIsInFlight(t *testing.T) {
	is := is.New(t)
	w := readyWriter(is)
	first := outputsOf[Append](w.Step(epoch, requestOf(1, "1", 7)))[0]
	for id := byte(2); id < 10; id++ {
		is.Equal(len(outputsOf[Append](w.Step(epoch, requestOf(id, string(id), 7)))), 0)
	}
	w.Step(epoch, Appended{first.Token, 0})
	next := outputsOf[Append](w.Step(epoch, recordOf(0, first.Batch)))
	is.Equal(len(next), 1)
	is.Equal(len(next[0].Batch.Entries), 8)
}

func TestAppendWithUnknownResultIsRepeatedWithSameClaim(t *testing.T) {
	is := is.New(t)
	w := readyWriter(is)
	first := outputsOf[Append](w.Step(epoch, requestOf(1, "k", 7)))[0]
	second := outputsOf[Append](w.Step(epoch, AppendFailed{first.Token}))[0]
	is.Equal(second.Batch, first.Batch)
	is.Equal(len(outputsOf[Append](w.Step(epoch, AppendFailed{first.Token}))), 0) // answer to an earlier append
	// The first append took effect after all and decides the claim.
	got := outputsOf[SendVerdict](w.Step(epoch, recordOf(0, first.Batch)))
	is.Equal(got[0].Verdict.Result.Verdict, claim.VerdictWon)
	is.Equal(len(outputsOf[SendVerdict](w.Step(epoch, recordOf(1, second.Batch)))), 0)
	is.Equal(outputsOf[SendVerdict](w.Step(epoch, requestOf(1, "k", 7)))[0].Verdict.Result.Verdict, claim.VerdictWon)
}

func TestAppendRateIsLimited(t *testing.T) {
	is := is.New(t)
	w := readyWriter(is)
	now, offset, appends := epoch, uint64(0), 0
	const length = 100 * time.Second
	for i := 0; now.Before(epoch.Add(length)); i++ {
		request := requestOf(0, "", 7)
		request.Request.Claim.ID = claim.ID{byte(i), byte(i >> 8), byte(i >> 16)}
		request.Request.Claim.Key = claim.DigestOf("o", time.Duration(i).String())
		request.Request.Deadline = now.Add(time.Second)
		for _, a := range outputsOf[Append](w.Step(now, request)) {
			appends++
			w.Step(now, Appended{a.Token, offset})
			w.Step(now, recordOf(offset, a.Batch))
			offset++
		}
		now = now.Add(time.Millisecond)
	}
	perSecond := float64(appends*claim.Ranges) / length.Seconds()
	is.True(perSecond <= 60)
}

func TestRestartedWriterAnswersNothingBeforeItHasReadTheLog(t *testing.T) {
	is := is.New(t)
	w := NewWriter(0, time.Minute)
	w.Step(epoch, Ownership{true})
	is.Equal(len(outputsOf[Append](w.Step(epoch, requestOf(1, "k", 7)))), 0)
	is.Equal(outputsOf[Read](w.Step(epoch, OffsetTrimmed{Oldest: 50})), []Read{{Range: 0, From: 50}})
	w.Step(epoch, Records{Next: 50})
	is.True(!w.Ready()) // a claim that the log no longer holds may have won the key
	held := claim.Entry{Kind: claim.KindCarry, Claim: requestOf(2, "k", 7).Request.Claim, Until: epoch.Add(time.Hour)}
	w.Step(epoch, recordOf(50, claim.Batch{FormatVersion: 1, Entries: []claim.Entry{held}, Checkpoint: &claim.Checkpoint{From: 50}}))
	is.True(!w.Ready())
	got := outputsOf[SendVerdict](w.Step(epoch, recordOf(51, claim.Batch{FormatVersion: 1, Checkpoint: &claim.Checkpoint{From: 50, Final: true, Clock: epoch}})))
	is.True(w.Ready())
	is.Equal(got[0].Verdict.Result.Verdict, claim.VerdictHeld)
}

func TestCheckpointContainsEveryItemBeforeItEnds(t *testing.T) {
	is := is.New(t)
	w := NewWriter(0, 40*time.Second)
	w.Step(epoch, Ownership{true})
	w.Step(epoch, Records{})
	first := outputsOf[Append](w.Step(epoch, requestOf(1, "k", 7)))[0]
	w.Step(epoch, Appended{first.Token, 0})
	w.Step(epoch, recordOf(0, first.Batch))
	now := epoch.Add(11 * time.Second)
	parts := outputsOf[Append](w.Step(now, WriterAlarm{}))
	is.Equal(parts[0].Batch.Entries[0].Kind, claim.KindCarry)
	again := outputsOf[Append](w.Step(now, AppendFailed{parts[0].Token}))
	is.Equal(again[0].Batch, parts[0].Batch) // a part is appended again until it is confirmed
	w.Step(now, Appended{again[0].Token, 1})
	end := outputsOf[Append](w.Step(now, recordOf(1, again[0].Batch)))
	is.Equal(end[0].Batch.Checkpoint.From, uint64(1))
	is.True(end[0].Batch.Checkpoint.Final)
	is.Equal(len(end[0].Batch.Entries), 0)
}

func TestLostStateBarsTheRange(t *testing.T) {
	is := is.New(t)
	w := NewWriter(0, 40*time.Second)
	w.Step(epoch, Ownership{true})
	w.Step(epoch, OffsetTrimmed{Oldest: 50})
	w.Step(epoch, Records{Next: 50})
	is.Equal(len(outputsOf[Append](w.Step(epoch.Add(19*time.Second), WriterAlarm{}))), 0)
	bar := outputsOf[Append](w.Step(epoch.Add(20*time.Second), WriterAlarm{}))
	is.True(bar[0].Batch.Bar)

	// A log that holds records for longer than keys live has dropped only
	// records of expired keys.
	w = NewWriter(0, 2*claim.KeyLifetime)
	w.Step(epoch, Ownership{true})
	w.Step(epoch, OffsetTrimmed{Oldest: 50})
	is.True(!w.Ready())
	w.Step(epoch, Records{Next: 50})
	is.True(w.Ready())
}

func TestUnreadableRecordStopsTheWriter(t *testing.T) {
	is := is.New(t)
	w := readyWriter(is)
	w.Step(epoch, recordOf(0, claim.Batch{FormatVersion: 99}))
	is.True(!w.Ready())
	got := outputsOf[SendVerdict](w.Step(epoch, requestOf(1, "k", 7)))
	is.Equal(got[0].Verdict.Result.Verdict, claim.VerdictBusy)
}
