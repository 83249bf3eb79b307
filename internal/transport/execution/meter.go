package execution

import (
	"regexp"
	"strconv"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// progressQuantum is the amount of service after which progress is
	// reported, in units of service.
	progressQuantum = 32
	// plainUnitsPerSecond is the service that a call to a plain service receives
	// per second at its endpoint: one unit per millisecond.
	plainUnitsPerSecond = 1000
	// tailBytes is the number of bytes retained from the end of an answer that
	// is not streamed, where the engine states the token usage.
	tailBytes = 512
)

var completionTokens = regexp.MustCompile(`"completion_tokens"\s*:\s*(\d+)`)

// meter measures the service that an attempt receives, in units of service:
// generated tokens for a model, milliseconds for a plain service.
type meter struct {
	model bool
	// eventStream is set if the answer is a stream, whose events are counted.
	eventStream bool
	begin       time.Time
	reportedAt  time.Time
	unreported  float64
	firstToken  time.Duration
	tail        []byte
	// inEvent is set if an event has begun that has not ended, and inLine if a line of
	// it has. afterCR is set if the previous part ended with a CR, to which an LF at the
	// beginning of the next one belongs.
	inEvent, inLine, afterCR bool
}

func newMeter(model, stream bool, begin time.Time) *meter {
	return &meter{model: model, eventStream: model && stream, begin: begin, reportedAt: begin}
}

// count adds the service that corresponds to a part of the answer. It returns a
// report, and true if the report is due: with the first part, and then each
// time that progressQuantum is reached.
func (m *meter) count(part []byte, now time.Time) (schedule.Progress, bool) {
	first := m.firstToken == 0
	if first {
		m.firstToken = max(now.Sub(m.begin), 1)
	}
	switch {
	case m.eventStream:
		m.unreported += float64(m.countEvents(part))
	case m.model:
		m.keepTail(part)
	default:
		m.unreported = now.Sub(m.reportedAt).Seconds() * plainUnitsPerSecond
	}
	if !first && m.unreported < progressQuantum {
		return schedule.Progress{}, false
	}
	p := schedule.Progress{Service: m.unreported}
	if m.eventStream {
		// An answer that is not streamed begins only when it is complete, so
		// the time to its first byte says nothing about the endpoint's queue.
		p.FirstToken = m.firstToken
	}
	m.unreported, m.reportedAt = 0, now
	return p, true
}

// countEvents returns the number of events that end in the part; an engine sends one
// event per token.
func (m *meter) countEvents(part []byte) (count int) {
	if len(part) == 0 {
		return 0
	}
	rest := part
	if m.afterCR && rest[0] == '\n' {
		rest = rest[1:]
	}
	for len(rest) > 0 {
		line, whole := lineEnd(rest)
		switch {
		case line > 0 || m.inLine:
			m.inEvent, m.inLine = true, whole == 0
		case m.inEvent:
			m.inEvent = false
			count++
		}
		if whole == 0 {
			break
		}
		rest = rest[whole:]
	}
	m.afterCR = part[len(part)-1] == '\r'
	return count
}

func (m *meter) keepTail(part []byte) {
	m.tail = append(m.tail, part...)
	if extra := len(m.tail) - tailBytes; extra > 0 {
		m.tail = append(m.tail[:0], m.tail[extra:]...)
	}
}

// unreportedService returns the service received since the last report.
func (m *meter) unreportedService(now time.Time) float64 {
	switch {
	case m.eventStream:
		return m.unreported
	case m.model:
		if found := completionTokens.FindSubmatch(m.tail); found != nil {
			tokens, err := strconv.ParseFloat(string(found[1]), 64)
			if err == nil {
				return tokens
			}
		}
		return 0
	default:
		return now.Sub(m.reportedAt).Seconds() * plainUnitsPerSecond
	}
}
