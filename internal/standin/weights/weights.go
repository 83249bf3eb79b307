package weights

import (
	"net/http"
	"sync"
	"time"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/server"
)

// Settings holds the settings of the weight store.
type Settings struct {
	// BytesPerSecond is the total transfer rate of the store. It must be
	// positive.
	BytesPerSecond float64
}

// Store is a simulated weight store.
type Store struct {
	server.Host
	settings Settings

	mu sync.Mutex
	// The fields below are guarded by mu.
	// nextStart is the end of the last reserved transfer.
	nextStart     time.Time
	reservedBytes int64
}

// New returns a store, which serves HTTP through ServeHTTP or Start.
func New(settings Settings) *Store {
	mux := http.NewServeMux()
	s := &Store{Host: server.Host{Handler: mux}, settings: settings}
	mux.HandleFunc("POST "+platform.PathReservations, s.serveReserve)
	return s
}

// Reserve reserves a transfer of the given number of bytes and returns the
// time at which it may start: now, or the end of the transfers that were
// reserved before, whichever is later.
func (s *Store) Reserve(now time.Time, bytes int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	startAt := now
	if s.nextStart.After(startAt) {
		startAt = s.nextStart
	}
	seconds := float64(bytes) / s.settings.BytesPerSecond
	s.nextStart = startAt.Add(time.Duration(seconds * float64(time.Second)))
	s.reservedBytes += bytes
	return startAt
}

// ReservedBytes returns the number of bytes reserved so far.
func (s *Store) ReservedBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reservedBytes
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
