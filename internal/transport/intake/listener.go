package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// newAtOnce bounds the connections that are new at a time. A request
	// takes some tenths of a millisecond to read, so that what else a router
	// does waits for some milliseconds behind them.
	newAtOnce = 24
	// newFor is how long a connection counts as new whose caller sends
	// nothing.
	newFor = 25 * time.Millisecond
	// idleFor is the least time for which a connection has been idle that is
	// closed for a new one.
	idleFor = time.Second
	// lookInterval is the time between two looks for such a connection.
	lookInterval = 50 * time.Millisecond
)

// Listener accepts connections within the package's bounds.
type Listener struct {
	net.Listener
	// fresh has a place for each connection that may be new, and open for each
	// that may be open.
	fresh  chan struct{}
	open   chan struct{}
	closed chan struct{}
	once   sync.Once
	// newFor is the constant; tests give it more time.
	newFor time.Duration

	mu sync.Mutex
	// idle holds the idle connections and since when; guarded by mu.
	idle map[*conn]time.Time
}

// New returns a listener over the inner one for at most the given number of
// open connections.
func New(inner net.Listener, most int) *Listener {
	return &Listener{
		Listener: inner, fresh: make(chan struct{}, newAtOnce), open: make(chan struct{}, max(most, 1)),
		closed: make(chan struct{}), idle: map[*conn]time.Time{}, newFor: newFor,
	}
}

// Accept waits for a connection, and for room for it.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case l.fresh <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	inner, err := l.Listener.Accept()
	if err == nil {
		if err = l.makeRoom(); err != nil {
			_ = inner.Close()
		}
	}
	if err != nil {
		<-l.fresh
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	c.late = time.AfterFunc(l.newFor, c.read)
	return c, nil
}

// makeRoom takes a place among the open connections, if need be of one that is
// idle.
func (l *Listener) makeRoom() error {
	select {
	case l.open <- struct{}{}:
		return nil
	default:
	}
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	for {
		l.closeIdle(time.Now())
		select {
		case l.open <- struct{}{}:
			return nil
		case <-look.C:
		case <-l.closed:
			return net.ErrClosed
		}
	}
}

// Close stops accepting.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Watch has the server tell which of its connections are idle, and lets Read
// find a request's connection. It must be called before the server starts.
func (l *Listener) InstallHooks(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		own, ok := c.(*conn)
		if !ok {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if state == http.StateIdle {
			l.idle[own] = time.Now()
		} else {
			delete(l.idle, own)
		}
	}
}

// closeIdle closes the connection that has been idle longest, if any has been
// for long enough. A caller that sends at this moment finds it closed, nothing
// of its request is read, and it opens another one.
func (l *Listener) closeIdle(now time.Time) {
	l.mu.Lock()
	var oldest *conn
	for c, since := range l.idle {
		if now.Sub(since) >= idleFor && (oldest == nil || since.Before(l.idle[oldest])) {
			oldest = c
		}
	}
	if oldest != nil {
		delete(l.idle, oldest)
		oldest.given = true
	}
	l.mu.Unlock()
	if oldest != nil {
		// It is closed whatever Close says.
		_ = oldest.Close()
	}
}

type connKey struct{}

// Read says that the first request of the context's connection has been read,
// so that another connection may be accepted.
func MarkRequestRead(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.read()
	}
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener *Listener
	late     *time.Timer
	readOnce sync.Once
	ended    sync.Once
	// given is set once the connection has been given up for a new one; guarded
	// by the listener's mu.
	given bool
}

// Read reads unless the connection has been given up. What it reads makes the
// connection active at once, before the server says so.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.listener.wake(c) {
		return 0, net.ErrClosed
	}
	return n, err
}

// wake takes a connection from the idle ones; it returns false if it has been
// given up.
func (l *Listener) wake(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.idle, c)
	return !c.given
}

func (c *conn) read() {
	c.readOnce.Do(func() { <-c.listener.fresh })
}

// Close closes the connection and makes room for another one.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.ended.Do(func() {
		c.late.Stop()
		c.read()
		<-c.listener.open
	})
	return err
}
