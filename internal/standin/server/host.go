package server

import (
	"net/http"
	"net/netip"

	"hyssopreach/internal/protocol/platform"
)

// Host serves the handler of a stand-in, which embeds it.
type Host struct {
	Handler http.Handler
	server  *Server
}

// ServeHTTP serves the stand-in without a server of its own.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.Handler.ServeHTTP(w, r) }

// Start serves the stand-in on the address, whose port may be zero.
func (h *Host) Start(address netip.AddrPort) error {
	s, err := Start(address, h.Handler)
	h.server = s
	return err
}

// Address is where the stand-in listens after Start.
func (h *Host) Address() netip.AddrPort { return h.server.Address() }

// Crash breaks every connection and stops listening, without waiting.
func (h *Host) Crash() { h.server.Crash() }

// Close ends all requests and waits.
func (h *Host) Close() error {
	if h.server == nil {
		return nil
	}
	return h.server.Close()
}

// RepeatRequestID returns a handler whose answers carry the id of the request
// that they answer.
func RepeatRequestID(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get(platform.HeaderRequest); id != "" {
			w.Header().Set(platform.HeaderRequest, id)
		}
		handler.ServeHTTP(w, r)
	})
}
