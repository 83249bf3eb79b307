package peer

import (
	"errors"
	"time"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
)

// errClaim means that a message about a claim is malformed.
var errClaim = errors.New("malformed message about a claim")

// FromClaimAsk returns the wire form of an ask. The holder's name is left out,
// because the envelope states it.
func FromClaimAsk(a *coordination.Request) *ClaimAsk {
	return &ClaimAsk{
		Key: a.Claim.Key[:], BodyHash: a.Claim.BodyHash, Claim: a.Claim.ID[:],
		DeadlineUnixMillis: a.Deadline.UnixMilli(), Release: a.Release,
		KeyUnixMillis: toMillis(a.Claim.KeyTime), Incarnation: a.Claim.Holder.Incarnation,
	}
}

// ToClaimAsk returns the ask that a router sent.
func ToClaimAsk(from view.RouterID, m *ClaimAsk) (coordination.Request, error) {
	if len(m.GetKey()) != len(claim.Digest{}) || len(m.GetClaim()) != len(claim.ID{}) {
		return coordination.Request{}, errClaim
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

// FromClaimVerdict returns the wire form of a verdict.
func FromClaimVerdict(v *coordination.Verdict) *ClaimVerdict {
	s := &v.Standing
	m := &ClaimVerdict{Claim: s.Claim[:], Verdict: uint32(s.Verdict)}
	if s.Winner != (claim.ID{}) {
		m.HolderClaim, m.HolderRouter = s.Winner[:], s.Holder.Router
		m.HolderIncarnation, m.KeptUntilUnixMillis = s.Holder.Incarnation, toMillis(s.Until)
	}
	return m
}

// ToClaimVerdict returns the verdict that a writer sent.
func ToClaimVerdict(m *ClaimVerdict) (coordination.Verdict, error) {
	if len(m.GetClaim()) != len(claim.ID{}) || m.Verdict > uint32(claim.VerdictBusy) {
		return coordination.Verdict{}, errClaim
	}
	s := claim.Standing{
		Claim: claim.ID(m.Claim), Verdict: claim.Verdict(m.Verdict),
		Holder: claim.Holder{Router: m.HolderRouter, Incarnation: m.HolderIncarnation},
		Until:  fromMillis(m.KeptUntilUnixMillis),
	}
	if len(m.HolderClaim) == len(claim.ID{}) {
		s.Winner = claim.ID(m.HolderClaim)
	}
	return coordination.Verdict{Standing: s}, nil
}
