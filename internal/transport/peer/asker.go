package peer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"

	"storj.io/drpc/drpcconn"

	wire "hyssopreach/internal/protocol/peer"
)

// maxCalls bounds the calls under way, of which all but one have been given
// up. An asker beyond it has others to ask.
const maxCalls = 4

var errTooManyCalls = errors.New("earlier questions have been given up and have not ended")

// Asker asks one router at a time over a connection that it keeps.
type Asker struct {
	links *Links
	// calls are those under way, and places has room for as many as may be.
	calls  sync.WaitGroup
	places chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
	address netip.AddrPort
	conn    *drpcconn.Conn
	closed  bool
}

// NewAsker returns an asker that connects as the links do.
func (l *Links) NewAsker() *Asker { return &Asker{links: l, places: make(chan struct{}, maxCalls)} }

// confirmed is the end of a call.
type confirmed struct {
	answer *wire.Confirmation
	conn   *drpcconn.Conn
	err    error
}

// Confirm asks the router at the address what it has read of the store. It
// returns when the context ends, also while the call goes on: a call of drpc
// has been seen to outlast its context by seconds on a router without processor
// time.
func (a *Asker) Confirm(ctx context.Context, from netip.AddrPort, q *wire.ConfirmationQuery) (*wire.Confirmation, error) {
	select {
	case a.places <- struct{}{}:
	default:
		return nil, fmt.Errorf("confirm configuration at %s: %w", from, errTooManyCalls)
	}
	conn := a.take(from)
	ended := make(chan confirmed, 1)
	a.calls.Go(func() {
		defer func() { <-a.places }()
		ended <- a.call(ctx, conn, from, q)
	})
	select {
	case c := <-ended:
		if c.err != nil {
			return nil, c.err
		}
		a.keep(from, c.conn)
		return c.answer, nil
	case <-ctx.Done():
	}
	a.calls.Go(func() { discard((<-ended).conn) })
	return nil, fmt.Errorf("confirm configuration at %s: %w", from, ctx.Err())
}

// call makes one call, over a new connection if there is none. After a failure
// the connection is closed.
func (a *Asker) call(ctx context.Context, conn *drpcconn.Conn, from netip.AddrPort, q *wire.ConfirmationQuery) confirmed {
	if conn == nil {
		var err error
		if conn, err = a.links.connect(ctx, from); err != nil {
			return confirmed{err: fmt.Errorf("confirm configuration: %w", err)}
		}
	}
	answer, err := wire.NewDRPCPeerClient(conn).Confirm(ctx, q)
	if err != nil {
		discard(conn)
		return confirmed{err: fmt.Errorf("confirm configuration at %s: %w", from, err)}
	}
	return confirmed{answer: answer, conn: conn}
}

// take hands out the kept connection if it leads to the address, and closes it
// otherwise.
func (a *Asker) take(from netip.AddrPort) *drpcconn.Conn {
	a.mu.Lock()
	conn, address := a.conn, a.address
	a.conn = nil
	a.mu.Unlock()
	if address == from {
		return conn
	}
	a.calls.Go(func() { discard(conn) })
	return nil
}

// keep keeps the connection for the next call, unless the asker is closed.
func (a *Asker) keep(from netip.AddrPort, conn *drpcconn.Conn) {
	a.mu.Lock()
	closed := a.closed
	if !closed {
		a.address, a.conn = from, conn
	}
	a.mu.Unlock()
	if closed {
		discard(conn)
	}
}

// discard closes a connection, if there is one; it has nothing left to lose.
func discard(conn *drpcconn.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// Close closes the connection and waits for all calls. It must be called after
// their contexts have ended.
func (a *Asker) Close() {
	a.mu.Lock()
	conn := a.conn
	a.conn, a.closed = nil, true
	a.mu.Unlock()
	discard(conn)
	a.calls.Wait()
}
