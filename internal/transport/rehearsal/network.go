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

// Timeouts are the timeouts of the wrapped network, so that a rehearsed cut is
// detected after the same time as a real one.
type Timeouts struct {
	// DialTimeout bounds one dial.
	DialTimeout time.Duration
	// SilenceTimeout is the time after which the network breaks a dialled
	// connection on which no packets arrive.
	SilenceTimeout time.Duration
}

// FaultNetwork is a Network that cuts a connection while an active rehearsal separates
// this router from the remote end. Its methods may be called concurrently.
type FaultNetwork struct {
	inner    Network
	self     Location
	timeouts Timeouts
	// checkRequested wakes run to apply the rehearsals to all connections.
	checkRequested chan struct{}
	stop           chan struct{}
	running        sync.WaitGroup

	mu          sync.Mutex
	doc         *text.Document        // guarded by mu
	directory   directory             // guarded by mu
	rehearsals  []text.Rehearsal      // guarded by mu
	conns       map[*conn]struct{}    // guarded by mu
	heldConns   map[net.Conn]Location // guarded by mu; connections accepted or closed while cut off, kept open until the cut ends
	cutsChanged chan struct{}         // guarded by mu; closed and replaced whenever cuts may have changed
	stopped     bool                  // guarded by mu
}

// New returns a FaultNetwork that wraps the network of the router at the given
// location. The caller must close it.
func New(inner Network, self Location, timeouts Timeouts) *FaultNetwork {
	g := &FaultNetwork{
		inner: inner, self: self, timeouts: timeouts,
		checkRequested: make(chan struct{}, 1), stop: make(chan struct{}),
		conns: make(map[*conn]struct{}), heldConns: make(map[net.Conn]Location), cutsChanged: make(chan struct{}),
	}
	g.running.Add(1)
	go g.run()
	return g
}

// SetText sets the text in force, which defines the rehearsals and the endpoints.
// Rehearsals that are due begin before it returns.
func (g *FaultNetwork) SetText(doc *text.Document) {
	g.mu.Lock()
	unchanged := g.doc == doc
	if !unchanged {
		g.doc = doc
		g.directory.setText(doc)
		g.rehearsals = doc.Rehearsals
	}
	g.mu.Unlock()
	if !unchanged {
		g.applyRehearsals(time.Now())
		g.requestCheck()
	}
}

// SetRouters adds the addresses of the live routers to the known ones. Routers
// that have left the view are not removed, because a cut removes routers from the
// view, and that must not end the cut.
func (g *FaultNetwork) SetRouters(routers []view.Router) {
	g.mu.Lock()
	g.directory.setRouters(routers)
	g.mu.Unlock()
	g.requestCheck()
}

// Close ends every cut, closes the held connections, and waits for the background
// goroutines.
func (g *FaultNetwork) Close() {
	close(g.stop)
	g.running.Wait()
}

func (g *FaultNetwork) requestCheck() {
	select {
	case g.checkRequested <- struct{}{}:
	default:
	}
}

// run applies the rehearsals whenever one begins or ends, a cut connection is due
// to break, or a check is requested.
func (g *FaultNetwork) run() {
	defer g.running.Done()
	for {
		next := g.applyRehearsals(time.Now())
		timer := time.NewTimer(time.Until(next))
		select {
		case <-g.stop:
			timer.Stop()
			g.endAllCuts()
			return
		case <-g.checkRequested:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// maxCheckInterval bounds the time between two checks of the wall clock, which
// may be set forward or back.
const maxCheckInterval = time.Second

// applyRehearsals cuts and restores connections according to the rehearsals that
// are active now, and returns the time of the next check.
func (g *FaultNetwork) applyRehearsals(now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := now.Add(maxCheckInterval)
	for i := range g.rehearsals {
		for _, boundary := range []time.Time{g.rehearsals[i].From, g.rehearsals[i].Until} {
			if boundary.After(now) && boundary.Before(next) {
				next = boundary
			}
		}
	}
	for c := range g.conns {
		if c.setCut(now, g.isCutOff(now, g.directory.locationOf(c.remote))) {
			g.deliverWrites(c)
		}
		if breakAt := c.breakTime(); !breakAt.IsZero() && breakAt.Before(next) {
			next = breakAt
		}
	}
	for raw, location := range g.heldConns {
		if !g.isCutOff(now, location) {
			delete(g.heldConns, raw)
			reset(raw)
		}
	}
	close(g.cutsChanged)
	g.cutsChanged = make(chan struct{})
	return next
}

// deliverWrites delivers the bytes written during a cut in the background.
func (g *FaultNetwork) deliverWrites(c *conn) {
	g.running.Add(1)
	go func() {
		defer g.running.Done()
		c.flush()
	}()
}

// endAllCuts resets the held connections and breaks the connections that are cut.
// It is called on Close, when the connections are no longer used.
func (g *FaultNetwork) endAllCuts() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	for raw := range g.heldConns {
		reset(raw)
	}
	clear(g.heldConns)
	for c := range g.conns {
		c.breakIfCut()
	}
}

// isCutOff reports whether an active rehearsal separates this router from the
// remote location. It requires that mu is held.
func (g *FaultNetwork) isCutOff(now time.Time, remote Location) bool {
	for i := range g.rehearsals {
		r := &g.rehearsals[i]
		if active(r, now) && isolates(r, g.self) != isolates(r, remote) {
			return true
		}
	}
	return false
}

// cutState reports whether the address is cut off now, and returns a channel that
// is closed when that may have changed.
func (g *FaultNetwork) cutState(address netip.AddrPort) (bool, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isCutOff(time.Now(), g.directory.locationOf(address)), g.cutsChanged
}

// DialContext opens a connection. While the address is cut off, the dial blocks,
// as if its packets were lost, and on a timeout it fails with the error of the
// wrapped network.
func (g *FaultNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return g.inner.DialContext(ctx, network, address)
	}
	dialCtx, cancel := context.WithTimeout(ctx, g.timeouts.DialTimeout)
	defer cancel()
	for {
		cutOff, changed := g.cutState(to)
		if !cutOff {
			break
		}
		select {
		case <-dialCtx.Done():
			// With a context that has ended, the wrapped network returns the
			// same error as for a dial that timed out.
			return g.inner.DialContext(dialCtx, network, address)
		case <-changed:
		}
	}
	raw, err := g.inner.DialContext(dialCtx, network, address)
	if err != nil {
		return nil, err
	}
	return g.wrap(raw, to, true), nil
}

// Listen returns a listener at the address whose connections are subject to cuts.
func (g *FaultNetwork) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	l, err := g.inner.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, network: g}, nil
}

type listener struct {
	net.Listener
	network *FaultNetwork
}

// maxHeldConns bounds the connections that are held during a cut.
const maxHeldConns = 1024

// Accept returns the next connection. A connection from an address that is cut
// off is not returned but held open without traffic until the cut ends, since its
// packets would not have arrived.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		remote := addressOf(raw.RemoteAddr())
		if !l.network.holdIfCutOff(raw, remote) {
			return l.network.wrap(raw, remote, false), nil
		}
	}
}

// holdIfCutOff reports whether the remote end is cut off now. If so, it holds the
// connection, or resets it if maxHeldConns are held already.
func (g *FaultNetwork) holdIfCutOff(raw net.Conn, remote netip.AddrPort) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	location := g.directory.locationOf(remote)
	if !g.isCutOff(time.Now(), location) {
		return false
	}
	if len(g.heldConns) >= maxHeldConns {
		reset(raw)
		return true
	}
	g.heldConns[raw] = location
	return true
}

func (g *FaultNetwork) wrap(raw net.Conn, remote netip.AddrPort, dialled bool) net.Conn {
	c := &conn{Conn: raw, network: g, remote: remote, dialled: dialled, changed: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = struct{}{}
	return c
}

// closeConn removes the connection and closes it. A connection that is cut is held
// open instead, since its remote end must not receive the close before the cut
// ends.
func (g *FaultNetwork) closeConn(c *conn, cut bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	location := g.directory.locationOf(c.remote)
	if cut && !g.stopped && len(g.heldConns) < maxHeldConns && g.isCutOff(time.Now(), location) {
		g.heldConns[c.Conn] = location
		return nil
	}
	return c.Conn.Close()
}

// reset closes a TCP connection with a reset instead of an orderly shutdown.
func reset(raw net.Conn) {
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	// The connection has no user left to whom an error could be returned.
	_ = raw.Close()
}
