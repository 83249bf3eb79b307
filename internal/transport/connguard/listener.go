package connguard

import (
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// MetricEvicted counts connections that were closed to accept others.
const MetricEvicted = "GuardedConnectionsEvicted"

// Listener keeps at most a number of connections open.
type Listener struct {
	net.Listener
	max     int
	evicted metrics.Counter

	mu sync.Mutex
	// conns are the open connections; guarded by mu.
	conns map[*Conn]bool
}

// Conn is a connection of a Listener. Its progress is what it has done for its client.
type Conn struct {
	net.Conn
	listener *Listener
	// progressAt is the last progress, or when the connection was accepted; guarded by the
	// listener's mu.
	progressAt time.Time
	// proven is set once the client has proven to be one that the listener is for; such
	// connections are closed last. Guarded by the listener's mu.
	proven bool
}

// New returns a Listener that accepts connections from inner and keeps at most max of them
// open.
func New(inner net.Listener, maxOpen int, registry metrics.Registry) *Listener {
	return &Listener{
		Listener: inner, max: max(maxOpen, 1), conns: map[*Conn]bool{},
		evicted: metrics.GetOrRegisterCounter(MetricEvicted, registry),
	}
}

// Accept waits for a connection. If too many are open, it closes the one without progress
// for longest.
func (l *Listener) Accept() (net.Conn, error) {
	return l.AcceptConn()
}

// AcceptConn is Accept with the type of its connections.
func (l *Listener) AcceptConn() (*Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: inner, listener: l, progressAt: time.Now()}
	l.mu.Lock()
	var victim *Conn
	if len(l.conns) >= l.max {
		victim = l.longestWithoutProgress()
		delete(l.conns, victim)
	}
	l.conns[c] = true
	l.mu.Unlock()
	if victim != nil {
		l.evicted.Inc(1)
		_ = victim.Conn.Close() // it is closed even if Close returns an error
	}
	return c, nil
}

// longestWithoutProgress requires that mu is held and that a connection is open.
func (l *Listener) longestWithoutProgress() *Conn {
	var longest *Conn
	for c := range l.conns {
		if longest == nil || (c.proven == longest.proven && c.progressAt.Before(longest.progressAt)) || !c.proven && longest.proven {
			longest = c
		}
	}
	return longest
}

// Progress records that the connection has done something for its client.
func (c *Conn) Progress() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.progressAt = time.Now()
}

// Prove records progress by which the client has proven to be one that the listener is for.
func (c *Conn) Prove() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.progressAt, c.proven = time.Now(), true
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
