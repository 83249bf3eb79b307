package soak

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// storeMode is how the store answers.
type storeMode int

const (
	storeWell storeMode = iota
	// storeBusy refuses all calls.
	storeBusy
	// storeSlow answers after slowBy.
	storeSlow
)

// slowBy is how late a slow store answers.
const slowBy = 500 * time.Millisecond

// objective is the time in which answers should begin.
const objective = 500 * time.Millisecond

// lapse is the time after which the entry of a silent endpoint is removed.
const lapse = 3 * heartbeat

// store stands in for the users' store.
type store struct {
	server  *http.Server
	address netip.AddrPort
	speak   Dialect

	mu sync.Mutex
	// The fields below are guarded by mu.
	mode    storeMode
	version int
	keys    []string
	entries map[string]stored
}

type stored struct {
	value string
	at    time.Time
}

func newStore(speak Dialect) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // It is closed with the store.
	if err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}
	s := &store{speak: speak, address: netip.MustParseAddrPort(l.Addr().String()), entries: map[string]stored{}, version: 1, keys: []string{keyName(1)}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }() // It always ends with an error, ErrServerClosed.
	return s, nil
}

func keyName(version int) string { return fmt.Sprint("key-", version) }

func (s *store) set(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// change puts a configuration with a new key in the place of the last one, and
// returns both.
func (s *store) change() (added, removed string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	removed = s.keys[0]
	added = keyName(s.version)
	s.keys = []string{added}
	return added, removed
}

// write takes what an endpoint says of itself, unless the store is busy.
func (s *store) write(key, value string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == storeBusy {
		return false
	}
	s.entries[key] = stored{value, time.Now()}
	return true
}

// ServeHTTP answers a read.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case storeSlow:
		time.Sleep(slowBy)
	}
	configuration, entries := s.holds(time.Now())
	s.speak.ServeStore(w, r, configuration, entries)
}

// holds returns what the store holds, without entries that have lapsed.
func (s *store) holds(now time.Time) (configuration string, entries map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries = make(map[string]string, len(s.entries))
	for key, e := range s.entries {
		if now.Sub(e.at) > lapse {
			delete(s.entries, key)
			continue
		}
		entries[key] = e.value
	}
	return s.speak.Configuration(&Configuration{
		Version: s.version, Service: service, Keys: s.keys, Once: kindOnce, Safe: kindSafe, Stream: kindStream,
		Host: host, Timeout: callerDeadline, Objective: objective,
	}), entries
}
