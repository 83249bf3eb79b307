package journal

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/server"
)

// Settings holds the retention limits of the log and the seed of its faults.
type Settings struct {
	// MaxAge is the time for which a record is retained. Zero means no limit.
	MaxAge time.Duration
	// MaxRecords is the number of records that are retained per stream. Zero
	// means no limit.
	MaxRecords int
	// Seed seeds the random faults.
	Seed uint64
}

// Counts holds the numbers of appends that took effect, of their records, and
// of reads.
type Counts struct {
	// Appends is the number of appended batches.
	Appends int
	// Records is the number of records in the appended batches.
	Records int
	// Reads is the number of reads, including those that returned no record.
	Reads int
}

// Journal is a simulated log.
type Journal struct {
	server.Host
	settings Settings
	closed   chan struct{}
	// lateAppends waits for the appends that Faults.LateAppends has delayed.
	lateAppends sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	streams map[string]*stream
	faults  Faults
	counts  Counts
	random  *rand.Rand
	// closeCalled is set by the first call of Close, so that a later call
	// doesn't close the channel again and no late append starts.
	closeCalled bool
}

// stream holds the retained records of a stream.
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

// Close ends all requests, discards late appends that have not taken effect
// yet, and waits until every handler has returned.
func (j *Journal) Close() error {
	j.mu.Lock()
	alreadyClosed := j.closeCalled
	j.closeCalled = true
	if !alreadyClosed {
		close(j.closed)
	}
	j.mu.Unlock()
	j.lateAppends.Wait()
	return j.Host.Close()
}

// Counts returns the current counts.
func (j *Journal) Counts() Counts {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts
}

// Append appends the records to the stream, ignoring the simulated faults, and
// returns the offset of the first record.
func (j *Journal) Append(name string, records [][]byte) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.append(name, records)
}

// append appends the records to the stream and wakes the waiting reads. The
// caller must hold mu.
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

// stream returns the named stream after applying retention, and creates the
// stream if it doesn't exist. The caller must hold mu.
func (j *Journal) stream(name string) *stream {
	s := j.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		j.streams[name] = s
	}
	s.prune(j.settings)
	return s
}

// prune discards the records that exceed the retention limits.
func (s *stream) prune(settings Settings) {
	discarded := 0
	if settings.MaxRecords > 0 {
		discarded = max(0, len(s.records)-settings.MaxRecords)
	}
	if settings.MaxAge > 0 {
		limit := time.Now().Add(-settings.MaxAge)
		for discarded < len(s.records) && s.records[discarded].Appended.Before(limit) {
			discarded++
		}
	}
	s.records = s.records[discarded:]
}

// oldest returns the offset of the oldest retained record.
func (s *stream) oldest() uint64 { return s.next - uint64(len(s.records)) }

// read returns at most limit records from the offset. If the offset is the next
// one to be appended, read waits until a record is appended, the context ends,
// or the log is closed. It returns false if the record at the offset has been
// discarded.
func (j *Journal) read(ctx context.Context, name string, from uint64, limit int) (platform.ReadResponse, bool) {
	for {
		j.mu.Lock()
		s := j.stream(name)
		response := platform.ReadResponse{Oldest: s.oldest(), Next: s.next}
		changed := s.changed
		discarded := from < response.Oldest
		if !discarded && from < s.next {
			records := s.records[from-response.Oldest:]
			response.Records = append(response.Records, records[:min(limit, len(records))]...)
		}
		j.mu.Unlock()
		if discarded || len(response.Records) > 0 || from > response.Next {
			return response, !discarded
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
