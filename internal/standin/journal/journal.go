package journal

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/server"
)

// Settings say how long the log keeps records.
type Settings struct {
	// MaxAge is the time for which a record is kept; zero keeps it for ever.
	MaxAge time.Duration
	// MaxRecords bounds the records kept per stream; zero sets no bound.
	MaxRecords int
	// Seed feeds the random faults.
	Seed uint64
}

// Counts tell what the log has been asked.
type Counts struct {
	// Appends is the number of batches that took effect.
	Appends int
	// Records is the number of records in them.
	Records int
	Reads   int
}

// Journal is the log.
type Journal struct {
	server.Host
	settings Settings
	closed   chan struct{}
	late     sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	streams map[string]*stream
	faults  Faults
	counts  Counts
	random  *rand.Rand
	ended   bool
}

type stream struct {
	records []platform.Record
	next    uint64
	// changed is closed when a record is appended.
	changed chan struct{}
}

// New returns an empty log, which serves HTTP through ServeHTTP or Start.
func New(settings Settings) *Journal {
	j := &Journal{
		settings: settings,
		closed:   make(chan struct{}),
		streams:  make(map[string]*stream),
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
	}
	j.Handler = j.routes()
	return j
}

// Close ends all requests, drops appends that have not landed yet, and waits.
func (j *Journal) Close() error {
	j.mu.Lock()
	ended := j.ended
	j.ended = true
	if !ended {
		close(j.closed)
	}
	j.mu.Unlock()
	j.late.Wait()
	return j.Host.Close()
}

// Counts returns what the log has been asked so far.
func (j *Journal) Counts() Counts {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts
}

// Append adds the records to the stream without any fault and returns the
// offset of the first.
func (j *Journal) Append(name string, records [][]byte) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.append(name, records)
}

// append adds records; mu is held.
func (j *Journal) append(name string, records [][]byte) uint64 {
	now := time.Now()
	s := j.stream(name)
	first := s.next
	for _, payload := range records {
		s.records = append(s.records, platform.Record{Offset: s.next, Appended: now, Payload: payload})
		s.next++
	}
	j.counts.Appends++
	j.counts.Records += len(records)
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// stream returns the named stream, pruned; mu is held.
func (j *Journal) stream(name string) *stream {
	s := j.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		j.streams[name] = s
	}
	s.prune(j.settings)
	return s
}

func (s *stream) prune(settings Settings) {
	drop := 0
	if settings.MaxRecords > 0 {
		drop = max(0, len(s.records)-settings.MaxRecords)
	}
	if settings.MaxAge > 0 {
		limit := time.Now().Add(-settings.MaxAge)
		for drop < len(s.records) && s.records[drop].Appended.Before(limit) {
			drop++
		}
	}
	s.records = s.records[drop:]
}

func (s *stream) oldest() uint64 { return s.next - uint64(len(s.records)) }

// read returns the records from the offset. When there are none yet, it waits
// until one is appended, the context ends, or the log is closed.
func (j *Journal) read(ctx context.Context, name string, from uint64, limit int) (platform.ReadResponse, bool) {
	for {
		j.mu.Lock()
		s := j.stream(name)
		response := platform.ReadResponse{Oldest: s.oldest(), Next: s.next}
		changed := s.changed
		gone := from < response.Oldest
		if !gone && from < s.next {
			records := s.records[from-response.Oldest:]
			response.Records = append(response.Records, records[:min(limit, len(records))]...)
		}
		j.mu.Unlock()
		if gone || len(response.Records) > 0 || from > response.Next {
			return response, !gone
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return response, true
		case <-j.closed:
			return response, true
		}
	}
}
