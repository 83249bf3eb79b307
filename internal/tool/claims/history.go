package claims

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/state/claim"
)

// operation is a claim or a release of a key, as its claimant sees it.
type operation struct {
	key     claim.Digest
	id      claim.ID
	release bool
}

// history records when each claim and release was first requested, and the
// first verdict on it, other than Busy, that a claimant received. A nil history
// records nothing.
type history struct {
	calls    []operation
	calledAt map[operation]time.Time
	results  map[operation]result
	keys     map[claim.ID]claim.Digest
}

type result struct {
	at          time.Time
	claimResult claim.Result
}

func newHistory() *history {
	return &history{calledAt: map[operation]time.Time{}, results: map[operation]result{}, keys: map[claim.ID]claim.Digest{}}
}

func (h *history) recordCall(now time.Time, call coordination.Request) {
	if h == nil {
		return
	}
	o := operation{call.Claim.Key, call.Claim.ID, call.Release}
	if _, ok := h.calledAt[o]; !ok {
		h.calls = append(h.calls, o)
		h.calledAt[o] = now
		h.keys[o.id] = o.key
	}
}

func (h *history) recordResult(now time.Time, received claim.Result) {
	if h == nil || received.Verdict == claim.VerdictBusy {
		return
	}
	o := operation{h.keys[received.Claim], received.Claim, received.Verdict == claim.VerdictReleased}
	_, called := h.calledAt[o]
	if _, ok := h.results[o]; called && !ok {
		h.results[o] = result{now, received}
	}
}

// operations returns the recorded history. An operation without a verdict has
// an empty result and never returns.
func (h *history) operations() []porcupine.Operation {
	if h == nil {
		return nil
	}
	all := make([]porcupine.Operation, 0, len(h.calls))
	for i, o := range h.calls {
		p := porcupine.Operation{ClientId: i, Input: o, Call: h.calledAt[o].UnixNano(), Output: result{}, Return: math.MaxInt64}
		if r, ok := h.results[o]; ok {
			p.Output, p.Return = r, r.at.UnixNano()
		}
		all = append(all, p)
	}
	return all
}
