package weights

import (
	"net/http"
	"sync"
	"time"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/server"
)

// Settings of the weight store.
type Settings struct {
	// BytesPerSecond is the rate of the whole store; it is above zero.
	BytesPerSecond float64
}

// Store is the weight store.
type Store struct {
	server.Host
	settings Settings

	mu sync.Mutex
	// The fields below are guarded by mu.
	freeAt   time.Time
	reserved int64
}

// New returns a store, which serves HTTP through ServeHTTP or Start.
func New(settings Settings) *Store {
	mux := http.NewServeMux()
	s := &Store{Host: server.Host{Handler: mux}, settings: settings}
	mux.HandleFunc("POST "+platform.PathReserve, s.serveReserve)
	return s
}

// Reserve returns the instant at which a transfer of that many bytes may
// begin.
func (s *Store) Reserve(now time.Time, bytes int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	begin := now
	if s.freeAt.After(begin) {
		begin = s.freeAt
	}
	seconds := float64(bytes) / s.settings.BytesPerSecond
	s.freeAt = begin.Add(time.Duration(seconds * float64(time.Second)))
	s.reserved += bytes
	return begin
}

// Reserved is the number of bytes reserved so far.
func (s *Store) Reserved() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserved
}

func (s *Store) serveReserve(w http.ResponseWriter, r *http.Request) {
	var request platform.ReserveRequest
	if !server.ReadJSON(w, r, &request) {
		return
	}
	if request.Bytes < 0 {
		http.Error(w, "Bytes is negative; allowed is zero or more", http.StatusBadRequest)
		return
	}
	server.WriteJSON(w, http.StatusOK, platform.ReserveResponse{StartAt: s.Reserve(time.Now(), request.Bytes)})
}
