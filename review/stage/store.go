package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"hyssopreach/platform/contract"
)

// heartbeat is the time between two entries of an endpoint.
const heartbeat = 1200 * time.Millisecond

// store is a stand-in for the platform's store. It holds the newest record of each key.
type store struct {
	server  *http.Server
	address netip.AddrPort

	mu sync.Mutex
	// The fields below are guarded by mu.
	configuration []byte
	entries       map[string][]byte
	epoch         uint64
	away          bool
}

// item is a record in an answer of the store.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func newStore() (*store, error) {
	l, address, err := listen(context.Background())
	if err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}
	s := &store{address: address, entries: map[string][]byte{}, epoch: 1}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go serve(s.server, l)
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// setConfiguration writes the operators' configuration.
func (s *store) setConfiguration(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration = []byte(value)
}

// setEntry writes the entry of an endpoint; an empty one removes it.
func (s *store) setEntry(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if value == "" {
		delete(s.entries, key)
		return
	}
	s.entries[key] = []byte(value)
}

// storeCopy is a copy of what the store holds.
type storeCopy struct {
	configuration []byte
	entries       map[string][]byte
}

// copy returns a copy of what the store holds.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{s.configuration, maps.Clone(s.entries)}
}

// leave makes the store refuse all calls.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
}

// returnFrom ends the time in which the store refuses calls. With a copy, the store holds what
// the copy does, and states the next epoch.
func (s *store) returnFrom(c *storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if c != nil {
		s.configuration, s.entries = c.configuration, maps.Clone(c.entries)
		s.epoch++
	}
}

// ServeHTTP answers a read of the newest records of a topic.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(contract.HeaderStoreEpoch, strconv.FormatUint(s.epoch, 10))
	if s.away || r.URL.Path != contract.PathNewest {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items := []item{}
	switch r.URL.Query().Get("topic") {
	case contract.TopicConfiguration:
		items = append(items, item{Key: contract.KeyConfig, Value: s.configuration})
	case contract.TopicServers:
		for key, value := range s.entries {
			items = append(items, item{Key: key, Value: value})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the router has disconnected.
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end_offset": len(items)})
}

// serve runs a server until it is closed.
func serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		fmt.Println("serve:", err)
	}
}
