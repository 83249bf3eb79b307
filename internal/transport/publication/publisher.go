package publication

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/transport/platform"
)

const (
	// readWait is how long one read may wait for a record.
	readWait = time.Second
	// retryPause is the time before a failed step is tried again.
	retryPause = 300 * time.Millisecond
)

// Log is the part of the log's client that a publisher needs.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, waitUntil time.Time) (platform.Page, error)
}

// UnknownError says that it could not be learnt what became of a text. It may
// still be accepted if Appended is set.
type UnknownError struct {
	// Appended is set if the record is, or may be, in the log.
	Appended bool
	Err      error
}

// Error describes what is known.
func (e *UnknownError) Error() string {
	if e.Appended {
		return fmt.Sprintf("the fate of the text is unknown, and it may still come into force: %v", e.Err)
	}
	return fmt.Sprintf("the text was not published: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// Publisher publishes one text.
type Publisher struct {
	log  Log
	id   string
	fold revision.Fold
	// appended is set once the record is, or may be, in the log.
	appended bool
}

// NewPublisher returns a publisher under the given PublishID, which must be
// new.
func NewPublisher(l Log, id string) *Publisher { return &Publisher{log: l, id: id} }

// Publish publishes the text and returns its fate. It tries until the context
// ends. The error is problem.Problems for a text with faults, and otherwise an
// *UnknownError.
func (p *Publisher) Publish(ctx context.Context, data []byte) (revision.Outcome, error) {
	doc, err := text.Parse(data)
	if err != nil {
		return revision.Outcome{}, err
	}
	record := revision.NewPublish(p.id, doc.BasedOn, data)
	payload, err := record.Encode()
	if err != nil {
		return revision.Outcome{}, err
	}
	if err := p.catchUp(ctx); err != nil {
		return revision.Outcome{}, &UnknownError{Err: err}
	}
	if now := p.fold.InForce().Revision; doc.BasedOn < now {
		return revision.Outcome{PublishID: p.id, Verdict: revision.VerdictLostRace, Revision: now}, nil
	}
	return p.appendAndRead(ctx, payload)
}

// catchUp reads the log to its end.
func (p *Publisher) catchUp(ctx context.Context) error {
	for {
		page, err := p.read(ctx, time.Time{})
		if err != nil {
			return err
		}
		if page != nil && p.fold.Next() >= page.Next {
			return nil
		}
	}
}

// appendAndRead appends the record until it is surely in the log and reads on
// until its fate is known.
func (p *Publisher) appendAndRead(ctx context.Context, payload []byte) (revision.Outcome, error) {
	for {
		_, err := p.log.Append(ctx, revision.Stream, [][]byte{payload})
		var surely *platform.UnavailableError
		var refused *platform.Error
		switch {
		case errors.As(err, &refused):
			return revision.Outcome{}, &UnknownError{Appended: p.appended, Err: err}
		case errors.As(err, &surely):
			if ended := pause(ctx); ended != nil {
				return revision.Outcome{}, &UnknownError{Appended: p.appended, Err: err}
			}
			continue
		}
		p.appended = true
		out, found, readErr := p.awaitOwn(ctx, err == nil)
		if found {
			return out, nil
		}
		if readErr != nil {
			return revision.Outcome{}, &UnknownError{Appended: true, Err: errors.Join(err, readErr)}
		}
	}
}

// awaitOwn reads on until the publisher's own record comes. When the append's
// answer was lost, it gives up after one read that waited in vain.
func (p *Publisher) awaitOwn(ctx context.Context, surely bool) (revision.Outcome, bool, error) {
	for {
		before := p.fold.Next()
		out, found, err := p.readOwn(ctx)
		if err != nil || found {
			return out, found, err
		}
		if !surely && p.fold.Next() == before {
			return out, false, nil
		}
	}
}

func (p *Publisher) readOwn(ctx context.Context) (revision.Outcome, bool, error) {
	page, err := p.log.Read(ctx, revision.Stream, p.fold.Next(), time.Now().Add(readWait))
	if err != nil {
		return revision.Outcome{}, false, p.afterFailure(ctx, err)
	}
	for _, record := range page.Records {
		if record.Offset != p.fold.Next() {
			break // a snapshot moved the fold back
		}
		out, err := p.fold.Apply(record.Offset, record.Payload)
		if err != nil {
			return out, false, err
		}
		// What cannot be judged yet may be once a snapshot proves what was in
		// force; the fold then reads the record again.
		if out.PublishID == p.id && out.Verdict != revision.VerdictUnjudged {
			return out, true, nil
		}
	}
	return revision.Outcome{}, false, nil
}

// read folds one page; nil without an error means that a hole was skipped.
func (p *Publisher) read(ctx context.Context, until time.Time) (*platform.Page, error) {
	page, err := p.log.Read(ctx, revision.Stream, p.fold.Next(), until)
	if err != nil {
		return nil, p.afterFailure(ctx, err)
	}
	for _, record := range page.Records {
		if record.Offset != p.fold.Next() {
			break
		}
		if _, err := p.fold.Apply(record.Offset, record.Payload); err != nil {
			return nil, err
		}
	}
	return &page, nil
}

// afterFailure skips a hole, and waits before what may work again.
func (p *Publisher) afterFailure(ctx context.Context, err error) error {
	var gone *platform.GoneError
	if errors.As(err, &gone) {
		p.fold.Skip(gone.Oldest)
		return nil
	}
	if ended := pause(ctx); ended != nil {
		return errors.Join(err, ended)
	}
	return nil
}

func pause(ctx context.Context) error {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
