package claims

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/state/claim"
)

// operation is a claim or a release, as its claimant sees it.
type operation struct {
	key     claim.Digest
	id      claim.ID
	release bool
}

// history records when claims and releases were first asked for and what was
// first heard of them. A nil history records nothing.
type history struct {
	calls   []operation
	at      map[operation]time.Time
	results map[operation]result
	keys    map[claim.ID]claim.Digest
}

type result struct {
	at       time.Time
	standing claim.Result
}

func newHistory() *history {
	return &history{at: map[operation]time.Time{}, results: map[operation]result{}, keys: map[claim.ID]claim.Digest{}}
}

func (h *history) asked(now time.Time, a coordination.Request) {
	if h == nil {
		return
	}
	o := operation{a.Claim.Key, a.Claim.ID, a.Release}
	if _, ok := h.at[o]; !ok {
		h.calls = append(h.calls, o)
		h.at[o] = now
		h.keys[o.id] = o.key
	}
}

func (h *history) heard(now time.Time, s claim.Result) {
	if h == nil || s.Verdict == claim.VerdictBusy {
		return
	}
	o := operation{h.keys[s.Claim], s.Claim, s.Verdict == claim.VerdictReleased}
	_, asked := h.at[o]
	if _, ok := h.results[o]; asked && !ok {
		h.results[o] = result{now, s}
	}
}

// operations returns the history; what was never answered ends never.
func (h *history) operations() []porcupine.Operation {
	if h == nil {
		return nil
	}
	all := make([]porcupine.Operation, 0, len(h.calls))
	for i, o := range h.calls {
		p := porcupine.Operation{ClientId: i, Input: o, Call: h.at[o].UnixNano(), Output: result{}, Return: math.MaxInt64}
		if r, ok := h.results[o]; ok {
			p.Output, p.Return = r, r.at.UnixNano()
		}
		all = append(all, p)
	}
	return all
}
