package disruption

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mode is what a proxy does with the bytes of its connections.
type Mode int

// The modes of a proxy.
const (
	// ModePass passes everything on.
	ModePass Mode = iota
	// ModeDelay passes everything on after Delay.
	ModeDelay
	// ModeSilent keeps connections open and passes nothing on.
	ModeSilent
	// ModeOneWay passes on what callers send and nothing of the answers.
	ModeOneWay
	// ModeRefuse closes connections as soon as they come.
	ModeRefuse
)

// Delay is how long ModeDelay holds back each part.
const Delay = 60 * time.Millisecond

// partBytes is the size of the buffer of each direction.
const partBytes = 16 << 10

// holdPoll is the time between two looks at whether bytes may go on.
const holdPoll = 10 * time.Millisecond

// Proxy passes connections on to a target, as its mode says.
type Proxy struct {
	Address  netip.AddrPort
	listener net.Listener
	working  sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	target netip.AddrPort
	mode   Mode
	conns  map[net.Conn]bool
	closed bool
}

// NewProxy returns a proxy on a free port of 127.0.0.1.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("open a proxy to %s: %w", target, err)
	}
	p := &Proxy{Address: netip.MustParseAddrPort(l.Addr().String()), listener: l, target: target, conns: map[net.Conn]bool{}}
	p.working.Go(p.accept)
	return p, nil
}

// Set changes the mode; what is held back by the old one goes on under the
// new one.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Retarget sends new connections elsewhere.
func (p *Proxy) Retarget(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

// Close ends all connections and waits.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		abort(c)
	}
	p.mu.Unlock()
	err := p.listener.Close()
	p.working.Wait()
	return err
}

// abort closes a connection with a reset where it can.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// Without it the connection is closed all the same.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		mode, target := p.state()
		if mode == ModeRefuse || !p.keep(c) {
			abort(c)
			continue
		}
		p.working.Go(func() { p.serve(c, target) })
	}
}

func (p *Proxy) state() (Mode, netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.target
}

func (p *Proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *Proxy) serve(c net.Conn, target netip.AddrPort) {
	defer p.drop(c)
	var dialer net.Dialer
	out, err := dialer.DialContext(context.Background(), "tcp", target.String())
	if err != nil || !p.keep(out) {
		abort(c)
		return
	}
	defer p.drop(out)
	var answers sync.WaitGroup
	answers.Go(func() { p.copy(c, out, false) })
	p.copy(out, c, true)
	answers.Wait()
}

// copy passes bytes on from one connection to the other until either ends.
func (p *Proxy) copy(to, from net.Conn, asking bool) {
	buffer := make([]byte, partBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.hold(asking) {
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
			// The other end may have gone first.
			_ = t.CloseWrite()
			return
		}
		abort(to)
		return
	}
}

// hold waits as the mode says; it returns false if the proxy is closed.
func (p *Proxy) hold(asking bool) bool {
	for {
		p.mu.Lock()
		mode, closed := p.mode, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case mode == ModeSilent, mode == ModeOneWay && !asking:
			time.Sleep(holdPoll)
		case mode == ModeDelay:
			time.Sleep(Delay)
			return true
		default:
			return true
		}
	}
}
