package peer

import (
	"hyssopreach/internal/coordination/suspect"
	"hyssopreach/internal/state/view"
)

// FromSuspectMessage converts a message about suspects, which are requests that
// may crash endpoints, to its wire form. It returns nil for a type that has no
// wire form.
func FromSuspectMessage(m suspect.Message) *Message {
	switch m := m.(type) {
	case suspect.EvidenceUpdate:
		return &Message{Kind: &Message_SuspectNews{SuspectNews: &SuspectNews{Suspects: FromEvidence(m.Evidence), Reply: m.Reply}}}
	case suspect.EvidenceAck:
		return &Message{Kind: &Message_SuspectTaken{SuspectTaken: &SuspectTaken{Fingerprint: uint64(m.Fingerprint), Endpoint: string(m.Endpoint)}}}
	case suspect.PermitRequest:
		return &Message{Kind: &Message_SuspectAsk{SuspectAsk: &SuspectAsk{
			Fingerprint: uint64(m.Fingerprint), UntilUnixMillis: toMillis(m.Until),
		}}}
	case suspect.PermitReply:
		return &Message{Kind: &Message_SuspectPermit{SuspectPermit: &SuspectPermit{
			Fingerprint: uint64(m.Fingerprint), Granted: m.Granted, Suspects: FromEvidence(m.Evidence),
		}}}
	case suspect.PermitRelease:
		return &Message{Kind: &Message_SuspectDone{SuspectDone: &SuspectDone{Fingerprint: uint64(m.Fingerprint)}}}
	}
	return nil
}

// ToSuspectMessage converts a message about suspects from its wire form. It
// returns false if the message is of another kind.
func ToSuspectMessage(m *Message) (suspect.Message, bool) {
	switch k := m.GetKind().(type) {
	case *Message_SuspectNews:
		return suspect.EvidenceUpdate{Evidence: ToEvidence(k.SuspectNews.GetSuspects()), Reply: k.SuspectNews.GetReply()}, true
	case *Message_SuspectTaken:
		return suspect.EvidenceAck{
			Fingerprint: suspect.Fingerprint(k.SuspectTaken.GetFingerprint()), Endpoint: view.EndpointID(k.SuspectTaken.GetEndpoint()),
		}, true
	case *Message_SuspectAsk:
		return suspect.PermitRequest{
			Fingerprint: suspect.Fingerprint(k.SuspectAsk.GetFingerprint()),
			Until:       fromMillis(k.SuspectAsk.GetUntilUnixMillis()),
		}, true
	case *Message_SuspectPermit:
		return suspect.PermitReply{
			Fingerprint: suspect.Fingerprint(k.SuspectPermit.GetFingerprint()),
			Granted:     k.SuspectPermit.GetGranted(), Evidence: ToEvidence(k.SuspectPermit.GetSuspects()),
		}, true
	case *Message_SuspectDone:
		return suspect.PermitRelease{Fingerprint: suspect.Fingerprint(k.SuspectDone.GetFingerprint())}, true
	}
	return nil, false
}

// FromEvidence converts evidence to its wire form.
func FromEvidence(all []suspect.Evidence) []*Suspect {
	var suspects []*Suspect
	for i := range all {
		e := &all[i]
		suspects = append(suspects, &Suspect{
			Fingerprint: uint64(e.Fingerprint), Endpoint: string(e.Endpoint), Cleared: e.Cleared,
			AtUnixMillis: toMillis(e.At), UntilUnixMillis: toMillis(e.Until), BeganAtUnixMillis: toMillis(e.BeganAt),
		})
	}
	return suspects
}

// ToEvidence converts evidence from its wire form.
func ToEvidence(suspects []*Suspect) []suspect.Evidence {
	var all []suspect.Evidence
	for _, s := range suspects {
		all = append(all, suspect.Evidence{
			Fingerprint: suspect.Fingerprint(s.GetFingerprint()), Endpoint: view.EndpointID(s.GetEndpoint()),
			Cleared: s.GetCleared(), At: fromMillis(s.GetAtUnixMillis()), Until: fromMillis(s.GetUntilUnixMillis()),
			BeganAt: fromMillis(s.GetBeganAtUnixMillis()),
		})
	}
	return all
}
