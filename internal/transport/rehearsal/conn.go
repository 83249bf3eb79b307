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

// maxPending bounds the bytes that a cut connection takes before writes block,
// as the buffers of the host do.
const maxPending = 256 << 10

// conn is a connection that falls silent while it is cut.
type conn struct {
	net.Conn
	guard  *Guard
	remote netip.AddrPort
	// dialled connections break after SilenceTimeout, as the network sees to;
	// accepted ones wait for their readers' deadlines.
	dialled bool
	// cut spares connections that are not cut the lock.
	cut atomic.Bool
	// kept is set while arrived holds bytes.
	kept atomic.Bool

	// writing is held while bytes are written, so that their order is kept.
	writing sync.Mutex

	mu            sync.Mutex
	moved         chan struct{} // guarded by mu; closed when one of the following changes
	cutAt         time.Time     // guarded by mu
	dead          bool          // guarded by mu
	closed        bool          // guarded by mu
	readDeadline  time.Time     // guarded by mu
	writeDeadline time.Time     // guarded by mu
	pending       []byte        // guarded by mu; written while cut
	arrived       []byte        // guarded by mu; read while cut and not handed over
}

// setCut cuts or mends the connection and breaks one that has been silent for
// too long. It reports whether there are bytes to be delivered now.
func (c *conn) setCut(now time.Time, cut bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.dead:
		return false
	case cut && !c.cut.Load():
		c.cut.Store(true)
		c.cutAt = now
	case cut && c.dialled && now.Sub(c.cutAt) >= c.guard.limits.SilenceTimeout:
		c.dead = true
		// Whoever waits in the host for bytes is woken.
		_ = c.Conn.SetDeadline(time.Unix(1, 0))
	case !cut && c.cut.Load():
		c.cutAt = time.Time{}
		if len(c.pending) == 0 {
			c.cut.Store(false)
		}
		c.announce()
		return len(c.pending) > 0
	default:
		return false
	}
	c.announce()
	return false
}

// announce wakes whoever waits; it requires that mu is held.
func (c *conn) announce() {
	close(c.moved)
	c.moved = make(chan struct{})
}

// diesAt returns when the cut connection breaks; zero for one that is not cut.
func (c *conn) diesAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutAt.IsZero() || c.dead || !c.dialled {
		return time.Time{}
	}
	return c.cutAt.Add(c.guard.limits.SilenceTimeout)
}

// kill breaks the connection at once.
func (c *conn) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut.Load() {
		c.dead = true
		c.announce()
	}
}

// flush delivers what was written while the connection was cut.
func (c *conn) flush() {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	data := c.pending
	c.pending = nil
	if c.cutAt.IsZero() && !c.dead {
		c.cut.Store(false)
	}
	c.mu.Unlock()
	// A failure shows at the next read or write.
	_, _ = c.Conn.Write(data)
}

// Read reads; what arrives while the connection is cut is held back.
func (c *conn) Read(p []byte) (int, error) {
	if c.kept.Load() {
		return c.readKept(p)
	}
	n, err := c.Conn.Read(p)
	if !c.cut.Load() {
		return n, err
	}
	if broken := c.awaitMended(); broken != nil {
		c.keep(p[:n])
		return 0, broken
	}
	return n, err
}

func (c *conn) awaitMended() error {
	return c.await("read", func() time.Time { return c.readDeadline }, func() bool { return c.cutAt.IsZero() })
}

// keep stores bytes that arrived for a read whose deadline has passed.
func (c *conn) keep(p []byte) {
	if len(p) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = append(c.arrived, p...)
	c.kept.Store(true)
}

func (c *conn) readKept(p []byte) (int, error) {
	if broken := c.awaitMended(); broken != nil {
		return 0, broken
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.arrived)
	c.arrived = c.arrived[n:]
	c.kept.Store(len(c.arrived) > 0)
	return n, nil
}

// Write writes; while the connection is cut, a bounded number of bytes waits.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	written := 0
	for c.cut.Load() {
		room := func() bool { return c.cutAt.IsZero() || len(c.pending) < maxPending }
		if broken := c.await("write", func() time.Time { return c.writeDeadline }, room); broken != nil {
			return written, broken
		}
		c.mu.Lock()
		if c.cutAt.IsZero() {
			data := c.pending
			c.pending = nil
			c.cut.Store(false)
			c.mu.Unlock()
			if _, err := c.Conn.Write(data); err != nil {
				return written, err
			}
			break
		}
		taken := min(len(p)-written, maxPending-len(c.pending))
		c.pending = append(c.pending, p[written:written+taken]...)
		written += taken
		c.mu.Unlock()
		if written == len(p) {
			return written, nil
		}
	}
	n, err := c.Conn.Write(p[written:])
	return written + n, err
}

// await blocks until the condition holds, and returns an error when the
// connection breaks, is closed, or its deadline passes before. Condition and
// deadline are read with mu held.
func (c *conn) await(op string, deadline func() time.Time, condition func() bool) error {
	for {
		c.mu.Lock()
		moved, at := c.moved, deadline()
		var broken error
		switch {
		case c.closed:
			broken = net.ErrClosed
		case c.dead:
			broken = os.NewSyscallError(op, syscall.ETIMEDOUT)
		case !at.IsZero() && !time.Now().Before(at):
			broken = os.ErrDeadlineExceeded
		}
		held := condition()
		c.mu.Unlock()
		if broken != nil {
			return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: broken}
		}
		if held {
			return nil
		}
		waitFor(moved, at)
	}
}

func waitFor(moved <-chan struct{}, deadline time.Time) {
	if deadline.IsZero() {
		<-moved
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-moved:
	case <-timer.C:
	}
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	return c.set(t, true, true, c.Conn.SetDeadline)
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.set(t, true, false, c.Conn.SetReadDeadline)
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.set(t, false, true, c.Conn.SetWriteDeadline)
}

func (c *conn) set(t time.Time, reads, writes bool, apply func(time.Time) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reads {
		c.readDeadline = t
	}
	if writes {
		c.writeDeadline = t
	}
	c.announce()
	if c.dead {
		return nil // the host's deadline already lies in the past
	}
	return apply(t)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return &net.OpError{Op: "close", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: net.ErrClosed}
	}
	c.closed = true
	cut := c.cut.Load()
	c.announce()
	if cut {
		// A read that waits in the host ends, although the socket stays open
		// until the cut ends.
		_ = c.Conn.SetDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	return c.guard.forget(c, cut)
}
