package server

import (
	"net/http"
	"net/netip"

	"hyssopreach/internal/protocol/platform"
)

// Host serves the handler of a stand-in. Stand-ins embed Host.
type Host struct {
	Handler http.Handler
	server  *Server
}

// ServeHTTP handles a request by calling Handler. It doesn't need Start.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.Handler.ServeHTTP(w, r) }

// Start serves the stand-in on the address. Port zero selects a free port.
func (h *Host) Start(address netip.AddrPort) error {
	s, err := Start(address, h.Handler)
	h.server = s
	return err
}

// Address returns the address on which the stand-in listens. Start must have
// been called.
func (h *Host) Address() netip.AddrPort { return h.server.Address() }

// Crash closes every connection and stops listening, without waiting for the
// handlers.
func (h *Host) Crash() { h.server.Crash() }

// Close ends all requests and waits until every handler has returned.
func (h *Host) Close() error {
	if h.server == nil {
		return nil
	}
	return h.server.Close()
}

// RepeatRequestID returns a handler that copies the request id from the header
// of the request to that of the response.
func RepeatRequestID(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(platform.HeaderRequestID); id != "" {
			w.Header().Set(platform.HeaderRequestID, id)
		}
		handler.ServeHTTP(w, r)
	})
}
