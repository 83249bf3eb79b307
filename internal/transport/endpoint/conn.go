package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// errWriteRefused is returned to net/http when it tries to write an attempt
// that must not be written.
var errWriteRefused = errors.New("the attempt may not be written on this connection")

// trackedConn is a connection that knows for which attempt it writes.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// owner is guarded by mu; nil while no attempt may write.
	owner *delivery
}

// delivery follows the bytes of one attempt.
type delivery struct {
	// once is set for an attempt that may be written on one connection only.
	once bool
	// sent is set before the first byte is handed to the operating system.
	sent atomic.Bool

	mu sync.Mutex
	// The fields below are guarded by mu.
	conns  []*trackedConn
	sealed bool
}

// Write writes on behalf of the owner.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	owner := c.owner
	if owner != nil {
		owner.sent.Store(true)
	}
	c.mu.Unlock()
	if owner == nil {
		return 0, errWriteRefused
	}
	return c.Conn.Write(data)
}

func (c *trackedConn) setOwner(d *delivery) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = d
}

// disown takes the connection away from the attempt and closes it, unless
// another attempt uses it by now.
func (c *trackedConn) disown(d *delivery) {
	c.mu.Lock()
	owned := c.owner == d
	if owned {
		c.owner = nil
	}
	c.mu.Unlock()
	if owned {
		_ = c.Close()
	}
}

// withTrace returns a context through which net/http tells which connections
// it uses for the attempt.
func (d *delivery) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*trackedConn); ok {
			d.take(c)
		}
	}})
}

// take gives the connection to the attempt, unless the attempt may not be
// written any more.
func (d *delivery) take(c *trackedConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sealed || (d.once && d.sent.Load()) {
		c.setOwner(nil)
		return
	}
	d.conns = append(d.conns, c)
	c.setOwner(d)
}

// seal ends the attempt after an error: from now on nothing of it can be
// written. It reports whether anything may have been written before.
func (d *delivery) seal() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sealed = true
	for _, c := range d.conns {
		c.disown(d)
	}
	return d.sent.Load()
}
