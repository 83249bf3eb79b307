package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcconn"

	wire "hyssopreach/internal/protocol/peer"
	"hyssopreach/internal/state/view"
)

const (
	// queueLength bounds the messages queued for one peer.
	queueLength = 4096
	// envelopeLength bounds the messages of one envelope.
	envelopeLength = 512
	// dialTimeout bounds one attempt to reach a peer.
	dialTimeout = 2 * time.Second
	// redialPause is the time after a failed attempt in which messages are
	// dropped without dialling again.
	redialPause = 250 * time.Millisecond
	// idleTimeout is the time after which an unused link is closed.
	idleTimeout = time.Minute
)

// Dialer opens connections to peers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Links holds the outgoing links to peers. Its methods may be called
// concurrently.
type Links struct {
	self        view.RouterID
	incarnation atomic.Uint64
	dialer      Dialer
	registry    metrics.Registry
	logger      log.Interface
	ctx         context.Context
	cancel      context.CancelFunc
	running     sync.WaitGroup
	// onRefused is called with each address that refuses a connection, unless
	// it is nil.
	onRefused func(netip.AddrPort)

	mu     sync.Mutex
	links  map[netip.AddrPort]*link // guarded by mu
	closed bool                     // guarded by mu
}

type link struct {
	address netip.AddrPort
	queue   chan *wire.Message
}

// NewLinks returns Links whose envelopes carry the given router and incarnation
// as their sender.
func NewLinks(self view.RouterID, incarnation uint64, dialer Dialer, registry metrics.Registry, logger log.Interface) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Links{
		self: self, dialer: dialer, registry: registry, logger: logger,
		ctx: ctx, cancel: cancel, links: make(map[netip.AddrPort]*link),
	}
	l.incarnation.Store(incarnation)
	return l
}

// OnRefused sets the function that is called with each address that refuses a
// connection. It must be called before the first Send, and the callback must not
// block.
func (l *Links) OnRefused(callback func(netip.AddrPort)) { l.onRefused = callback }

// RaiseIncarnation sets a higher incarnation for later envelopes. It is needed when peers
// have already seen a higher incarnation of this router, since they drop the
// messages of lower ones.
func (l *Links) RaiseIncarnation(incarnation uint64) { l.incarnation.Store(incarnation) }

// Send queues a message for the router at the address. It never blocks; if the
// queue is full, it drops the message and counts it.
func (l *Links) Send(to netip.AddrPort, m *wire.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	k := l.links[to]
	if k == nil {
		k = &link{address: to, queue: make(chan *wire.Message, queueLength)}
		l.links[to] = k
		l.running.Add(1)
		go l.run(k)
	}
	select {
	case k.queue <- m:
	default:
		metrics.GetOrRegisterCounter(MetricControlDropped, l.registry).Inc(1)
	}
}

// Close drops the queued messages and waits for every link to terminate.
func (l *Links) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.running.Wait()
}

func (l *Links) run(k *link) {
	defer l.running.Done()
	var stream *outgoingStream
	defer func() { stream.close() }()
	var redialAt time.Time
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-idle.C:
			if l.removeIdle(k) {
				return
			}
			idle.Reset(idleTimeout)
		case m := <-k.queue:
			idle.Reset(idleTimeout)
			batch := collect(m, k.queue)
			if stream == nil {
				if time.Now().Before(redialAt) {
					l.countDropped(len(batch))
					continue
				}
				var err error
				if stream, err = l.open(k.address); err != nil {
					l.logger.WithField("Peer", k.address).WithField("Error", err).Info("PeerUnreachable")
					redialAt = time.Now().Add(redialPause)
					l.reportRefused(k.address, err)
					l.countDropped(len(batch))
					continue
				}
			}
			if err := l.write(stream, batch); err != nil {
				l.logger.WithField("Peer", k.address).WithField("Error", err).Info("PeerLinkBroken")
				stream.close()
				stream = nil
				l.countDropped(len(batch))
			}
		}
	}
}

func (l *Links) reportRefused(address netip.AddrPort, err error) {
	if l.onRefused != nil && errors.Is(err, syscall.ECONNREFUSED) {
		l.onRefused(address)
	}
}

// removeIdle removes a link. It returns false and leaves the link in place if a
// message has been queued in the meantime.
func (l *Links) removeIdle(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(k.queue) > 0 {
		return false
	}
	delete(l.links, k.address)
	return true
}

func (l *Links) countDropped(count int) {
	metrics.GetOrRegisterCounter(MetricControlDropped, l.registry).Inc(int64(count))
}

func (l *Links) write(s *outgoingStream, batch []*wire.Message) error {
	for _, m := range batch {
		countMessage(l.registry, m)
	}
	e := &wire.Envelope{From: string(l.self), Incarnation: l.incarnation.Load(), Messages: batch}
	if err := s.deliver.Send(e); err != nil {
		return fmt.Errorf("deliver %d messages: %w", len(batch), err)
	}
	return nil
}

func collect(first *wire.Message, queue <-chan *wire.Message) []*wire.Message {
	batch := []*wire.Message{first}
	for len(batch) < envelopeLength {
		select {
		case m := <-queue:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

// outgoingStream is an open Deliver stream to a peer with its connection.
type outgoingStream struct {
	conn    *drpcconn.Conn
	deliver wire.DRPCPeer_DeliverClient
	cancel  context.CancelFunc
}

func (o *outgoingStream) close() {
	if o == nil {
		return
	}
	o.cancel()
	_ = o.conn.Close()
}

func (l *Links) open(address netip.AddrPort) (*outgoingStream, error) {
	conn, err := l.connect(l.ctx, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(l.ctx)
	deliver, err := wire.NewDRPCPeerClient(conn).Deliver(ctx)
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, fmt.Errorf("open link to %s: %w", address, err)
	}
	return &outgoingStream{conn: conn, deliver: deliver, cancel: cancel}, nil
}

func (l *Links) connect(ctx context.Context, address netip.AddrPort) (*drpcconn.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := l.dialer.DialContext(dialCtx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	counter := metrics.GetOrRegisterCounter(MetricControlBytesTotal, l.registry)
	return drpcconn.New(&countingConn{Conn: raw, bytes: counter}), nil
}

// Fetch reads the configuration in force from the router at the address over a
// new connection.
func (l *Links) Fetch(ctx context.Context, from netip.AddrPort, query *wire.ConfigurationQuery) (*wire.ConfigurationText, error) {
	conn, err := l.connect(ctx, from)
	if err != nil {
		return nil, fmt.Errorf("fetch configuration: %w", err)
	}
	defer func() { _ = conn.Close() }()
	answer, err := wire.NewDRPCPeerClient(conn).Fetch(ctx, query)
	if err != nil {
		return nil, fmt.Errorf("fetch configuration from %s: %w", from, err)
	}
	return answer, nil
}

// ReadAnswer reads a retained or in-progress response from the router at the
// address and calls part with its parts in order. It returns nil only after the
// last part.
func (l *Links) ReadAnswer(ctx context.Context, from netip.AddrPort, query *wire.AnswerQuery, part func(*wire.AnswerPart) error) error {
	conn, err := l.connect(ctx, from)
	if err != nil {
		return fmt.Errorf("read kept answer: %w", err)
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCPeerClient(conn).Answer(ctx, query)
	if err != nil {
		return fmt.Errorf("read kept answer from %s: %w", from, err)
	}
	for {
		p, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("read kept answer from %s: %w", from, err)
		}
		if err := part(p); err != nil {
			return err
		}
		if p.Last {
			return nil
		}
	}
}
