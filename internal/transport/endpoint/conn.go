package endpoint

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"

	"hyssopreach/internal/transport/memory"
)

// maxRefusals bounds the hashes that a connection retains.
const maxRefusals = 32

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
	// refusals are hashes of the IDs of the last attempts that the endpoint answered
	// with a failure on this connection, the oldest first. Guarded by mu.
	refusals []uint64
	// retired is set once no further attempt may use the connection. Guarded by mu.
	retired bool
}

// writeTracker records whether an attempt has been written, and controls on
// which connections it may be written.
type writeTracker struct {
	// id is a hash of the ID of the attempt.
	id uint64
	// singleConn is set for an attempt that may be written on one connection
	// only.
	singleConn bool
	// mayWrite is Attempt.MayWrite.
	mayWrite func() error
	// head accounts for the memory of the heads that arrive.
	head memory.HeadMeter
	// sent is set before the first byte is handed to the operating system.
	sent atomic.Bool

	mu sync.Mutex
	// The fields below are guarded by mu.
	conns  []*trackedConn
	sealed bool
	// avoided is set if the attempt got a connection that is about to close, or on
	// which its ID has been answered with a failure before.
	avoided bool
	// answered is set once the head of an answer has arrived.
	answered bool
	// written is closed once the attempt has been written on its last connection, or
	// writing it has failed; nil before the first.
	written chan struct{}
}

// Read reads, and fails if there is no memory for the head of the answer to the owner, or
// if the connection seems to have ended but was broken off.
func (c *trackedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	ended := errors.Is(err, io.EOF)
	if n == 0 && !ended {
		return n, err
	}
	// The owner may have changed while the read waited.
	c.mu.Lock()
	owner := c.owner
	c.mu.Unlock()
	if owner != nil && n > 0 {
		if headErr := owner.head.Add(data[:n]); headErr != nil {
			return 0, headErr
		}
	}
	if ended {
		if owner != nil {
			owner.awaitUpload()
		}
		if brokenOff(c.Conn) {
			return n, errBrokenOff
		}
	}
	return n, err
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
		c.owner, c.retired = nil, true
	}
	c.mu.Unlock()
	if owned {
		_ = c.Close()
	}
}

// withTrace returns a context with a trace by which net/http reports the
// connections that it uses for the attempt.
func (d *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*trackedConn); ok {
				d.assign(c)
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { d.endWriting() },
	})
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
	if !c.accepts(d.id) {
		d.avoided = true
		c.setOwner(nil)
		return
	}
	d.conns = append(d.conns, c)
	d.written = make(chan struct{})
	c.setOwner(d)
}

// recordRefusal records that the endpoint answered the attempt with a failure. If it
// repeats that answer, another attempt of the same ID could not distinguish it from its
// own.
func (d *writeTracker) recordRefusal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		c.addRefusal(d.id)
	}
}

func (c *trackedConn) addRefusal(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.refusals) == maxRefusals {
		c.refusals = slices.Delete(c.refusals, 0, 1)
	}
	c.refusals = append(c.refusals, id)
}

// accepts reports whether an attempt with the ID may use the connection.
func (c *trackedConn) accepts(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.retired && !slices.Contains(c.refusals, id)
}

// mustAvoidPool reports whether nothing was written because the attempt may not use a
// connection of the pool.
func (d *writeTracker) mustAvoidPool() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.avoided && !d.sent.Load()
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
