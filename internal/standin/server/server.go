package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const headerTimeout = 10 * time.Second

// Server serves one handler on one address.
type Server struct {
	http     *http.Server
	address  netip.AddrPort
	handlers sync.WaitGroup
	served   chan struct{}
}

// Start listens on the address and serves the handler there. Port zero selects
// a free port.
func Start(address netip.AddrPort, handler http.Handler) (*Server, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("listen on %v: %w", address, err)
	}
	s := &Server{
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
		served:  make(chan struct{}),
	}
	s.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.handlers.Add(1)
			defer s.handlers.Done()
			handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go func() {
		defer close(s.served)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort { return s.address }

// Crash closes the listener and all connections and returns at once, so that
// a handler may call it.
func (s *Server) Crash() { _ = s.http.Close() }

// Close ends all connections and waits until every handler has returned.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.served
	s.handlers.Wait()
	return err
}

// Shutdown stops listening and waits until every request in flight has ended.
// If the context ends first, Shutdown closes the remaining connections and
// returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	return errors.Join(err, s.Close())
}

// Abort closes the connection of the running handler without a response.
func Abort() { panic(http.ErrAbortHandler) }
