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

// answerPartBytes bounds one part of an answer on its way between routers.
const answerPartBytes = 32 << 10

var errNotHeld = errors.New("the router that held the request has gone")

// join reads the answer of the claim that holds the key. It returns false if
// that claim was given up unsent, so that another one may be tried.
func (c *claims) join(ctx context.Context, call *execution.Call, a *answer.Attempt, o coordination.Join) bool {
	end := answer.EndUnknown
	query := &wire.AnswerQuery{Key: keyBytes(a.Key()), Claim: o.Winner[:], Incarnation: o.Holder.Incarnation}
	began := false
	take := func(p *wire.AnswerPart) error {
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
	err := c.ask(ctx, view.RouterID(o.Holder.Router), query, take)
	switch {
	case err == nil && end == answer.EndWhole:
		_ = a.End()
	case err == nil && end == answer.EndUnsent && !began:
		return false
	case err == nil && (end == answer.EndBroken || end == answer.EndDropped):
		a.Finish(end, ran(call))
	default:
		if err == nil {
			err = errNotHeld
		}
		a.Finish(answer.EndUnknown, undecided(call, "another try may have run: "+err.Error(), caller.NotRunUnknown))
	}
	return true
}

func keyBytes(d claim.Digest) []byte { return d[:] }

func (c *claims) ask(ctx context.Context, holder view.RouterID, q *wire.AnswerQuery, take func(*wire.AnswerPart) error) error {
	if holder == c.self {
		return c.tell(ctx, q, take)
	}
	address, ok := c.peers.Address(holder)
	if !ok {
		return fmt.Errorf("read answer from %s: %w", holder, errNotHeld)
	}
	return c.peers.links.Answer(ctx, address, q, take)
}

// tell sends the parts of a kept or running answer. A claim of this
// incarnation that was given up is released once more, because it holds its
// key all the same.
func (c *claims) tell(ctx context.Context, q *wire.AnswerQuery, send func(*wire.AnswerPart) error) error {
	if len(q.Claim) != len(claim.ID{}) || len(q.Key) != len(claim.Digest{}) {
		return errors.New("tell answer: malformed query")
	}
	if q.Incarnation != c.incarnation {
		return send(&wire.AnswerPart{Last: true, End: uint32(answer.EndUnknown)})
	}
	id := claim.ID(q.Claim)
	a, givenUp := c.store.Find(id)
	if givenUp {
		c.host.Disown(id, claim.Digest(q.Key))
		return send(&wire.AnswerPart{Last: true, End: uint32(answer.EndUnsent)})
	}
	if a == nil {
		return send(&wire.AnswerPart{Last: true, End: uint32(answer.EndUnknown)})
	}
	defer a.Leave()
	end, _, err := a.CopyTo(ctx, &partSink{send})
	if end == answer.EndNone {
		return fmt.Errorf("tell answer: %w", err)
	}
	if end == answer.EndUnsent {
		c.host.Disown(id, a.Key())
	}
	return send(&wire.AnswerPart{Last: true, End: uint32(end)})
}

// partSink sends an answer in parts.
type partSink struct {
	send func(*wire.AnswerPart) error
}

// Begin sends the head of the answer.
func (s *partSink) Begin(status int, header http.Header) error {
	return s.send(&wire.AnswerPart{Status: uint32(status), ContentType: header.Get("Content-Type")})
}

// Write sends a part of the answer.
func (s *partSink) Write(p []byte) (int, error) {
	for sent := 0; sent < len(p); {
		n := min(len(p)-sent, answerPartBytes)
		if err := s.send(&wire.AnswerPart{Body: p[sent : sent+n]}); err != nil {
			return sent, err
		}
		sent += n
	}
	return len(p), nil
}

// End does nothing, because the last part tells the end.
func (s *partSink) End() error { return nil }
