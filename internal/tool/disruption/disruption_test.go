package disruption

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlanDependsOnlyOnSeed guards against a plan that can't be repeated from
// its seed, and against faults outside the time, targets or durations allowed.
func TestPlanDependsOnlyOnSeed(t *testing.T) {
	is := is.New(t)
	kinds := []Kind{{Name: "a", Targets: 3, MinDuration: time.Second, MaxDuration: 2 * time.Second}, {Name: "b", Targets: 1}}
	one, again := Plan(7, time.Minute, time.Second, kinds), Plan(7, time.Minute, time.Second, kinds)
	is.Equal(one, again)
	is.True(len(one) > 30)
	for i, f := range one {
		is.True(f.At < time.Minute && f.Target < 3 && (i == 0 || one[i-1].At <= f.At))
		is.True(f.Kind == "b" || f.Duration >= time.Second && f.Duration <= 2*time.Second)
	}
}

// echo starts a server that answers each line with itself, and returns its
// address.
func echo(t *testing.T) netip.AddrPort {
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
				defer c.Close()
				for lines := bufio.NewScanner(c); lines.Scan(); {
					_, _ = fmt.Fprintln(c, lines.Text())
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestSystemDoesNotTakePortOfSuspendedProxy guards against a proxy that can't resume,
// since the system has taken its port for an outgoing connection meanwhile.
func TestSystemDoesNotTakePortOfSuspendedProxy(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	is.NoErr(err)
	var first int
	_, err = fmt.Sscan(string(data), &first)
	is.NoErr(err)
	p, err := NewProxy(echo(t))
	is.NoErr(err)
	defer p.Close()
	is.True(int(p.Address.Port()) < first)
	p.Suspend()
	is.NoErr(p.Resume())
}

// TestProxyModes sends a line through the proxy in each mode. It guards against
// bytes that pass a blocked direction or are lost when the mode changes back,
// and against delays and resets without an effect.
func TestProxyModes(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy(echo(t))
	is.NoErr(err)
	defer func() { is.NoErr(p.Close()) }()
	c, err := net.Dial("tcp", p.Address.String())
	is.NoErr(err)
	defer c.Close()
	answers := bufio.NewReader(c)
	roundTrip := func(timeout time.Duration) error {
		_, err := fmt.Fprintln(c, "x")
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(timeout)))
		_, err = answers.ReadString('\n')
		return err
	}
	is.NoErr(roundTrip(5 * time.Second))
	for _, m := range []Mode{ModeSilent, ModeOneWay} {
		p.SetMode(m)
		is.True(errors.Is(roundTrip(100*time.Millisecond), os.ErrDeadlineExceeded))
		p.SetMode(ModePass)
		is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
		_, err = answers.ReadString('\n') // the answer that was held back
		is.NoErr(err)
	}
	p.SetMode(ModeDelay)
	began := time.Now()
	is.NoErr(roundTrip(5 * time.Second))
	is.True(time.Since(began) >= 2*Delay)
	p.Reset()
	_, err = answers.ReadString('\n')
	is.True(err != nil)
	p.SetMode(ModeRefuse)
	refused, err := net.Dial("tcp", p.Address.String())
	if err == nil {
		_, err = refused.Read(make([]byte, 1))
		_ = refused.Close()
	}
	is.True(err != nil)
}

// TestProcessSignalsAndRestart guards against a process that doesn't end by a
// signal, can't be started again, or fails on a signal when it is not running.
func TestProcessSignalsAndRestart(t *testing.T) {
	is := is.New(t)
	p := NewProcess("/bin/sleep", []string{"60"}, nil, filepath.Join(t.TempDir(), "log"))
	is.NoErr(p.Start())
	is.True(p.Running())
	is.NoErr(p.Signal(syscall.SIGTERM))
	ended, err := p.WaitExit(10 * time.Second)
	is.True(ended && err != nil)
	is.NoErr(p.Start()) // restart
	is.NoErr(p.Kill())
	is.True(!p.Running())
	is.NoErr(p.Signal(syscall.SIGTERM)) // not running: no effect
}

// TestSuspendedProxyRefusesConnections guards against an endpoint that accepts
// connections while its process is down, and so looks alive.
func TestSuspendedProxyRefusesConnections(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy(echo(t))
	is.NoErr(err)
	defer func() { is.NoErr(p.Close()) }()
	p.Suspend()
	_, err = net.Dial("tcp", p.Address.String())
	is.True(errors.Is(err, syscall.ECONNREFUSED))
	is.NoErr(p.Resume())
	c, err := net.Dial("tcp", p.Address.String())
	is.NoErr(err)
	is.NoErr(c.Close())
}
