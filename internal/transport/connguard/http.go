package connguard

import (
	"bytes"
	"io"
	"net"
	"sync"

	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/transport/memory"
)

// HTTPListener accepts connections of clients that send one request without a body at a time.
type HTTPListener struct {
	*Listener
	// heads limits the memory of the heads of requests.
	heads *memory.Limiter
}

// NewHTTP returns an HTTPListener that accepts connections from inner and keeps at most maxOpen
// of them open. The heads of their requests count towards the limiter; a connection for whose
// head there is no memory is closed.
func NewHTTP(inner net.Listener, maxOpen int, heads *memory.Limiter, registry metrics.Registry) *HTTPListener {
	return &HTTPListener{New(inner, maxOpen, registry), heads}
}

// Accept waits for a connection.
func (l *HTTPListener) Accept() (net.Conn, error) {
	inner, err := l.AcceptConn()
	if err != nil {
		return nil, err
	}
	c := &httpConn{Conn: inner}
	c.head.LimitRequest(l.heads)
	return c, nil
}

// httpConn is a connection of an HTTPListener.
type httpConn struct {
	*Conn
	// head accounts for the memory of the head of the current request.
	head memory.HeadMeter

	mu sync.Mutex
	// lineBytes is the length of the current line of the head, without carriage returns;
	// guarded by mu.
	lineBytes int
	// headEnded is set once the head of the current request has arrived, and answered once
	// its answer has begun. Guarded by mu.
	headEnded, answered bool
	// ended is set once nothing more is read; guarded by mu.
	ended bool
}

// Read reads up to the end of the head of a request. Whatever follows it before the answer
// has begun is not read: the connection looks ended, so that the server closes it after the
// answer.
func (c *httpConn) Read(p []byte) (int, error) {
	if c.hasEnded() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if n = c.take(p[:n]); n == 0 {
		return 0, io.EOF
	}
	if headErr := c.head.Add(p[:n]); headErr != nil {
		c.head.Release()
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: headErr}
	}
	return n, err
}

func (c *httpConn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// take returns how much of what has arrived belongs to the current request.
func (c *httpConn) take(data []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headEnded {
		if !c.answered {
			c.ended = true
			return 0
		}
		c.headEnded, c.answered, c.lineBytes = false, false, 0
		c.head.Restart()
	}
	for i := 0; i < len(data); {
		line, _, found := bytes.Cut(data[i:], lineEnd)
		c.lineBytes += len(line) - bytes.Count(line, carriageReturn)
		i += len(line)
		if !found {
			break
		}
		i++
		empty := c.lineBytes == 0
		c.lineBytes = 0
		if empty {
			c.headEnded = true
			c.ended = i < len(data)
			return i
		}
	}
	return len(data)
}

var lineEnd, carriageReturn = []byte("\n"), []byte("\r")

// Write writes a part of an answer.
func (c *httpConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err == nil {
		c.Progress()
	}
	return n, err
}

// Close closes the connection.
func (c *httpConn) Close() error {
	c.head.Release()
	return c.Conn.Close()
}
