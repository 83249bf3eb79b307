package execution

import (
	"bytes"
	"regexp"
	"strconv"
	"time"

	"hyssopreach/internal/coordination/schedule"
)

const (
	// progressQuantum is the service after which progress is reported, in
	// units of service.
	progressQuantum = 32
	// plainUnitsPerSecond is the service of a plain call for each second that
	// it holds its endpoint: one unit a millisecond.
	plainUnitsPerSecond = 1000
	// tailBytes is how much of the end of a whole answer is kept to find the
	// usage that the engine states there.
	tailBytes = 512
)

// eventEnd ends each event of a stream; an engine sends one event a token.
var eventEnd = []byte("\n\n")

var completionTokens = regexp.MustCompile(`"completion_tokens"\s*:\s*(\d+)`)

// meter counts the service that an attempt receives, in units of service:
// generated tokens at a model, milliseconds at a plain service.
type meter struct {
	model      bool
	events     bool
	begin      time.Time
	reportedAt time.Time
	unreported float64
	firstToken time.Duration
	tail       []byte
	// lastByte carries a separator that two reads have split.
	lastByte byte
}

func newMeter(model, stream bool, begin time.Time) *meter {
	return &meter{model: model, events: model && stream, begin: begin, reportedAt: begin}
}

// count adds the service that a part of the answer shows. It returns a report
// with the first part and then after each quantum.
func (m *meter) count(part []byte, now time.Time) (schedule.Progress, bool) {
	first := m.firstToken == 0
	if first {
		m.firstToken = max(now.Sub(m.begin), 1)
	}
	switch {
	case m.events:
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
	if m.events {
		// An answer that comes in one piece begins when it ends, which tells
		// nothing of the endpoint's queue.
		p.FirstToken = m.firstToken
	}
	m.unreported, m.reportedAt = 0, now
	return p, true
}

func (m *meter) countEvents(part []byte) int {
	n := bytes.Count(part, eventEnd)
	if m.lastByte == '\n' && len(part) > 0 && part[0] == '\n' {
		n++
	}
	if len(part) > 0 {
		m.lastByte = part[len(part)-1]
		if bytes.HasSuffix(part, eventEnd) {
			m.lastByte = 0
		}
	}
	return n
}

func (m *meter) keepTail(part []byte) {
	m.tail = append(m.tail, part...)
	if extra := len(m.tail) - tailBytes; extra > 0 {
		m.tail = append(m.tail[:0], m.tail[extra:]...)
	}
}

// rest returns the service since the last report.
func (m *meter) rest(now time.Time) float64 {
	switch {
	case m.events:
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
