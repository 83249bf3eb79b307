package rehearsal

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

// Network opens and accepts connections.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
	Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error)
}

// Limits are those of the network that a Guard stands before; a rehearsed cut
// is noticed after the same time as a real one.
type Limits struct {
	// DialTimeout bounds one attempt to open a connection.
	DialTimeout time.Duration
	// SilenceTimeout is the time after which the network breaks a dialled
	// connection over which nothing arrives.
	SilenceTimeout time.Duration
}

// Guard is a Network that is cut while a rehearsal covers this router. Its
// methods may be called from several goroutines.
type Guard struct {
	inner  Network
	self   Place
	limits Limits
	// changed wakes run to look at all connections anew.
	changed chan struct{}
	stop    chan struct{}
	running sync.WaitGroup

	mu         sync.Mutex
	doc        *text.Document     // guarded by mu
	directory  directory          // guarded by mu
	rehearsals []text.Rehearsal   // guarded by mu
	conns      map[*conn]struct{} // guarded by mu
	held       map[net.Conn]Place // guarded by mu; accepted while cut, or closed while cut
	moved      chan struct{}      // guarded by mu; closed whenever cuts may have changed
	stopped    bool               // guarded by mu
}

// New returns a Guard for the router at the given place. It stops with Close.
func New(inner Network, self Place, limits Limits) *Guard {
	g := &Guard{
		inner: inner, self: self, limits: limits,
		changed: make(chan struct{}, 1), stop: make(chan struct{}),
		conns: make(map[*conn]struct{}), held: make(map[net.Conn]Place), moved: make(chan struct{}),
	}
	g.running.Add(1)
	go g.run()
	return g
}

// SetText takes the rehearsals and endpoints of the text in force. Those that
// are due begin before it returns.
func (g *Guard) SetText(doc *text.Document) {
	g.mu.Lock()
	known := g.doc == doc
	if !known {
		g.doc = doc
		g.directory.setText(doc)
		g.rehearsals = doc.Rehearsals
	}
	g.mu.Unlock()
	if !known {
		g.apply(time.Now())
		g.wake()
	}
}

// SetRouters takes the addresses of the live routers.
func (g *Guard) SetRouters(routers []view.Router) {
	g.mu.Lock()
	g.directory.setRouters(routers)
	g.mu.Unlock()
	g.wake()
}

// Close ends every cut, closes what was held back, and waits.
func (g *Guard) Close() {
	close(g.stop)
	g.running.Wait()
}

func (g *Guard) wake() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// run applies the beginning and the end of each rehearsal.
func (g *Guard) run() {
	defer g.running.Done()
	for {
		next := g.apply(time.Now())
		timer := time.NewTimer(time.Until(next))
		select {
		case <-g.stop:
			timer.Stop()
			g.release()
			return
		case <-g.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// recheck bounds the time between two looks at the clock, which may be set.
const recheck = time.Second

// apply cuts and mends connections by the present rehearsals and returns when
// to look again.
func (g *Guard) apply(now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := now.Add(recheck)
	for i := range g.rehearsals {
		for _, edge := range []time.Time{g.rehearsals[i].From, g.rehearsals[i].Until} {
			if edge.After(now) && edge.Before(next) {
				next = edge
			}
		}
	}
	for c := range g.conns {
		if c.setCut(now, g.covered(now, g.directory.place(c.remote))) {
			g.mend(c)
		}
		if dies := c.diesAt(); !dies.IsZero() && dies.Before(next) {
			next = dies
		}
	}
	for raw, place := range g.held {
		if !g.covered(now, place) {
			delete(g.held, raw)
			reset(raw)
		}
	}
	close(g.moved)
	g.moved = make(chan struct{})
	return next
}

// mend delivers what was written during a cut, beside the caller.
func (g *Guard) mend(c *conn) {
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		c.flush()
	}()
}

// release ends all cuts, since nobody will use the connections any more.
func (g *Guard) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	for raw := range g.held {
		reset(raw)
	}
	clear(g.held)
	for c := range g.conns {
		c.kill()
	}
}

// covered reports whether a rehearsal cuts this router off from the place. It
// requires that mu is held.
func (g *Guard) covered(now time.Time, remote Place) bool {
	for i := range g.rehearsals {
		r := &g.rehearsals[i]
		if active(r, now) && inside(r, g.self) != inside(r, remote) {
			return true
		}
	}
	return false
}

// cutOff reports whether the address cannot be reached now, and returns a
// channel that is closed when that may have changed.
func (g *Guard) cutOff(address netip.AddrPort) (bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.covered(time.Now(), g.directory.place(address)), g.moved
}

// DialContext opens a connection. While the address is cut off it waits, as a
// dial does whose packets are lost, and then fails as the network does.
func (g *Guard) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return g.inner.DialContext(ctx, network, address)
	}
	attempt, cancel := context.WithTimeout(ctx, g.limits.DialTimeout)
	defer cancel()
	for {
		cut, moved := g.cutOff(to)
		if !cut {
			break
		}
		select {
		case <-attempt.Done():
			// With a context that has ended, the inner network gives the
			// very error of a dial that was not answered in time.
			return g.inner.DialContext(attempt, network, address)
		case <-moved:
		}
	}
	raw, err := g.inner.DialContext(attempt, network, address)
	if err != nil {
		return nil, err
	}
	return g.wrap(raw, to, true), nil
}

// Listen accepts connections at the address.
func (g *Guard) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	l, err := g.inner.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, guard: g}, nil
}

type listener struct {
	net.Listener
	guard *Guard
}

// maxHeld bounds the connections that are held back during a cut.
const maxHeld = 1024

// Accept returns the next connection. One that comes from beyond a cut is held
// in silence until the cut ends, since its packets would not have arrived.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		remote := addressOf(raw.RemoteAddr())
		if !l.guard.hold(raw, remote) {
			return l.guard.wrap(raw, remote, false), nil
		}
	}
}

// hold keeps the connection back if its other end is cut off now.
func (g *Guard) hold(raw net.Conn, remote netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	place := g.directory.place(remote)
	if !g.covered(time.Now(), place) {
		return false
	}
	if len(g.held) >= maxHeld {
		reset(raw)
		return true
	}
	g.held[raw] = place
	return true
}

func (g *Guard) wrap(raw net.Conn, remote netip.AddrPort, dialled bool) net.Conn {
	c := &conn{Conn: raw, guard: g, remote: remote, dialled: dialled, moved: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
	return c
}

// forget is called when a connection is closed. The other end of one that is
// cut must not notice before the cut ends.
func (g *Guard) forget(c *conn, cut bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	place := g.directory.place(c.remote)
	if cut && !g.stopped && len(g.held) < maxHeld && g.covered(time.Now(), place) {
		g.held[c.Conn] = place
		return nil
	}
	return c.Conn.Close()
}

// reset closes a connection without a goodbye.
func reset(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	// Nobody is left to be told of a failure to close.
	_ = raw.Close()
}
