package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// errWriteRefused is returned to net/http when it tries to write an attempt on a
// connection that must not be used for the attempt.
var errWriteRefused = errors.New("the attempt may not be written on this connection")

// trackedConn is a connection that allows writes only on behalf of an attempt,
// and records them.
type trackedConn struct {
	net.Conn

	mu sync.Mutex
	// owner is the tracker of the attempt that may write; nil while no attempt
	// may write. Guarded by mu.
	owner *writeTracker
	// checked is set once the owner's check of its attempt has passed on this
	// connection. Guarded by mu.
	checked bool
}

// writeTracker records whether an attempt has been written, and controls on
// which connections it may be written.
type writeTracker struct {
	// singleConn is set for an attempt that may be written on one connection
	// only.
	singleConn bool
	// mayWrite is Attempt.MayWrite.
	mayWrite func() error
	// sent is set before the first byte is handed to the operating system.
	sent atomic.Bool

	mu sync.Mutex
	// The fields below are guarded by mu.
	conns  []*trackedConn
	sealed bool
}

// Write writes on behalf of the owner; it fails if there is none, or if the owner
// may not write any more.
func (c *trackedConn) Write(data []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

func (c *trackedConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owner == nil {
		return errWriteRefused
	}
	if !c.checked && c.owner.mayWrite != nil {
		if err := c.owner.mayWrite(); err != nil {
			return err
		}
	}
	c.checked = true
	c.owner.sent.Store(true)
	return nil
}

func (c *trackedConn) setOwner(d *writeTracker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner, c.checked = d, false
}

// release ends the attempt's ownership of the connection and closes the
// connection, unless another attempt owns it by now.
func (c *trackedConn) release(d *writeTracker) {
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

// withTrace returns a context with a trace by which net/http reports the
// connections that it uses for the attempt.
func (d *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*trackedConn); ok {
			d.assign(c)
		}
	}})
}

// assign makes the attempt the owner of the connection, unless the attempt may
// no longer be written.
func (d *writeTracker) assign(c *trackedConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sealed || (d.singleConn && d.sent.Load()) {
		c.setOwner(nil)
		return
	}
	d.conns = append(d.conns, c)
	c.setOwner(d)
}

// seal ends the attempt after an error: no part of the attempt can be written
// from now on. It reports whether any part may have been written before.
func (d *writeTracker) seal() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sealed = true
	for _, c := range d.conns {
		c.release(d)
	}
	return d.sent.Load()
}
