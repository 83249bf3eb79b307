package soak

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// storeMode is how the store answers.
type storeMode int

const (
	storeHealthy storeMode = iota
	// storeBusy refuses all calls.
	storeBusy
	// storeSlow answers after slowDelay.
	storeSlow
)

// slowDelay is the delay of the answers of a slow store.
const slowDelay = 500 * time.Millisecond

// answerObjective is the time within which answers should begin.
const answerObjective = 500 * time.Millisecond

// entryLifetime is the time after which the store removes the entry of an
// endpoint that has stopped writing.
const entryLifetime = 3 * heartbeat

// store is a stand-in for the platform's store.
type store struct {
	server  *http.Server
	address netip.AddrPort
	dialect Dialect

	mu sync.Mutex
	// The fields below are guarded by mu.
	mode    storeMode
	version int
	keys    []string
	entries map[string]storedEntry
	// epoch rises with each restore.
	epoch uint64
	// newestVersion and newestKeys are what the operators wrote last; the store
	// holds older ones after a restore, until the operators write again.
	newestVersion int
	newestKeys    []string
	copies        []storeCopy // the copies of the last copiesFor, oldest first
}

// storeCopy is a copy of the store's contents at an instant.
type storeCopy struct {
	at      time.Time
	version int
	keys    []string
	entries map[string]storedEntry
}

const (
	// copyInterval is the time between two copies of the store.
	copyInterval = 200 * time.Millisecond
	// copiesFor is the time for which copies are retained.
	copiesFor = 10 * time.Second
	// rewriteTime is the time after a restore at which the operators write again.
	rewriteTime = time.Second
)

type storedEntry struct {
	value string
	at    time.Time
}

func newStore(dialect Dialect) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The listener is closed with the store.
	if err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}
	s := &store{dialect: dialect, address: netip.MustParseAddrPort(l.Addr().String()), entries: map[string]storedEntry{}, version: 1, keys: []string{keyName(1)}, epoch: 1, newestVersion: 1, newestKeys: []string{keyName(1)}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }() // Serve always returns an error; after Close it is ErrServerClosed.
	return s, nil
}

func keyName(version int) string { return fmt.Sprint("key-", version) }

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// replaceKey puts a configuration with a new key in place of the current one and
// returns the added and the removed key.
func (s *store) replaceKey() (added, removed string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestVersion++
	removed = s.newestKeys[0]
	added = keyName(s.newestVersion)
	s.newestKeys = []string{added}
	s.version, s.keys = s.newestVersion, s.newestKeys
	return added, removed
}

// keepCopy retains a copy of the contents, at most one for each copyInterval. It
// requires that mu is held.
func (s *store) keepCopy(now time.Time) {
	if n := len(s.copies); n > 0 && now.Sub(s.copies[n-1].at) < copyInterval {
		return
	}
	s.copies = append(s.copies, storeCopy{now, s.version, s.keys, maps.Clone(s.entries)})
	for now.Sub(s.copies[0].at) > copiesFor {
		s.copies = s.copies[1:]
	}
}

// restore brings the store back from a copy of the given age. The entries of the
// copy live for entryLifetime from now on.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	chosen := s.copies[0]
	for _, c := range s.copies {
		if now.Sub(c.at) >= age {
			chosen = c
		}
	}
	s.version, s.keys, s.entries = chosen.version, chosen.keys, maps.Clone(chosen.entries)
	for key, e := range s.entries {
		s.entries[key] = storedEntry{e.value, now}
	}
	s.epoch++
	s.mode = storeHealthy
	time.AfterFunc(rewriteTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.version, s.keys = s.newestVersion, s.newestKeys
	})
}

// write stores an endpoint's entry. It reports false if the store is busy.
func (s *store) write(key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == storeBusy {
		return false
	}
	now := time.Now()
	s.entries[key] = storedEntry{value, now}
	s.keepCopy(now)
	return true
}

// ServeHTTP answers a read according to the store's mode. The answer states the epoch at
// which the read arrived: if the store is slow and is restored meanwhile, its contents are
// older than the epoch tells.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode, epoch := s.mode, s.epoch
	s.mu.Unlock()
	s.dialect.SetEpoch(w.Header(), epoch)
	switch mode {
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeSlow:
		time.Sleep(slowDelay)
	}
	configuration, entries := s.contents(time.Now())
	s.dialect.ServeStore(w, r, configuration, entries)
}

// contents returns the configuration and the entries that have not expired.
func (s *store) contents(now time.Time) (configuration string, entries map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries = make(map[string]string, len(s.entries))
	for key, e := range s.entries {
		if now.Sub(e.at) > entryLifetime {
			delete(s.entries, key)
			continue
		}
		entries[key] = e.value
	}
	return s.dialect.Configuration(&Configuration{
		Version: s.version, Service: service, Keys: s.keys, Once: kindOnce, Safe: kindSafe, Stream: kindStream,
		Host: host, Timeout: callerDeadline, AnswerObjective: answerObjective,
	}), entries
}
