package intake

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve runs a server over a listener for at most the given number of
// connections.
func serve(t *testing.T, most int, patience time.Duration, handler http.HandlerFunc) (*Listener, string) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := New(inner, most)
	l.newFor = patience
	s := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	l.InstallHooks(s)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		is.Equal(<-ended, http.ErrServerClosed)
	})
	return l, inner.Addr().String()
}

// ask sends a request on a connection of its own, which it leaves open.
func ask(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	is := is.New(t)
	c, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	return c, bufio.NewReader(c)
}

func answered(r *bufio.Reader) error {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func TestFloodIsAcceptedAsFastAsItIsRead(t *testing.T) {
	is := is.New(t)
	inside, gate := make(chan struct{}, 100), make(chan struct{})
	l, address := serve(t, 100, time.Minute, func(_ http.ResponseWriter, r *http.Request) {
		inside <- struct{}{}
		<-gate
		MarkRequestRead(r.Context())
	})
	var readers []*bufio.Reader
	for range 2 * newAtOnce {
		_, r := ask(t, address)
		readers = append(readers, r)
	}
	for begun := time.Now(); len(inside) < newAtOnce && time.Since(begun) < 10*time.Second; {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
	is.Equal(len(inside), newAtOnce) // the others wait with the host
	is.Equal(len(l.open), newAtOnce)
	close(gate)
	for _, r := range readers {
		is.NoErr(answered(r))
	}
	for begun := time.Now(); len(l.fresh) != 1 && time.Since(begun) < 10*time.Second; {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(l.fresh), 1) // only the next Accept holds a place
}

func TestSlowCallersDoNotKeepOthersOut(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, 100, newFor, func(_ http.ResponseWriter, r *http.Request) { MarkRequestRead(r.Context()) })
	for range newAtOnce {
		c, err := net.Dial("tcp", address) // sends nothing
		is.NoErr(err)
		defer c.Close()
	}
	begun := time.Now()
	_, r := ask(t, address)
	is.NoErr(answered(r))
	is.True(time.Since(begun) < 5*time.Second)
}

func TestIdleConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	l, address := serve(t, 3, newFor, func(_ http.ResponseWriter, r *http.Request) { MarkRequestRead(r.Context()) })
	for range 3 {
		_, r := ask(t, address)
		is.NoErr(answered(r))
	}
	time.Sleep(idleFor + 100*time.Millisecond)
	_, r := ask(t, address)
	is.NoErr(answered(r))
	is.True(len(l.open) <= 3)
}

// TestRequestOfAConnectionGivenUpIsNotRead is a caller that sends just as its
// idle connection is given up: its request must not reach the handler, since
// the answer would be lost.
func TestRequestOfAConnectionGivenUpIsNotRead(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int64
	l, address := serve(t, 1, newFor, func(_ http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		MarkRequestRead(r.Context())
	})
	c, r := ask(t, address)
	is.NoErr(answered(r))
	var idle *conn
	for begun := time.Now(); idle == nil && time.Since(begun) < 10*time.Second; {
		l.mu.Lock()
		for one := range l.idle {
			idle = one
		}
		l.mu.Unlock()
	}
	l.mu.Lock()
	idle.given = true // closeIdle has chosen it and not closed it yet
	l.mu.Unlock()
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.True(answered(r) != nil)
	is.Equal(handled.Load(), int64(1))
}

func TestCloseEndsAccept(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := New(inner, 1)
	for range newAtOnce {
		l.fresh <- struct{}{} // nothing is read
	}
	ended := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	is.NoErr(l.Close())
	is.Equal(<-ended, net.ErrClosed)
}
