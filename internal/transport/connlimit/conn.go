package connlimit

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"hyssopreach/internal/transport/memory"
)

// maxDiscarded bounds what is read of a request that is rejected after its beginning has been
// read.
const maxDiscarded = 64 << 10

// conn is an accepted connection.
type conn struct {
	net.Conn
	listener     *Listener
	newConnTimer *time.Timer
	releaseOnce  sync.Once
	closeOnce    sync.Once
	// requests is the number of requests that have begun.
	requests atomic.Int64
	// head accounts for the memory of the head of the current request.
	head memory.HeadMeter
	// evicted is set once the connection is to be closed for a new one, and begun once a
	// part of the current request has arrived; both are guarded by the listener's mu.
	evicted, begun bool

	writeMu sync.Mutex
	// wrote is set once an answer to the current request has begun, and writeStopped once
	// the server may write no more. Both are guarded by writeMu.
	wrote, writeStopped bool
}

// Write writes a part of an answer.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	c.wrote = true
	stopped := c.writeStopped
	c.writeMu.Unlock()
	if stopped {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// stopWriting ends the writes of the server, and reports whether an answer to the current
// request has begun.
func (c *conn) stopWriting() bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.writeStopped = true
	return c.wrote
}

// Read reads from the connection, and fails if the connection has been evicted.
// It marks the connection as active as soon as data arrives, which is before the
// server reports the state. If there is no memory for the head of the request, it answers
// like one that is rejected unread, and fails.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.listener.markActive(c) {
		return 0, net.ErrClosed
	}
	if headErr := c.head.Add(p[:n]); headErr != nil {
		c.head.Release()
		c.reject()
		// The server closes the connection without an answer of its own.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: headErr}
	}
	return n, err
}

// rejectAndClose closes the connection. A caller whose request has begun to arrive is told that
// it has not run, unless an answer has begun.
func (c *conn) rejectAndClose() {
	c.listener.mu.Lock()
	begun := c.begun
	c.listener.mu.Unlock()
	if answered := c.stopWriting(); begun && !answered && c.listener.headRejection != nil {
		c.reject()
	}
	_ = c.Close() // it is closed even if Close returns an error
}

// reject answers that no request on the connection has run. It reads what the caller has
// sent, since the close of the connection would otherwise discard the answer.
func (c *conn) reject() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetDeadline(time.Now().Add(rejectWriteTimeout))
	if _, err := tcp.Write(c.listener.headRejection()); err != nil {
		return
	}
	_ = tcp.CloseWrite()
	_, _ = io.CopyN(io.Discard, tcp, maxDiscarded)
}

// markActive removes the connection from the idle ones. It returns false if the
// connection has been evicted.
func (l *Listener) markActive(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.idle, c)
	c.begun = true
	return !c.evicted
}

// releaseNewSlot ends the connection's time as a new one; further calls do
// nothing.
func (c *conn) releaseNewSlot() {
	c.releaseOnce.Do(func() { <-c.listener.newSlots })
}

// Close closes the connection and releases its slots.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() {
		c.newConnTimer.Stop()
		c.head.Release()
		c.releaseNewSlot()
		c.listener.mu.Lock()
		delete(c.listener.receiving, c)
		c.listener.mu.Unlock()
		<-c.listener.openSlots
	})
	return err
}
