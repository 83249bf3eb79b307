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

func newGuard(t *testing.T) *rehearsal.Guard {
	t.Helper()
	g := rehearsal.New(&hostNetwork{net.Dialer{Timeout: dialTimeout}},
		rehearsal.Place{FailureDomain: "Kolkata", Router: "router-1"},
		rehearsal.Limits{DialTimeout: dialTimeout, SilenceTimeout: silenceTimeout})
	t.Cleanup(g.Close)
	return g
}

// echo listens and sends back what it gets.
func echo(t *testing.T) netip.AddrPort {
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

// cut returns a text whose rehearsals begin now.
func cut(address netip.AddrPort, until time.Time, rehearsals ...text.Rehearsal) *text.Document {
	for i := range rehearsals {
		rehearsals[i].From, rehearsals[i].Until = time.Now(), until
	}
	return &text.Document{
		Pools:      []text.Pool{{Endpoints: []text.Endpoint{{Name: "e", VM: "vm", FailureDomain: "Durgapur", Address: address}}}},
		Rehearsals: rehearsals,
	}
}

func dial(t *testing.T, g *rehearsal.Guard, address netip.AddrPort) net.Conn {
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

func TestWhoIsCutOff(t *testing.T) {
	address := echo(t)
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
			g := newGuard(t)
			g.SetText(cut(address, time.Now().Add(time.Hour), test.rehearsal))
			c, err := g.DialContext(context.Background(), "tcp", address.String())
			is.Equal(err != nil, test.cut)
			if err == nil {
				is.NoErr(c.Close())
				return
			}
			var timeout net.Error
			is.True(errors.As(err, &timeout) && timeout.Timeout()) // a dial that nobody answered
		})
	}
}

func TestRoutersOfOneDomainStillReachEachOther(t *testing.T) {
	is := is.New(t)
	address := echo(t)
	g := newGuard(t)
	g.SetRouters([]view.Router{{ID: "router-2", FailureDomain: "Kolkata", PeerAddress: address}})
	g.SetText(cut(netip.AddrPort{}, time.Now().Add(time.Hour), text.Rehearsal{FailureDomain: "Kolkata"}))
	exchange(is, dial(t, g, address))
}

func TestShortCutIsSurvived(t *testing.T) {
	is := is.New(t)
	address := echo(t)
	g := newGuard(t)
	c := dial(t, g, address)
	exchange(is, c)
	g.SetText(cut(address, time.Now().Add(time.Hour), text.Rehearsal{Endpoint: "vm/e"}))
	silent(is, c)
	g.SetText(cut(address, time.Now()))
	answer := make([]byte, 4)
	is.NoErr(c.SetReadDeadline(time.Time{}))
	_, err := io.ReadFull(c, answer)
	is.NoErr(err)
	is.Equal(string(answer), "ping") // written while cut, delivered after
}

// silent writes and waits until the connection is cut, so that the write gets
// no answer.
func silent(is *is.I, c net.Conn) {
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

func TestLongCutBreaksConnections(t *testing.T) {
	is := is.New(t)
	address := echo(t)
	g := newGuard(t)
	c := dial(t, g, address)
	g.SetText(cut(address, time.Now().Add(time.Hour), text.Rehearsal{Endpoint: "vm/e"}))
	_, err := c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ETIMEDOUT))
}

func TestCutEndsByItself(t *testing.T) {
	is := is.New(t)
	address := echo(t)
	g := newGuard(t)
	g.SetText(cut(address, time.Now().Add(200*time.Millisecond), text.Rehearsal{Router: "router-1"}))
	for {
		if c, err := g.DialContext(context.Background(), "tcp", address.String()); err == nil {
			exchange(is, c)
			is.NoErr(c.Close())
			return
		}
	}
}

func TestAcceptedWhileCutStaysSilent(t *testing.T) {
	is := is.New(t)
	g := newGuard(t)
	l, err := g.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	is.NoErr(err)
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c
		}
		close(accepted)
	}()
	g.SetText(cut(netip.AddrPort{}, time.Now().Add(time.Second), text.Rehearsal{Router: "router-1"}))
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	_, err = caller.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET)) // only once the cut has ended
	is.NoErr(caller.Close())
	is.Equal(len(accepted), 0)
	is.NoErr(l.Close())
	<-accepted
}
