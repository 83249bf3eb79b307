package rehearsal_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/rehearsal"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type hostNetwork struct{ net.Dialer }

func (*hostNetwork) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address.String())
}

const (
	dialTimeout    = 100 * time.Millisecond
	silenceTimeout = 300 * time.Millisecond
)

func newNetwork(t *testing.T) *rehearsal.FaultNetwork {
	t.Helper()
	g := rehearsal.New(&hostNetwork{net.Dialer{Timeout: dialTimeout}},
		rehearsal.Location{FailureDomain: "Kolkata", Router: "router-1"},
		rehearsal.Timeouts{DialTimeout: dialTimeout, SilenceTimeout: silenceTimeout})
	t.Cleanup(g.Close)
	return g
}

// startEchoServer starts a server that echoes what it receives.
func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// textWithRehearsals returns a text whose rehearsals begin now.
func textWithRehearsals(address netip.AddrPort, until time.Time, rehearsals ...text.Rehearsal) *text.Document {
	for i := range rehearsals {
		rehearsals[i].From, rehearsals[i].Until = time.Now(), until
	}
	return &text.Document{
		Pools:      []text.Pool{{Endpoints: []text.Endpoint{{Name: "e", VM: "vm", FailureDomain: "Durgapur", Address: address}}}},
		Rehearsals: rehearsals,
	}
}

func dial(t *testing.T, g *rehearsal.FaultNetwork, address netip.AddrPort) net.Conn {
	t.Helper()
	c, err := g.DialContext(context.Background(), "tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func exchange(is *is.I, c net.Conn) {
	is.Helper()
	_, err := c.Write([]byte("ping"))
	is.NoErr(err)
	answer := make([]byte, 4)
	_, err = io.ReadFull(c, answer)
	is.NoErr(err)
	is.Equal(string(answer), "ping")
}

// TestRehearsalCutsOnlyItsScope checks which rehearsals make a dial from this
// router to the endpoint time out.
func TestRehearsalCutsOnlyItsScope(t *testing.T) {
	address := startEchoServer(t)
	tests := []struct {
		name      string
		rehearsal text.Rehearsal
		cut       bool
	}{
		{"the endpoint", text.Rehearsal{Endpoint: "vm/e"}, true},
		{"its failure domain", text.Rehearsal{FailureDomain: "Durgapur"}, true},
		{"this router", text.Rehearsal{Router: "router-1"}, true},
		{"this router's failure domain", text.Rehearsal{FailureDomain: "Kolkata"}, true},
		{"another failure domain", text.Rehearsal{FailureDomain: "Kharagpur"}, false},
		{"another endpoint", text.Rehearsal{Endpoint: "vm/f"}, false},
		{"another router", text.Rehearsal{Router: "router-2"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newNetwork(t)
			g.SetText(textWithRehearsals(address, time.Now().Add(time.Hour), test.rehearsal))
			c, err := g.DialContext(context.Background(), "tcp", address.String())
			is.Equal(err != nil, test.cut)
			if err == nil {
				is.NoErr(c.Close())
				return
			}
			var timeout net.Error
			is.True(errors.As(err, &timeout) && timeout.Timeout()) // like a dial without an answer
		})
	}
}

// TestRoutersInSameFailureDomainStayConnected checks that a rehearsal of a failure
// domain does not cut the connections inside it.
func TestRoutersInSameFailureDomainStayConnected(t *testing.T) {
	is := is.New(t)
	address := startEchoServer(t)
	g := newNetwork(t)
	g.SetRouters([]view.Router{{ID: "router-2", FailureDomain: "Kolkata", PeerAddress: address}})
	g.SetText(textWithRehearsals(netip.AddrPort{}, time.Now().Add(time.Hour), text.Rehearsal{FailureDomain: "Kolkata"}))
	exchange(is, dial(t, g, address))
}

// TestShortCutDelaysTraffic checks that a connection survives a cut shorter than
// SilenceTimeout without losing the bytes written during the cut.
func TestShortCutDelaysTraffic(t *testing.T) {
	is := is.New(t)
	address := startEchoServer(t)
	g := newNetwork(t)
	c := dial(t, g, address)
	exchange(is, c)
	g.SetText(textWithRehearsals(address, time.Now().Add(time.Hour), text.Rehearsal{Endpoint: "vm/e"}))
	awaitCut(is, c)
	g.SetText(textWithRehearsals(address, time.Now()))
	answer := make([]byte, 4)
	is.NoErr(c.SetReadDeadline(time.Time{}))
	_, err := io.ReadFull(c, answer)
	is.NoErr(err)
	is.Equal(string(answer), "ping") // written during the cut, delivered after it
}

// awaitCut writes until a write is not echoed before the read deadline, which
// shows that the connection is cut.
func awaitCut(is *is.I, c net.Conn) {
	is.Helper()
	for {
		_, err := c.Write([]byte("ping"))
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
		answer := make([]byte, 4)
		if _, err := io.ReadFull(c, answer); err != nil {
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
			return
		}
	}
}

// TestLongCutBreaksConnections checks that a blocked read fails with the same
// error as on a real connection that has been cut for SilenceTimeout.
func TestLongCutBreaksConnections(t *testing.T) {
	is := is.New(t)
	address := startEchoServer(t)
	g := newNetwork(t)
	c := dial(t, g, address)
	g.SetText(textWithRehearsals(address, time.Now().Add(time.Hour), text.Rehearsal{Endpoint: "vm/e"}))
	_, err := c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ETIMEDOUT))
}

// TestCutEndsAtUntil guards against a cut that lasts until a later text is read,
// which the cut itself may prevent.
func TestCutEndsAtUntil(t *testing.T) {
	is := is.New(t)
	address := startEchoServer(t)
	g := newNetwork(t)
	g.SetText(textWithRehearsals(address, time.Now().Add(200*time.Millisecond), text.Rehearsal{Router: "router-1"}))
	for {
		if c, err := g.DialContext(context.Background(), "tcp", address.String()); err == nil {
			exchange(is, c)
			is.NoErr(c.Close())
			return
		}
	}
}

// TestConnectionFromCutOffPeerIsHeldThenReset checks that a connection opened
// during a cut is not accepted, and that its other end notices nothing before the
// cut ends.
func TestConnectionFromCutOffPeerIsHeldThenReset(t *testing.T) {
	is := is.New(t)
	g := newNetwork(t)
	l, err := g.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
		close(accepted)
	}()
	g.SetText(textWithRehearsals(netip.AddrPort{}, time.Now().Add(time.Second), text.Rehearsal{Router: "router-1"}))
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	_, err = caller.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET)) // only after the cut has ended
	is.NoErr(caller.Close())
	is.Equal(len(accepted), 0)
	is.NoErr(l.Close())
	<-accepted
}
