package rehearsal

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxWriteBuffer bounds the bytes that a cut connection buffers before writes
// block, like the send buffer of the operating system.
const maxWriteBuffer = 256 << 10

// conn is a connection that transfers no bytes while it is cut.
type conn struct {
	net.Conn
	network *FaultNetwork
	remote  netip.AddrPort
	// dialled is set for outgoing connections, which break when they are cut for
	// SilenceTimeout, as in the wrapped network. Accepted connections do not
	// break; their reads fail at the read deadline.
	dialled bool
	// cut is set from the beginning of a cut until the bytes written during the
	// cut are delivered. It is atomic so that connections that are not cut need
	// not take mu.
	cut atomic.Bool
	// hasBufferedRead is set while readBuffer holds bytes.
	hasBufferedRead atomic.Bool

	// writeMu serialises writes, so that bytes keep their order.
	writeMu sync.Mutex

	mu            sync.Mutex
	changed       chan struct{} // guarded by mu; closed and replaced when one of the following changes
	cutAt         time.Time     // guarded by mu; the beginning of the cut, zero outside of cuts
	broken        bool          // guarded by mu
	closed        bool          // guarded by mu
	readDeadline  time.Time     // guarded by mu
	writeDeadline time.Time     // guarded by mu
	writeBuffer   []byte        // guarded by mu; bytes written during a cut
	readBuffer    []byte        // guarded by mu; bytes received during a cut and not yet returned by Read
}

// setCut cuts or restores the connection, and breaks a dialled connection that has
// been cut for SilenceTimeout. It reports whether buffered writes must be
// delivered now.
func (c *conn) setCut(now time.Time, cut bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.broken:
		return false
	case cut && !c.cut.Load():
		c.cut.Store(true)
		c.cutAt = now
	case cut && c.dialled && now.Sub(c.cutAt) >= c.network.timeouts.SilenceTimeout:
		c.broken = true
		// A deadline in the past ends reads and writes that are blocked in the
		// wrapped connection.
		_ = c.Conn.SetDeadline(time.Unix(1, 0))
	case !cut && c.cut.Load():
		c.cutAt = time.Time{}
		if len(c.writeBuffer) == 0 {
			c.cut.Store(false)
		}
		c.notifyWaiters()
		return len(c.writeBuffer) > 0
	default:
		return false
	}
	c.notifyWaiters()
	return false
}

// notifyWaiters wakes the calls of await. It requires that mu is held.
func (c *conn) notifyWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// breakTime returns the instant at which the cut connection breaks, or zero if it
// is not cut, is already broken, or does not break by itself.
func (c *conn) breakTime() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutAt.IsZero() || c.broken || !c.dialled {
		return time.Time{}
	}
	return c.cutAt.Add(c.network.timeouts.SilenceTimeout)
}

// breakIfCut breaks the connection if it is cut.
func (c *conn) breakIfCut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut.Load() {
		c.broken = true
		c.notifyWaiters()
	}
}

// flush delivers the bytes written during a cut.
func (c *conn) flush() {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.mu.Lock()
	data := c.writeBuffer
	c.writeBuffer = nil
	if c.cutAt.IsZero() && !c.broken {
		c.cut.Store(false)
	}
	c.mu.Unlock()
	// The error is ignored, because the next read or write returns it as well.
	_, _ = c.Conn.Write(data)
}

// Read reads from the connection. Bytes that arrive during a cut are returned only
// after the cut has ended.
func (c *conn) Read(p []byte) (int, error) {
	if c.hasBufferedRead.Load() {
		return c.readBuffered(p)
	}
	n, err := c.Conn.Read(p)
	if !c.cut.Load() {
		return n, err
	}
	if waitErr := c.awaitRestored(); waitErr != nil {
		c.bufferRead(p[:n])
		return 0, waitErr
	}
	return n, err
}

// awaitRestored blocks until the cut has ended or a read has to fail.
func (c *conn) awaitRestored() error {
	return c.await("read", func() time.Time { return c.readDeadline }, func() bool { return c.cutAt.IsZero() })
}

// bufferRead stores bytes that arrived for a read that has failed during the cut.
func (c *conn) bufferRead(p []byte) {
	if len(p) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBuffer = append(c.readBuffer, p...)
	c.hasBufferedRead.Store(true)
}

// readBuffered reads from readBuffer once the cut has ended.
func (c *conn) readBuffered(p []byte) (int, error) {
	if waitErr := c.awaitRestored(); waitErr != nil {
		return 0, waitErr
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.readBuffer)
	c.readBuffer = c.readBuffer[n:]
	c.hasBufferedRead.Store(len(c.readBuffer) > 0)
	return n, nil
}

// Write writes to the connection. During a cut it buffers at most maxWriteBuffer
// bytes and then blocks.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	written := 0
	for c.cut.Load() {
		hasRoom := func() bool { return c.cutAt.IsZero() || len(c.writeBuffer) < maxWriteBuffer }
		if waitErr := c.await("write", func() time.Time { return c.writeDeadline }, hasRoom); waitErr != nil {
			return written, waitErr
		}
		c.mu.Lock()
		if c.cutAt.IsZero() {
			data := c.writeBuffer
			c.writeBuffer = nil
			c.cut.Store(false)
			c.mu.Unlock()
			if _, err := c.Conn.Write(data); err != nil {
				return written, err
			}
			break
		}
		accepted := min(len(p)-written, maxWriteBuffer-len(c.writeBuffer))
		c.writeBuffer = append(c.writeBuffer, p[written:written+accepted]...)
		written += accepted
		c.mu.Unlock()
		if written == len(p) {
			return written, nil
		}
	}
	n, err := c.Conn.Write(p[written:])
	return written + n, err
}

// await blocks until the condition holds. It returns an error if the connection
// breaks, is closed, or reaches its deadline first. The functions condition and
// deadline are called with mu held.
func (c *conn) await(op string, deadline func() time.Time, condition func() bool) error {
	for {
		c.mu.Lock()
		changed, at := c.changed, deadline()
		var connErr error
		switch {
		case c.closed:
			connErr = net.ErrClosed
		case c.broken:
			connErr = os.NewSyscallError(op, syscall.ETIMEDOUT)
		case !at.IsZero() && !time.Now().Before(at):
			connErr = os.ErrDeadlineExceeded
		}
		met := condition()
		c.mu.Unlock()
		if connErr != nil {
			return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: connErr}
		}
		if met {
			return nil
		}
		waitForChange(changed, at)
	}
}

func waitForChange(changed <-chan struct{}, deadline time.Time) {
	if deadline.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// SetDeadline sets the read and write deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	return c.setDeadlines(t, true, true, c.Conn.SetDeadline)
}

// SetReadDeadline sets the read deadline.
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.setDeadlines(t, true, false, c.Conn.SetReadDeadline)
}

// SetWriteDeadline sets the write deadline.
func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.setDeadlines(t, false, true, c.Conn.SetWriteDeadline)
}

func (c *conn) setDeadlines(t time.Time, reads, writes bool, apply func(time.Time) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reads {
		c.readDeadline = t
	}
	if writes {
		c.writeDeadline = t
	}
	c.notifyWaiters()
	if c.broken {
		return nil // the deadline of the wrapped connection stays in the past
	}
	return apply(t)
}

// Close closes the connection. If it is cut, the socket stays open until the cut
// ends.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return &net.OpError{Op: "close", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
	c.closed = true
	cut := c.cut.Load()
	c.notifyWaiters()
	if cut {
		// A deadline in the past ends a read that is blocked in the wrapped
		// connection, although the socket stays open.
		_ = c.Conn.SetDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	return c.network.closeConn(c, cut)
}
