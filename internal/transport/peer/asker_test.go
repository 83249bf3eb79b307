package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	apexdiscard "github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	wire "hyssopreach/internal/protocol/peer"
)

// hangingDialer opens connections that take nothing until they are released,
// whatever the caller's context says, as a host does whose buffers are full.
type hangingDialer struct{ released chan struct{} }

func (d *hangingDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	near, _ := net.Pipe()
	return &hangingConn{near, d.released}, nil
}

type hangingConn struct {
	net.Conn
	released chan struct{}
}

func (c *hangingConn) Write([]byte) (int, error) {
	<-c.released
	return 0, errors.New("released")
}

func TestConfirmEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	d := &hangingDialer{make(chan struct{})}
	links := NewLinks("r1", 1, d, metrics.NewRegistry(), &log.Logger{Handler: apexdiscard.Default})
	defer links.Close()
	a := links.NewAsker()
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := a.Confirm(ctx, netip.MustParseAddrPort("127.0.0.1:9"), &wire.ConfirmationQuery{})
		ended <- err
	}()
	select {
	case err := <-ended:
		is.True(errors.Is(err, context.DeadlineExceeded))
	case <-time.After(5 * time.Second):
		t.Error("the call hangs after its context has ended")
	}
	// Those that are given up do not pile up.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var err error
	for range maxCalls {
		_, err = a.Confirm(ctx, netip.MustParseAddrPort("127.0.0.1:9"), &wire.ConfirmationQuery{})
	}
	is.True(errors.Is(err, errTooManyCalls))
	close(d.released)
	a.Close()
}
