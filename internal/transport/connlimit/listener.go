package connlimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"hyssopreach/internal/transport/memory"
)

const (
	// maxNewConns bounds the number of connections that are new at a time. It
	// takes a few tenths of a millisecond to read a request, so the router's
	// other work is delayed by a few milliseconds.
	maxNewConns = 24
	// newConnTimeout is the time after which a connection no longer counts as
	// new, even if no request has been read from it.
	newConnTimeout = 25 * time.Millisecond
	// minIdleTime is how long a connection must have been idle before it may be
	// closed for a new one.
	minIdleTime = time.Second
	// minReceiveTime is how long the request of a connection must have been arriving before
	// the connection may be closed for a new one. Requests arrive within milliseconds; a
	// caller that takes longer loses its connection only while all are in use.
	minReceiveTime = time.Second
	// maxEvicted bounds the connections that are closed at a time for that reason. It takes
	// up to rejectWriteTimeout to tell their callers.
	maxEvicted = 16
	// idleCheckInterval is the time between two searches for such a connection.
	idleCheckInterval = 50 * time.Millisecond
	// Between two turns of all other goroutines that can run, connections are
	// accepted that cost batchCost together: serveCost each, or rejectCost if they
	// are rejected. A turn may take tens of milliseconds on a router without
	// processor time, and callers whose connections wait meanwhile get no answer.
	batchCost, serveCost, rejectCost = 512, 32, 1
	// emptyWait is the time that Accept waits at least if the accept queue is
	// empty. The queue counts as empty after emptyAccepts such calls in a row,
	// since a process that is not running makes single calls long.
	emptyWait    = 500 * time.Microsecond
	emptyAccepts = 2
)

// Overload decides which new connections are rejected before anything is read
// from them.
type Overload interface {
	// Observe reports whether any connections are to be rejected at present. The
	// accept queue has not been empty for the given time.
	Observe(backlog time.Duration) bool
	// Reject reports whether to reject a connection on which the caller has sent
	// head so far: the beginning of a request, or nothing.
	Reject(head []byte) bool
	// Answer returns the answer to a connection that is rejected, which states
	// that no request on it has run.
	Answer() []byte
}

// Listener accepts connections within the limits that the package comment
// describes.
type Listener struct {
	net.Listener
	// newSlots and openSlots are semaphores: newSlots holds one element per new
	// connection and one per running Accept, and openSlots one per open
	// connection.
	newSlots  chan struct{}
	openSlots chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	// overload and rejecter are both nil if no connection is rejected.
	overload Overload
	rejecter *rejecter
	// accepted is the cost of the connections accepted since other goroutines had
	// their turn, waits the number of calls in a row that had to wait for a
	// connection, emptyAt when the accept queue was last empty, and backlog the time
	// for which it had not been empty at the last call. Only Accept uses them.
	accepted, waits int
	emptyAt         time.Time
	backlog         time.Duration
	// newConnTimeout is the constant of that name; tests use a longer time.
	newConnTimeout time.Duration
	// heads limits the memory of the heads of requests; nil to limit only that of each.
	// headRejection returns the answer to a request for whose head there is none.
	heads         *memory.Limiter
	headRejection func() []byte
	// yield lets all other goroutines that can run have a turn.
	yield func()

	mu sync.Mutex
	// idle maps each idle connection to the time since which it has been idle;
	// guarded by mu.
	idle map[*conn]time.Time
	// receiving maps each connection whose request has not been read to the time since which
	// it could arrive; guarded by mu.
	receiving map[*conn]time.Time
}

// New returns a Listener that accepts connections from inner, keeps at most
// maxOpen of them open, and rejects those that the overload, unless it is nil,
// chooses. Only connections of a listener of package net can be rejected.
func New(inner net.Listener, maxOpen int, overload Overload) *Listener {
	maxOpen = max(maxOpen, 1)
	l := &Listener{
		Listener: inner, newSlots: make(chan struct{}, maxNewConns), openSlots: make(chan struct{}, maxOpen),
		closed: make(chan struct{}), idle: map[*conn]time.Time{}, receiving: map[*conn]time.Time{}, newConnTimeout: newConnTimeout, yield: runtime.Gosched,
	}
	if overload != nil {
		if l.rejecter = newRejecter(inner, l.maxLingering); l.rejecter != nil {
			l.overload = overload
		}
	}
	return l
}

// maxLingering returns how many rejected connections may be open.
func (l *Listener) maxLingering() int {
	maxOpen := cap(l.openSlots)
	return max(min(maxOpen/lingerDivisor, maxOpen-len(l.openSlots)), maxOpen/minLingerDivisor, 1)
}

// LimitHeads limits the memory of the heads of all requests. A request for whose head there
// is none, or that makes room for another before it has arrived, gets the rejection, which
// may be called concurrently. LimitHeads must be called before the first Accept.
func (l *Listener) LimitHeads(m *memory.Limiter, rejection func() []byte) {
	l.heads, l.headRejection = m, rejection
}

// Accept waits for a connection, and until the limits allow another one. It must
// not be called concurrently.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case l.newSlots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	inner, err := l.acceptUnrejected()
	if err == nil {
		if err = l.acquireOpenSlot(); err != nil {
			_ = inner.Close()
		} else if l.rejecter != nil {
			l.rejecter.shrink()
		}
	}
	if err != nil {
		<-l.newSlots
		return nil, err
	}
	c := &conn{Conn: inner, listener: l}
	c.head.LimitRequest(l.heads)
	c.newConnTimer = time.AfterFunc(l.newConnTimeout, c.releaseNewSlot)
	return c, nil
}

// acceptUnrejected accepts connections until one is not rejected.
func (l *Listener) acceptUnrejected() (net.Conn, error) {
	for {
		if l.accepted >= batchCost {
			l.accepted = 0
			// Under a flood, the goroutines of new connections always find their
			// requests and never wait. Goroutines for which data arrives, such as
			// those of streams and of other routers, would hardly run.
			l.yield()
		}
		rejecting := l.overload != nil && l.overload.Observe(l.backlog)
		if rejecting {
			if c, found := l.rejecter.next(l.overload); found {
				l.measureBacklog(0, time.Now())
				if c == nil {
					l.accepted += rejectCost
					continue
				}
				l.accepted += serveCost
				return c, nil
			}
			// Under a flood the next connection arrives soon, but none waits.
			l.emptyAt = time.Now()
		}
		begun := time.Now()
		inner, err := l.Listener.Accept()
		now := time.Now()
		l.measureBacklog(now.Sub(begun), now)
		l.accepted += serveCost
		if err != nil || !rejecting {
			return inner, err
		}
		head := l.rejecter.peek(inner)
		if !l.overload.Reject(head) {
			return inner, nil
		}
		l.rejecter.reject(inner, head, l.overload.Answer())
	}
}

// measureBacklog sets the time for which the accept queue has not been empty,
// after a call that waited for a connection.
func (l *Listener) measureBacklog(waited time.Duration, now time.Time) {
	if l.emptyAt.IsZero() {
		l.emptyAt = now.Add(-waited)
	}
	if waited < emptyWait {
		l.waits = 0
	} else {
		l.waits++
		// A quiet period, or one without processor time, is no backlog.
		l.emptyAt = l.emptyAt.Add(waited)
	}
	if l.waits >= emptyAccepts {
		l.emptyAt = now
	}
	l.backlog = now.Sub(l.emptyAt)
}

// acquireOpenSlot acquires a slot for an open connection, closing idle
// connections if there is no free slot.
func (l *Listener) acquireOpenSlot() error {
	select {
	case l.openSlots <- struct{}{}:
		return nil
	default:
	}
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		l.closeLongestIdle(time.Now())
		select {
		case l.openSlots <- struct{}{}:
			return nil
		case <-ticker.C:
		case <-l.closed:
			return net.ErrClosed
		}
	}
}

// Close stops accepting and closes the rejected connections.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	err := l.Listener.Close()
	if l.rejecter != nil {
		l.rejecter.close()
	}
	return err
}

// InstallHooks installs hooks in the server, by which the Listener learns which
// connections are idle and which have been used before, and MarkRequestRead finds the
// connection of a request. It must be called before the server starts.
func (l *Listener) InstallHooks(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		accepted, ok := c.(*conn)
		if !ok {
			return
		}
		switch state {
		case http.StateActive:
			accepted.requests.Add(1)
		case http.StateIdle:
			accepted.head.Restart()
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.setState(accepted, state, time.Now())
	}
}

// setState records whether the connection is idle or its request arrives. It requires that
// mu is held.
func (l *Listener) setState(c *conn, state http.ConnState, now time.Time) {
	delete(l.idle, c)
	_, receiving := l.receiving[c]
	switch state {
	case http.StateIdle:
		delete(l.receiving, c)
		l.idle[c] = now
		c.begun = false
		c.writeMu.Lock()
		c.wrote = false
		c.writeMu.Unlock()
	case http.StateNew, http.StateActive:
		if !receiving {
			l.receiving[c] = now
		}
	default:
		delete(l.receiving, c)
	}
}

// closeLongestIdle closes the connection that has been idle longest, if it has
// been idle for minIdleTime. If the caller sends a request at this moment, no
// part of the request is read; the caller finds the connection closed and opens
// another one. If none is idle, it closes those whose requests have been arriving for
// longest, up to maxEvicted that have taken at least minReceiveTime.
func (l *Listener) closeLongestIdle(now time.Time) {
	if c := l.evictLongest(l.idle, now.Add(-minIdleTime)); c != nil {
		_ = c.Close() // it is closed even if Close returns an error
		return
	}
	for range maxEvicted {
		c := l.evictLongest(l.receiving, now.Add(-minReceiveTime))
		if c == nil {
			return
		}
		go c.rejectAndClose()
	}
}

// evictLongest marks the connection with the earliest time of the given ones as evicted and
// returns it, nil if there is none up to the latest time.
func (l *Listener) evictLongest(conns map[*conn]time.Time, latest time.Time) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := longestSince(conns, latest)
	if c != nil {
		delete(conns, c)
		c.evicted = true
	}
	return c
}

// longestSince returns the connection with the earliest time, nil if there is none up to the
// given time.
func longestSince(conns map[*conn]time.Time, latest time.Time) *conn {
	var longest *conn
	for c, since := range conns {
		if !since.After(latest) && (longest == nil || since.Before(conns[longest])) {
			longest = c
		}
	}
	return longest
}

type connKey struct{}

// MarkRequestRead reports that the request of the connection in ctx has been read, so that
// another connection may be accepted, and this one is not closed for another one until the
// request ends. ctx is the context of a request.
func MarkRequestRead(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.releaseNewSlot()
		c.listener.mu.Lock()
		delete(c.listener.receiving, c)
		c.listener.mu.Unlock()
	}
}

// Reused reports whether the connection in ctx carried another request before. ctx is
// the context of a request.
func Reused(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.requests.Load() > 1
}

// CallerLeft reports whether the caller has closed the connection in ctx. The server
// finds out as well, but in a goroutine that may run only after the request has been
// sent on. ctx is the context of a request whose body has been read.
func CallerLeft(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true // closed here
	}
	left := false
	if err := raw.Control(func(descriptor uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(descriptor), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = n <= 0 && !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EINTR)
	}); err != nil {
		return true
	}
	return left
}

// ResetOnClose makes the close of the connection in ctx a reset. ctx is the context
// of a request.
func ResetOnClose(ctx context.Context) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(0)
	}
	return nil
}
