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
	// readWait is how long the log holds one read open for new records.
	readWait = time.Second
	// retryPause is the time before a failed append or read is retried.
	retryPause = 300 * time.Millisecond
)

// Log is the part of the log's client that a Publisher uses.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, waitUntil time.Time) (platform.Page, error)
}

// UnknownOutcomeError reports that Publish failed before it could determine the
// outcome of a text. If Appended is set, the text may still be accepted; otherwise
// it has not been published.
type UnknownOutcomeError struct {
	// Appended is set if the record is, or may be, in the log.
	Appended bool
	Err      error
}

// Error reports whether the text may still come into force, and the cause.
func (e *UnknownOutcomeError) Error() string {
	if e.Appended {
		return fmt.Sprintf("the outcome is unknown, and the text may still come into force: %v", e.Err)
	}
	return fmt.Sprintf("the text was not published: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Publisher publishes one text.
type Publisher struct {
	log  Log
	id   string
	fold revision.Fold
	// appended is set once the record is, or may be, in the log.
	appended bool
}

// NewPublisher returns a Publisher that uses the given PublishID, which must not
// have been used before.
func NewPublisher(l Log, id string) *Publisher { return &Publisher{log: l, id: id} }

// Publish publishes the text and returns its outcome. It retries until the
// context ends. The error is or wraps problem.Problems if the text has faults, and
// is an *UnknownOutcomeError if the outcome could not be determined.
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
		return revision.Outcome{}, &UnknownOutcomeError{Err: err}
	}
	if now := p.fold.InForce().Revision; doc.BasedOn < now {
		return revision.Outcome{PublishID: p.id, Verdict: revision.VerdictLostRace, Revision: now}, nil
	}
	return p.appendAndRead(ctx, payload)
}

// catchUp folds the log up to its end.
func (p *Publisher) catchUp(ctx context.Context) error {
	for {
		page, err := p.readPage(ctx, time.Time{})
		if err != nil {
			return err
		}
		if page != nil && p.fold.Next() >= page.Next {
			return nil
		}
	}
}

// appendAndRead appends the record and reads the log until it finds the record,
// which decides the outcome. It appends the record again if the log was
// unavailable, or if an append with an unknown outcome did not make the record
// appear. It does not repeat an append that the log refused.
func (p *Publisher) appendAndRead(ctx context.Context, payload []byte) (revision.Outcome, error) {
	for {
		_, err := p.log.Append(ctx, revision.Stream, [][]byte{payload})
		var unavailable *platform.UnavailableError
		var refused *platform.Error
		switch {
		case errors.As(err, &refused):
			return revision.Outcome{}, &UnknownOutcomeError{Appended: p.appended, Err: err}
		case errors.As(err, &unavailable):
			if ctxErr := pause(ctx); ctxErr != nil {
				return revision.Outcome{}, &UnknownOutcomeError{Appended: p.appended, Err: err}
			}
			continue
		}
		p.appended = true
		out, found, readErr := p.awaitOwnRecord(ctx, err == nil)
		if found {
			return out, nil
		}
		if readErr != nil {
			return revision.Outcome{}, &UnknownOutcomeError{Appended: true, Err: errors.Join(err, readErr)}
		}
	}
}

// awaitOwnRecord reads the log until it finds the publisher's own record. If the
// append was not confirmed, it returns without a result after the first read that
// brings no progress, so that the caller can append again.
func (p *Publisher) awaitOwnRecord(ctx context.Context, appendConfirmed bool) (revision.Outcome, bool, error) {
	for {
		before := p.fold.Next()
		out, found, err := p.readForOwnRecord(ctx)
		if err != nil || found {
			return out, found, err
		}
		if !appendConfirmed && p.fold.Next() == before {
			return out, false, nil
		}
	}
}

// readForOwnRecord reads and folds one page up to the publisher's own record, and
// reports whether it found the record.
func (p *Publisher) readForOwnRecord(ctx context.Context) (revision.Outcome, bool, error) {
	page, err := p.log.Read(ctx, revision.Stream, p.fold.Next(), time.Now().Add(readWait))
	if err != nil {
		return revision.Outcome{}, false, p.handleReadError(ctx, err)
	}
	for _, record := range page.Records {
		if record.Offset != p.fold.Next() {
			break // a snapshot moved the fold back to an earlier offset
		}
		out, err := p.fold.Apply(record.Offset, record.Payload)
		if err != nil {
			return out, false, err
		}
		// A record that is unjudged for now is read again if a later snapshot
		// proves which configuration was in force before it.
		if out.PublishID == p.id && out.Verdict != revision.VerdictUnjudged {
			return out, true, nil
		}
	}
	return revision.Outcome{}, false, nil
}

// readPage reads and folds one page. It returns nil without an error if the read
// failed and can be repeated.
func (p *Publisher) readPage(ctx context.Context, until time.Time) (*platform.Page, error) {
	page, err := p.log.Read(ctx, revision.Stream, p.fold.Next(), until)
	if err != nil {
		return nil, p.handleReadError(ctx, err)
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

// handleReadError skips records that the log no longer holds. After any other
// error it waits for retryPause. It returns an error only if the context ends.
func (p *Publisher) handleReadError(ctx context.Context, err error) error {
	var trimmed *platform.OffsetTrimmedError
	if errors.As(err, &trimmed) {
		p.fold.Skip(trimmed.Oldest)
		return nil
	}
	if ctxErr := pause(ctx); ctxErr != nil {
		return errors.Join(err, ctxErr)
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
