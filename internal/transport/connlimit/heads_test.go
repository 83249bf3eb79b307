package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/transport/memory"
)

// TestHeadsWithoutMemoryAreRejected guards against a caller that learns nothing, or not that
// its request has not run, when there is no memory for the head of its request.
func TestHeadsWithoutMemoryAreRejected(t *testing.T) {
	is := is.New(t)
	const total = 64 << 10
	heads := memory.NewLimiter(total)
	others := heads.NewHolding(0)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := New(inner, 10, nil)
	const rejection = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	l.LimitHeads(heads, func() []byte { return []byte(rejection) })
	s := &http.Server{MaxHeaderBytes: 32 << 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "served")
	})}
	l.InstallHooks(s)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	defer func() {
		is.NoErr(s.Close())
		<-served
	}()
	large := "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	lines := strings.Repeat("\n", 20<<10)

	conn, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	exchange := func(request string) string {
		_, err := io.WriteString(conn, request)
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.Status + " " + string(body)
	}
	for range 5 { // more than there is memory for together
		is.Equal(exchange(large), "200 OK served")
	}
	// The server reports that the connection is idle after it has sent the answer.
	for tries := 0; others.Resize(total) != nil; tries++ {
		is.True(tries < 5000)
		time.Sleep(time.Millisecond)
	}
	is.Equal(exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), "200 OK served")
	is.Equal(exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20480\r\n\r\n"+lines), "200 OK served")

	rejected, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer rejected.Close()
	_, err = io.WriteString(rejected, large)
	is.NoErr(err)
	answer, err := io.ReadAll(rejected)
	is.NoErr(err)
	is.Equal(string(answer), rejection)
	others.Release()
	is.Equal(exchange(large), "200 OK served")
}
