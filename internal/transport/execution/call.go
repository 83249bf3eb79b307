package execution

import (
	"encoding/binary"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/coordination/suspect"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

// Call is an admitted request of a caller.
type Call struct {
	// RequestID identifies the call in logs.
	RequestID    string
	Organisation *text.Organisation
	Service      *text.Service
	Class        *text.Class
	// Model, Prefix and Stream are set for calls to a model: Prefix is a hash
	// of the prompt's prefix, and Stream asks for a streamed answer.
	Model  string
	Prefix uint64
	Stream bool
	// Host is the host named in the caller's request; if it is empty, the
	// endpoint's address is sent instead.
	Host string
	// AttemptID is the ID that all attempts of the call send to endpoints; if
	// it is empty, each attempt gets an ID of its own.
	AttemptID string
	// Prompt is the caller's description of its prompt; nil if there is none.
	Prompt *schedule.Prompt
	// Objective is the time by which the answer should begin; zero if only the
	// deadline applies.
	Objective time.Time
	// MaxAttempts bounds the attempts that reach an endpoint, in addition to
	// the runner's own limit on attempts; zero means no additional bound. If it
	// is set, the runner also sends no attempt to an endpoint that is leaving,
	// and a complete answer with a server error (status 5xx) counts as a failure
	// of the endpoint (schedule.ResultFailed).
	MaxAttempts int
	// Events is set if the answer is a stream of events with IDs. Only whole
	// events are forwarded, each as soon as it is complete.
	Events bool
	// Resumable is set if such a stream may be continued at another endpoint.
	Resumable bool
	// LastEvent is the ID of the last event that the caller has received; empty
	// if it has received none.
	LastEvent string
	// Reused is set if the caller's connection carried another request before.
	Reused bool
	// MaxSilence is the time without the head of the answer after which the runner
	// looks for another endpoint. It counts anew from the head and, if Events is set,
	// from each whole event, as long as the call can still be retried or its answer
	// resumed. In a stream that has begun it counts from the last event, whichever
	// endpoint sent that; see progress.silentAt. The attempt is read on until another
	// one is certain. Zero means to wait until the deadline.
	MaxSilence time.Duration
	// Patience is the time without an event after which the caller gives up a
	// stream; zero if it is not known.
	Patience time.Duration
	// MaxPause is the longest pause between two events of a stream with which its
	// answer is still on time; zero if none is stated.
	MaxPause time.Duration
	// RetryServerErrors is set if an answer with a server error (status 5xx)
	// may be retried.
	RetryServerErrors bool
	// Key is the caller's idempotency key; empty if there is none.
	Key string
	// Parent is the RequestID of the call on whose behalf this one is made;
	// empty if there is none.
	Parent string
	// Urgency orders the requests of an organisation; requests with a higher
	// urgency are scheduled first.
	Urgency int
	// Deadline is the time after which the answer is of no use.
	Deadline time.Time
	// AnswerBy is the time at which the call ends if no answer has begun to arrive, so
	// that its caller still learns of that; zero if only the deadline applies.
	AnswerBy time.Time
	Method   string
	// Path is the path and query of the request to the endpoint.
	Path   string
	Header http.Header
	Body   []byte
	// Exclusive is set for a request suspected of crashing endpoints. It must
	// run at an endpoint that runs no other exclusive request.
	Exclusive bool

	// fingerprint is the result of Fingerprint; zero until it is first needed.
	fingerprint uint64
}

// maxPartFingerprints bounds the parts of a prompt that are considered.
const maxPartFingerprints = 32

// Fingerprint returns a hash of the organisation, the service, the method, the
// path and the body, which is the same for a request that its caller sends again.
// It is never zero and lacks suspect.PartBit. It must not be called concurrently.
func (c *Call) Fingerprint() uint64 {
	if c.fingerprint == 0 {
		var d xxhash.Digest
		d.Reset()
		for _, part := range []string{c.Organisation.Name, c.Service.Name, c.Method, c.Path} {
			_, _ = d.WriteString(part)
			_, _ = d.WriteString("\x00")
		}
		_, _ = d.Write(c.Body)
		c.fingerprint = max(d.Sum64()&^uint64(suspect.PartBit), 1)
	}
	return c.fingerprint
}

// PartFingerprints returns the fingerprints of the parts of the prompt that other
// requests may share, up to maxPartFingerprints of them.
func (c *Call) PartFingerprints() []suspect.Fingerprint {
	parts := c.Prompt.SharedParts()
	if len(parts) == 0 {
		return nil
	}
	all := make([]suspect.Fingerprint, 0, min(len(parts), maxPartFingerprints))
	buffer := append(make([]byte, 0, 64), c.Service.Name...)
	for _, part := range parts[:cap(all)] {
		id := binary.BigEndian.AppendUint64(buffer, part.ID)
		all = append(all, suspect.Fingerprint(xxhash.Sum64(id))|suspect.PartBit)
	}
	return all
}

// SharedPart returns the ID of the part of the prompt with the given fingerprint; zero if
// there is none.
func (c *Call) SharedPart(f suspect.Fingerprint) uint64 {
	if i := slices.Index(c.PartFingerprints(), f); i >= 0 {
		return c.Prompt.Parts[i].ID
	}
	return 0
}

// FieldInputTokens is the field of log lines with the length of a prompt.
const FieldInputTokens = "InputTokens"

// AddRequestFields adds the class of a request, the size of its prompt and the parts that
// other requests may share to the fields of a log line, as far as they are known.
func AddRequestFields(fields log.Fields, class *text.Class, p *schedule.Prompt) {
	if class != nil {
		fields["Class"] = class.Name
	}
	if p != nil {
		fields[FieldInputTokens], fields["OutputTokens"] = p.InputTokens, p.OutputTokens
		fields["SharedPart"], fields["OwnPart"] = strconv.FormatUint(p.SharedPart(), 16), strconv.FormatUint(p.OwnPart(), 16)
	}
}

// Attempt is one attempt to run a call at an endpoint.
type Attempt struct {
	// ID is the call's AttemptID or, if that is empty, a unique ID. The
	// endpoint repeats it in its answer.
	ID       string
	Endpoint view.Endpoint
	Call     *Call
	// LastEvent is the ID of the last event that the caller has received; empty
	// if it has received none.
	LastEvent string
	// SendBy is schedule.Start.SendBy.
	SendBy time.Time
	// Status is the status of the answer; zero if its head has not arrived.
	Status int
	// AnsweredAt is when the head of the answer arrived; zero if it has not.
	AnsweredAt time.Time
	// FirstEventAt is when the first event of the answer arrived, if it is a stream
	// of events; zero if none has.
	FirstEventAt time.Time
	// CloseDelimited is set if the answer ends with its connection.
	CloseDelimited bool
	// EndedAt is when the answer ended or broke off, before the endpoint was examined.
	EndedAt time.Time
}

// Address returns the address that the attempt is sent to.
func (a *Attempt) Address() netip.AddrPort { return a.Endpoint.Address }
