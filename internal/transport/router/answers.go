package router

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	coordination "hyssopreach/internal/coordination/claim"
	"hyssopreach/internal/protocol/caller"
	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/claim"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/answer"
	"hyssopreach/internal/transport/execution"
)

// maxAnswerPartBytes bounds the body bytes in one message that carries part of
// an answer between routers.
const maxAnswerPartBytes = 32 << 10

var errHolderGone = errors.New("the router that held the request has gone")

// join copies the answer of the claim that holds the key into the attempt. It
// returns false if that claim was abandoned before its request was sent, so
// that the request may be claimed again.
func (c *claims) join(ctx context.Context, call *execution.Call, a *answer.Attempt, o coordination.Join) bool {
	end := answer.EndUnknown
	query := &wire.AnswerQuery{Key: keyBytes(a.Key()), Claim: o.Winner[:], Incarnation: o.Holder.Incarnation}
	began := false
	receive := func(p *wire.AnswerPart) error {
		if p.Status != 0 && !began {
			began = true
			header := http.Header{}
			if p.ContentType != "" {
				header.Set("Content-Type", p.ContentType)
			}
			if err := a.Begin(int(p.Status), header); err != nil {
				return err
			}
		}
		if len(p.Body) > 0 {
			if _, err := a.Write(p.Body); err != nil {
				return err
			}
		}
		if p.Last {
			end = answer.End(p.End)
		}
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	err := c.readAnswer(ctx, view.RouterID(o.Holder.Router), query, receive)
	switch {
	case err == nil && end == answer.EndComplete:
		_ = a.End()
	case err == nil && end == answer.EndUnsent && !began:
		return false
	case err == nil && (end == answer.EndBroken || end == answer.EndEvicted):
		a.Finish(end, answerGone(call))
	default:
		if err == nil {
			err = errHolderGone
		}
		a.Finish(answer.EndUnknown, claimUndecided(call, "another try may have run: "+err.Error(), caller.NotRunUnknown))
	}
	return true
}

func keyBytes(d claim.Digest) []byte { return d[:] }

// readAnswer reads the answer of a claim from the router that holds it, which
// may be this one.
func (c *claims) readAnswer(ctx context.Context, holder view.RouterID, q *wire.AnswerQuery, receive func(*wire.AnswerPart) error) error {
	if holder == c.self {
		return c.sendAnswer(ctx, q, receive)
	}
	address, ok := c.peers.Address(holder)
	if !ok {
		return fmt.Errorf("read answer from %s: %w", holder, errHolderGone)
	}
	return c.peers.links.ReadAnswer(ctx, address, q, receive)
}

// sendAnswer sends the parts of a retained or running answer. If this
// incarnation abandoned the claim before sending the request, sendAnswer releases
// the claim again: a router queries the answer of a claim only if the claim holds
// the key, so an append of the abandoned claim has taken effect late.
func (c *claims) sendAnswer(ctx context.Context, q *wire.AnswerQuery, send func(*wire.AnswerPart) error) error {
	if len(q.Claim) != len(claim.ID{}) || len(q.Key) != len(claim.Digest{}) {
		return errors.New("tell answer: malformed query")
	}
	if q.Incarnation != c.incarnation {
		return send(&wire.AnswerPart{Last: true, End: uint32(answer.EndUnknown)})
	}
	id := claim.ID(q.Claim)
	a, abandoned := c.store.Find(id)
	if abandoned {
		c.host.ReleaseOrphan(id, claim.Digest(q.Key))
		return send(&wire.AnswerPart{Last: true, End: uint32(answer.EndUnsent)})
	}
	if a == nil {
		return send(&wire.AnswerPart{Last: true, End: uint32(answer.EndUnknown)})
	}
	defer a.Detach()
	end, _, err := a.CopyTo(ctx, &partSink{send})
	if end == answer.EndNone {
		return fmt.Errorf("tell answer: %w", err)
	}
	if end == answer.EndUnsent {
		c.host.ReleaseOrphan(id, a.Key())
	}
	return send(&wire.AnswerPart{Last: true, End: uint32(end)})
}

// partSink is an answer.Sink that sends the answer in parts.
type partSink struct {
	send func(*wire.AnswerPart) error
}

// Begin sends the status and the content type of the answer.
func (s *partSink) Begin(status int, header http.Header) error {
	return s.send(&wire.AnswerPart{Status: uint32(status), ContentType: header.Get("Content-Type")})
}

// Write sends bytes of the body in parts of at most maxAnswerPartBytes.
func (s *partSink) Write(p []byte) (int, error) {
	for sent := 0; sent < len(p); {
		n := min(len(p)-sent, maxAnswerPartBytes)
		if err := s.send(&wire.AnswerPart{Body: p[sent : sent+n]}); err != nil {
			return sent, err
		}
		sent += n
	}
	return len(p), nil
}

// End does nothing, because the last part states how the answer ended.
func (s *partSink) End() error { return nil }
