package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
)

// Handler processes the messages and queries of peers.
type Handler interface {
	// Receive processes one control message. It must not block.
	Receive(from view.RouterID, incarnation uint64, m *wire.Message)
	// Fetch returns the configuration in force.
	Fetch(ctx context.Context, query *wire.ConfigurationQuery) (*wire.ConfigurationText, error)
	// Confirm returns the configuration and the list of endpoints that the router
	// has read from the platform's store, unless the querying router has them
	// already, and how long ago it read each.
	Confirm(ctx context.Context, query *wire.ConfirmationQuery) (*wire.Confirmation, error)
	// Answer sends the parts of a retained or in-progress response.
	Answer(ctx context.Context, query *wire.AnswerQuery, send func(*wire.AnswerPart) error) error
}

// Server accepts the links of peers.
type Server struct {
	handler Handler
	logger  log.Interface
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu           sync.Mutex
	incarnations map[view.RouterID]uint64 // guarded by mu; the highest incarnation received from each router
}

// Serve starts a server with the default limits that accepts links on the listener and takes
// ownership of it.
func Serve(listener net.Listener, handler Handler, registry metrics.Registry, logger log.Interface) (*Server, error) {
	return ServeWithin(Limits{}, listener, handler, registry, logger)
}

// ServeWithin is like Serve, with the given limits.
func ServeWithin(limits Limits, listener net.Listener, handler Handler, registry metrics.Registry, logger log.Interface) (*Server, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{handler: handler, logger: logger, cancel: cancel, incarnations: make(map[view.RouterID]uint64)}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, s); err != nil {
		cancel()
		return nil, fmt.Errorf("register peer service at %s: %w", listener.Addr(), err)
	}
	server := drpcserver.NewWithOptions(mux, serverOptions)
	guarded := guard(listener, limits, registry)
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		if err := server.Serve(ctx, guarded); err != nil && ctx.Err() == nil {
			s.logger.WithField("Address", listener.Addr()).WithField("Error", err).Error("PeerServerFailed")
		}
	}()
	return s, nil
}

// Close terminates every link and waits for the handlers to return.
func (s *Server) Close() {
	s.cancel()
	s.running.Wait()
}

// Deliver receives the control messages of one peer.
func (s *Server) Deliver(stream wire.DRPCPeer_DeliverStream) error {
	for {
		e, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&wire.Empty{})
		}
		if err != nil {
			return err
		}
		messageRead(stream.Context())
		from := view.RouterID(e.From)
		if !s.acceptIncarnation(from, e.Incarnation) {
			s.logger.WithField("Peer", from).WithField("Incarnation", e.Incarnation).Info("OldIncarnationDropped")
			continue
		}
		for _, m := range e.Messages {
			s.handler.Receive(from, e.Incarnation, m)
		}
	}
}

// acceptIncarnation reports whether the incarnation is at least the highest one
// received from the router, and records it. Connections of a router that has
// restarted may overlap with those of its earlier incarnation, whose messages
// must then be dropped.
func (s *Server) acceptIncarnation(from view.RouterID, incarnation uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation < s.incarnations[from] {
		return false
	}
	s.incarnations[from] = incarnation
	return true
}

// Fetch returns the configuration in force.
func (s *Server) Fetch(ctx context.Context, query *wire.ConfigurationQuery) (*wire.ConfigurationText, error) {
	messageRead(ctx)
	return s.handler.Fetch(ctx, query)
}

// Confirm returns the configuration and the list of endpoints that the router has
// read from the platform's store, and how long ago it read each.
func (s *Server) Confirm(ctx context.Context, query *wire.ConfirmationQuery) (*wire.Confirmation, error) {
	messageRead(ctx)
	return s.handler.Confirm(ctx, query)
}

// Answer streams a retained or in-progress response.
func (s *Server) Answer(query *wire.AnswerQuery, stream wire.DRPCPeer_AnswerStream) error {
	messageRead(stream.Context())
	if err := s.handler.Answer(stream.Context(), query, stream.Send); err != nil {
		return err
	}
	return stream.Close()
}
