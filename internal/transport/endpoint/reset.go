package endpoint

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// uploadWait bounds the wait for the rest of an upload whose answer has ended. An
	// endpoint that has closed the connection resets it as soon as more of the upload
	// arrives: within a round trip, or after 200 ms to 1 s if a packet is lost.
	uploadWait = time.Second
	// tcpStateClosed is the state TCP_CLOSE of linux/tcp.h. A connection that its other end
	// has ended in order is in another state until this end closes it too.
	tcpStateClosed = 7
)

// errBrokenOff is returned in place of the end of a connection that was broken off. It counts
// as a reset where causes of failed attempts are distinguished.
var errBrokenOff = fmt.Errorf("the connection was broken off, not ended: %w", syscall.ECONNRESET)

// brokenOff reports whether a connection at whose end a read has arrived was reset, has
// timed out, or has been closed here. The host reports a reset to one system call only:
// if that is a write, reads find an end like that of a complete answer. Connections
// without a socket, such as those of a simulated network, do not count as broken off.
func brokenOff(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr == nil && info.State == tcpStateClosed
	})
	return err != nil || closed
}

// recordAnswer records that the head of an answer has arrived.
func (d *writeTracker) recordAnswer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered = true
}

// endWriting records that the attempt has been written on its last connection, or that
// writing it has failed.
func (d *writeTracker) endWriting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.written == nil {
		return
	}
	select {
	case <-d.written: // net/http reports some failures twice
	default:
		close(d.written)
	}
}

// awaitUpload waits until the attempt has been written, or writing it has failed, if its
// answer has begun: an endpoint that ends its answer and then resets the upload has broken
// off the answer. It waits for uploadWait at the most.
func (d *writeTracker) awaitUpload() {
	d.mu.Lock()
	written, answered := d.written, d.answered
	d.mu.Unlock()
	if !answered || written == nil {
		return
	}
	select {
	case <-written:
		return
	default:
	}
	timeout := time.NewTimer(uploadWait)
	defer timeout.Stop()
	select {
	case <-written:
	case <-timeout.C:
	}
}
