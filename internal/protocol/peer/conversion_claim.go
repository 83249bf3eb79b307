package peer

import (
	"errors"
	"time"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
)

// errMalformedClaim reports that a claim message is malformed.
var errMalformedClaim = errors.New("malformed claim message")

// FromClaimAsk converts a claim request to its wire form. The holder's name is
// left out, because the envelope contains it.
func FromClaimAsk(a *coordination.Request) *ClaimAsk {
	return &ClaimAsk{
		Key: a.Claim.Key[:], BodyHash: a.Claim.BodyHash, Claim: a.Claim.ID[:],
		DeadlineUnixMillis: a.Deadline.UnixMilli(), Release: a.Release,
		KeyUnixMillis: toMillis(a.Claim.KeyTime), Incarnation: a.Claim.Holder.Incarnation,
	}
}

// ToClaimAsk converts a claim request, sent by the given router, from its wire
// form.
func ToClaimAsk(from view.RouterID, m *ClaimAsk) (coordination.Request, error) {
	if len(m.GetKey()) != len(claim.Digest{}) || len(m.GetClaim()) != len(claim.ID{}) {
		return coordination.Request{}, errMalformedClaim
	}
	return coordination.Request{
		Claim: claim.Claim{
			ID: claim.ID(m.Claim), Key: claim.Digest(m.Key), BodyHash: m.BodyHash,
			Holder:  claim.Holder{Router: string(from), Incarnation: m.Incarnation},
			KeyTime: fromMillis(m.KeyUnixMillis),
		},
		Release: m.Release, Deadline: time.UnixMilli(m.DeadlineUnixMillis),
	}, nil
}

// FromClaimVerdict converts a verdict to its wire form.
func FromClaimVerdict(v *coordination.Verdict) *ClaimVerdict {
	s := &v.Result
	m := &ClaimVerdict{Claim: s.Claim[:], Verdict: uint32(s.Verdict)}
	if s.Winner != (claim.ID{}) {
		m.HolderClaim, m.HolderRouter = s.Winner[:], s.Holder.Router
		m.HolderIncarnation, m.KeptUntilUnixMillis = s.Holder.Incarnation, toMillis(s.Until)
	}
	return m
}

// ToClaimVerdict converts a verdict from its wire form.
func ToClaimVerdict(m *ClaimVerdict) (coordination.Verdict, error) {
	if len(m.GetClaim()) != len(claim.ID{}) || m.Verdict > uint32(claim.VerdictBusy) {
		return coordination.Verdict{}, errMalformedClaim
	}
	s := claim.Result{
		Claim: claim.ID(m.Claim), Verdict: claim.Verdict(m.Verdict),
		Holder: claim.Holder{Router: m.HolderRouter, Incarnation: m.HolderIncarnation},
		Until:  fromMillis(m.KeptUntilUnixMillis),
	}
	if len(m.HolderClaim) == len(claim.ID{}) {
		s.Winner = claim.ID(m.HolderClaim)
	}
	return coordination.Verdict{Result: s}, nil
}
