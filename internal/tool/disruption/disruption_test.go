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

func TestPlanIsTheSeeds(t *testing.T) {
	is := is.New(t)
	kinds := []Kind{{Name: "a", Targets: 3, Least: time.Second, Most: 2 * time.Second}, {Name: "b", Targets: 1}}
	one, again := Plan(7, time.Minute, time.Second, kinds), Plan(7, time.Minute, time.Second, kinds)
	is.Equal(one, again)
	is.True(len(one) > 30)
	for i, f := range one {
		is.True(f.At < time.Minute && f.Target < 3 && (i == 0 || one[i-1].At <= f.At))
		is.True(f.Kind == "b" || f.For >= time.Second && f.For <= 2*time.Second)
	}
}

// echo answers each line with itself.
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

func TestProxyModes(t *testing.T) {
	is := is.New(t)
	p, err := NewProxy(echo(t))
	is.NoErr(err)
	defer func() { is.NoErr(p.Close()) }()
	c, err := net.Dial("tcp", p.Address.String())
	is.NoErr(err)
	defer c.Close()
	answers := bufio.NewReader(c)
	ask := func(within time.Duration) error {
		_, err := fmt.Fprintln(c, "x")
		is.NoErr(err)
		is.NoErr(c.SetReadDeadline(time.Now().Add(within)))
		_, err = answers.ReadString('\n')
		return err
	}
	is.NoErr(ask(5 * time.Second))
	for _, m := range []Mode{ModeSilent, ModeOneWay} {
		p.Set(m)
		is.True(errors.Is(ask(100*time.Millisecond), os.ErrDeadlineExceeded))
		p.Set(ModePass)
		is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
		_, err = answers.ReadString('\n') // what was held back comes
		is.NoErr(err)
	}
	p.Set(ModeDelay)
	begun := time.Now()
	is.NoErr(ask(5 * time.Second))
	is.True(time.Since(begun) >= 2*Delay)
	p.Reset()
	_, err = answers.ReadString('\n')
	is.True(err != nil)
	p.Set(ModeRefuse)
	refused, err := net.Dial("tcp", p.Address.String())
	if err == nil {
		_, err = refused.Read(make([]byte, 1))
		_ = refused.Close()
	}
	is.True(err != nil)
}

func TestProcessEndsBySignals(t *testing.T) {
	is := is.New(t)
	p := NewProcess("/bin/sleep", []string{"60"}, nil, filepath.Join(t.TempDir(), "log"))
	is.NoErr(p.Start())
	is.True(p.Running())
	is.NoErr(p.Signal(syscall.SIGTERM))
	ended, err := p.Await(10 * time.Second)
	is.True(ended && err != nil)
	is.NoErr(p.Start()) // again
	is.NoErr(p.Kill())
	is.True(!p.Running())
	is.NoErr(p.Signal(syscall.SIGTERM)) // nothing to do
}
