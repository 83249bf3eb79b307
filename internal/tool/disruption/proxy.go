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

	"hyssopreach/internal/standin/loopback"
)

// Mode determines what a proxy does with the bytes of its connections.
type Mode int

// The modes of a proxy.
const (
	// ModePass forwards all bytes.
	ModePass Mode = iota
	// ModeDelay forwards all bytes after Delay.
	ModeDelay
	// ModeSilent keeps connections open and forwards nothing.
	ModeSilent
	// ModeOneWay forwards the bytes from callers and none of the answers.
	ModeOneWay
	// ModeRefuse resets new connections as soon as they are accepted.
	ModeRefuse
)

// Delay is how long ModeDelay holds back the bytes of each read.
const Delay = 60 * time.Millisecond

// bufferBytes is the size of the buffer of each direction.
const bufferBytes = 16 << 10

// holdPollInterval is the interval at which a blocked direction rereads the mode.
const holdPollInterval = 10 * time.Millisecond

// Proxy forwards connections to a target according to its mode.
type Proxy struct {
	Address netip.AddrPort
	working sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	listener net.Listener // nil while the proxy is suspended
	target   netip.AddrPort
	mode     Mode
	conns    map[net.Conn]bool
	closed   bool
}

// NewProxy returns a proxy on a free loopback address. The system does not take the
// port for a connection while the proxy is suspended; see loopback.FreeAddress.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	address, err := loopback.FreeAddress()
	if err != nil {
		return nil, fmt.Errorf("open a proxy to %s: %w", target, err)
	}
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("open a proxy to %s: %w", target, err)
	}
	p := &Proxy{Address: address, listener: l, target: target, conns: map[net.Conn]bool{}}
	p.working.Go(func() { p.accept(l) })
	return p, nil
}

// Suspend makes the proxy refuse connections, as the host of a process that has
// ended does. It leaves open connections alone.
func (p *Proxy) Suspend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// Resume makes a suspended proxy accept connections again at its address.
func (p *Proxy) Resume() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", p.Address.String())
	if err != nil {
		return fmt.Errorf("resume the proxy at %s: %w", p.Address, err)
	}
	p.listener = l
	p.working.Go(func() { p.accept(l) })
	return nil
}

// SetMode changes the mode. Bytes that the old mode holds back are handled by
// the new one.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Retarget changes the target of new connections.
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

// Close resets all connections, stops listening and waits until all connections
// have ended.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		abort(c)
	}
	l := p.listener
	p.listener = nil
	p.mu.Unlock()
	var err error
	if l != nil {
		err = l.Close()
	}
	p.working.Wait()
	return err
}

// abort closes a connection, with a reset if it is a TCP connection.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// On an error the connection is closed without a reset.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		mode, target := p.state()
		if mode == ModeRefuse || !p.track(c) {
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

func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) closeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

func (p *Proxy) serve(c net.Conn, target netip.AddrPort) {
	defer p.closeConn(c)
	var dialer net.Dialer
	out, err := dialer.DialContext(context.Background(), "tcp", target.String())
	if err != nil || !p.track(out) {
		abort(c)
		return
	}
	defer p.closeConn(out)
	var answers sync.WaitGroup
	answers.Go(func() { p.forward(c, out, false) })
	p.forward(out, c, true)
	answers.Wait()
}

// forward copies bytes from one connection to the other until either ends.
func (p *Proxy) forward(to, from net.Conn, fromCaller bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.waitToForward(fromCaller) {
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if t, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
			// The other end may have closed the connection already.
			_ = t.CloseWrite()
			return
		}
		abort(to)
		return
	}
}

// waitToForward waits until the mode allows bytes of the given direction to be
// forwarded. It returns false if the proxy is closed.
func (p *Proxy) waitToForward(fromCaller bool) bool {
	for {
		p.mu.Lock()
		mode, closed := p.mode, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case mode == ModeSilent, mode == ModeOneWay && !fromCaller:
			time.Sleep(holdPollInterval)
		case mode == ModeDelay:
			time.Sleep(Delay)
			return true
		default:
			return true
		}
	}
}
