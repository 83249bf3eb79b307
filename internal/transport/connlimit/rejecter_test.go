package connlimit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnusedConnectionGetsNoAnswer guards against an answer on a connection on which no
// request has been sent, which callers take for the failure of their next request there;
// also against unused connections that stay open.
func TestUnusedConnectionGetsNoAnswer(t *testing.T) {
	for _, queued := range []bool{false, true} {
		is := is.New(t)
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		l := New(inner, 100, &rejectAll{left: 1000})
		serve := func() { go func() { _, _ = l.Accept() }() }
		if !queued {
			serve()
		}
		var callers []net.Conn
		for range 6 {
			c, err := net.Dial("tcp", inner.Addr().String())
			is.NoErr(err)
			defer c.Close()
			callers = append(callers, c)
			if !queued {
				time.Sleep(2 * peekTimeout) // the next one finds the queue empty
			}
		}
		if queued {
			serve()
		}
		begun := time.Now()
		for i, c := range callers {
			is.NoErr(c.SetReadDeadline(begun.Add(requestWait / 2)))
			n, err := c.Read(make([]byte, 1))
			if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("connection %d: %d bytes, %v, before a request", i, n, err)
			}
		}
		for i, c := range callers {
			is.NoErr(c.SetReadDeadline(begun.Add(10 * time.Second)))
			if i%2 == 0 {
				_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				is.NoErr(err)
				is.NoErr(readAnswer(bufio.NewReader(c)))
			}
		}
		for i, c := range callers {
			if i%2 == 1 {
				_, err := c.Read(make([]byte, 1))
				is.Equal(err, io.EOF) // closed without an answer
			}
		}
		is.NoErr(l.Close())
	}
}

// TestUnusedConnectionsAreBounded guards against rejected connections without a request
// that take descriptors without a limit, or remain open when the listener is closed.
func TestUnusedConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := New(inner, 40, &rejectAll{left: 60})
	const mostOpen = 40 / lingerDivisor
	var callers []net.Conn
	for i := range 61 {
		c, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		defer c.Close()
		if i%3 == 0 {
			_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
		}
		callers = append(callers, c)
	}
	accepted, err := l.Accept()
	is.NoErr(err)
	l.rejecter.mu.Lock()
	open := len(l.rejecter.waiting) + len(l.rejecter.lingering)
	l.rejecter.mu.Unlock()
	is.True(open > 0 && open <= mostOpen)
	is.NoErr(l.Close())
	is.NoErr(accepted.Close())
	for _, c := range callers {
		is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
		_, err := io.Copy(io.Discard, c)
		is.True(!errors.Is(err, os.ErrDeadlineExceeded)) // closed, or reset
	}
}
