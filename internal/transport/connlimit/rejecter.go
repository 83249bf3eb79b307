package connlimit

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lingerTime is the time after which a rejected connection is closed. Until
	// then the caller can read the answer; a connection that is closed while it
	// holds unread data is reset.
	lingerTime = 500 * time.Millisecond
	// requestWait is the time for which a rejected connection is kept until its request
	// begins, and requestPoll the time between two looks at those that wait for that.
	requestWait, requestPoll = lingerTime, 5 * time.Millisecond
	// rejectWriteTimeout bounds the time that the answer takes to be written to
	// the empty send buffer.
	rejectWriteTimeout = 100 * time.Millisecond
	// maxHeadBytes is the number of bytes of a request that are looked at to decide
	// whether to reject its connection.
	maxHeadBytes = 2 << 10
	// peekTimeout is the time that a connection that was accepted as it arrived has
	// for the beginning of its request. No other connection waits meanwhile, or only
	// for so long.
	peekTimeout = 5 * time.Millisecond
	// lingerDivisor divides the number of open connections to give the number of
	// rejected connections that are still open. They count towards the open ones, but as many
	// as minLingerDivisor gives may be open beside them: a caller whose connection is closed
	// too early may miss its answer.
	lingerDivisor, minLingerDivisor = 4, 32
)

// rejecter rejects connections. It accepts those that wait in the accept queue as
// mere descriptors, since the preparation of a connection for use costs several
// times as much as the rejection, which must be cheap to be of use in a flood.
//
// An answer is written only once a request has begun to arrive. Callers also open
// connections that they do not use yet, and would take an earlier answer for a
// failure of the connection, and of a request that they are about to send on it.
type rejecter struct {
	listener     syscall.RawConn
	maxLingering func() int
	// head holds the beginning of a request. Only next uses it.
	head [maxHeadBytes]byte

	mu sync.Mutex
	// The fields below are guarded by mu.

	// lingering are the rejected connections that are still open, in the order
	// in which they are to be closed. timer is set while there are any.
	lingering []lingeringConn
	timer     *time.Timer
	// waiting are the rejected connections on which no request has begun, in the order
	// in which they are to be closed. waitTimer is set while there are any, and polled
	// is the buffer of pollWaiting.
	waiting   []waitingConn
	waitTimer *time.Timer
	polled    []unix.PollFd
	closed    bool
}

// lingeringConn is a rejected connection.
type lingeringConn struct {
	conn    io.Closer
	closeAt time.Time
}

// waitingConn is a rejected connection that gets its answer once its request begins.
type waitingConn struct {
	lingeringConn
	descriptor int
	answer     []byte
}

// descriptor is a connection that is used without package net.
type descriptor int

// Close closes the connection.
func (d descriptor) Close() error { return unix.Close(int(d)) }

// newRejecter returns nil if the listener gives no access to its descriptor.
func newRejecter(l net.Listener, maxLingering func() int) *rejecter {
	c, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	return &rejecter{listener: raw, maxLingering: maxLingering}
}

// next takes the next connection from the accept queue, and rejects it if the
// overload says so; the connection is then nil. It returns false if there is none,
// or if it can't be accepted.
func (r *rejecter) next(o Overload) (net.Conn, bool) {
	accepted, acceptErr := -1, error(nil)
	controlErr := r.listener.Control(func(listener uintptr) {
		accepted, _, acceptErr = unix.Accept4(int(listener), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if controlErr != nil || acceptErr != nil {
		return nil, false
	}
	// An error means that nothing has been received yet, or that the caller has
	// disconnected, which shows at the next use.
	n, _, peekErr := unix.Recvfrom(accepted, r.head[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case !o.Reject(r.head[:max(n, 0)]):
		return newConn(accepted), true
	case errors.Is(peekErr, unix.EAGAIN):
		r.await(descriptor(accepted), accepted, o.Answer())
		return nil, true
	}
	// The send buffer is empty, so the answer is sent whole or not at all. An
	// error means that the caller has disconnected.
	_, err := unix.Write(accepted, o.Answer())
	r.linger(descriptor(accepted), err)
	return nil, true
}

// peek returns the beginning of the request on an accepted connection, without
// taking it from the connection. It waits for at most peekTimeout and returns
// nothing if no request has arrived by then.
func (r *rejecter) peek(c net.Conn) []byte {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil
	}
	n := 0
	// An error of the deadline or of the read shows at the next use.
	_ = c.SetReadDeadline(time.Now().Add(peekTimeout))
	_ = raw.Read(func(descriptor uintptr) bool {
		var peekErr error
		n, _, peekErr = unix.Recvfrom(int(descriptor), r.head[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return !errors.Is(peekErr, unix.EAGAIN)
	})
	_ = c.SetReadDeadline(time.Time{})
	return r.head[:max(n, 0)]
}

// newConn prepares an accepted connection for use with package net. It closes the
// connection and returns nil if there are no descriptors left.
func newConn(accepted int) net.Conn {
	f := os.NewFile(uintptr(accepted), "caller")
	// The connection uses a duplicate of the descriptor.
	defer func() { _ = f.Close() }()
	c, err := net.FileConn(f)
	if err != nil {
		return nil
	}
	return c
}

// reject rejects an accepted connection with the answer. head is what peek returned.
func (r *rejecter) reject(c net.Conn, head, answer []byte) {
	if len(head) == 0 {
		if number, ok := descriptorOf(c); ok {
			r.await(c, number, answer)
			return
		}
	}
	_ = c.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
	_, err := c.Write(answer)
	r.linger(c, err)
}

// descriptorOf returns the descriptor of a connection of package net. It is valid until
// the connection is closed.
func descriptorOf(c net.Conn) (number int, ok bool) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0, false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(d uintptr) { number = int(d) })
	return number, err == nil
}

// await writes the answer once a request begins to arrive on the connection. If none
// does within requestWait, the connection is closed without an answer.
func (r *rejecter) await(c io.Closer, number int, answer []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.Close()
		return
	}
	r.makeRoom(r.maxLingering())
	r.waiting = append(r.waiting, waitingConn{lingeringConn{c, time.Now().Add(requestWait)}, number, answer})
	if r.waitTimer == nil {
		r.waitTimer = time.AfterFunc(requestPoll, r.pollWaiting)
	}
}

// pollWaiting answers the connections on which a request has begun, and closes those that
// are due.
func (r *rejecter) pollWaiting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	now := time.Now()
	r.polled = r.polled[:0]
	for i := range r.waiting {
		r.polled = append(r.polled, unix.PollFd{Fd: int32(r.waiting[i].descriptor), Events: unix.POLLIN})
	}
	// After an error, all are looked at again later.
	ready, err := unix.Poll(r.polled, 0)
	waiting := r.waiting[:0]
	for i, w := range r.waiting {
		switch {
		case err == nil && ready > 0 && r.polled[i].Revents != 0:
			if _, err := unix.Write(w.descriptor, w.answer); err != nil {
				_ = w.conn.Close()
				continue
			}
			r.startLinger(w.conn)
		case !now.Before(w.closeAt):
			_ = w.conn.Close() // it is closed even if Close returns an error
		default:
			waiting = append(waiting, w)
		}
	}
	clear(r.waiting[len(waiting):])
	r.waiting = waiting
	r.waitTimer = nil
	if len(r.waiting) > 0 {
		r.waitTimer = time.AfterFunc(requestPoll, r.pollWaiting)
	}
}

// makeRoom closes connections, those first that are to be closed first, until there are fewer
// than the given number. It requires that mu is held.
func (r *rejecter) makeRoom(fewerThan int) {
	for len(r.lingering)+len(r.waiting) >= max(fewerThan, 1) {
		if len(r.waiting) == 0 || len(r.lingering) > 0 && r.lingering[0].closeAt.Before(r.waiting[0].closeAt) {
			r.closeFirst()
			continue
		}
		_ = r.waiting[0].conn.Close()
		r.waiting = r.waiting[1:]
	}
}

// shrink closes connections for which there is no room beside the open ones any more.
func (r *rejecter) shrink() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.makeRoom(r.maxLingering() + 1)
}

// linger closes the connection after lingerTime, or earlier if too many linger or
// the answer could not be sent because of err.
func (r *rejecter) linger(c io.Closer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || err != nil {
		_ = c.Close()
		return
	}
	r.makeRoom(r.maxLingering())
	r.startLinger(c)
}

// startLinger requires that mu is held.
func (r *rejecter) startLinger(c io.Closer) {
	r.lingering = append(r.lingering, lingeringConn{c, time.Now().Add(lingerTime)})
	if r.timer == nil {
		r.timer = time.AfterFunc(lingerTime, r.closeDue)
	}
}

// closeDue closes the connections that are due.
func (r *rejecter) closeDue() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for len(r.lingering) > 0 && !now.Before(r.lingering[0].closeAt) {
		r.closeFirst()
	}
	r.timer = nil
	if len(r.lingering) > 0 {
		r.timer = time.AfterFunc(r.lingering[0].closeAt.Sub(now), r.closeDue)
	}
}

// closeFirst closes the connection that has lingered longest. It requires that mu
// is held.
func (r *rejecter) closeFirst() {
	_ = r.lingering[0].conn.Close() // it is closed even if Close returns an error
	r.lingering = r.lingering[1:]
}

// close closes all connections that are still open.
func (r *rejecter) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.timer != nil {
		r.timer.Stop()
	}
	for len(r.lingering) > 0 {
		r.closeFirst()
	}
	if r.waitTimer != nil {
		r.waitTimer.Stop()
	}
	for i := range r.waiting {
		_ = r.waiting[i].conn.Close()
	}
	r.waiting = nil
}
