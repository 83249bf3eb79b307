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

// maxCalls bounds the calls in flight. A client calls one router at a time, so at
// most one Confirm waits for its call; the other calls have outlasted their
// contexts. At the limit Confirm fails, and the caller queries another router.
const maxCalls = 4

var errTooManyCalls = errors.New("too many calls in flight: earlier calls have not returned after their contexts ended")

// ConfirmationClient queries one router at a time for a confirmation and reuses
// the connection as long as the address stays the same.
type ConfirmationClient struct {
	links *Links
	// calls tracks the calls in flight and the connections being closed.
	calls sync.WaitGroup
	// slots holds one element for each call in flight, at most maxCalls.
	slots chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
	address netip.AddrPort
	conn    *drpcconn.Conn
	closed  bool
}

// NewConfirmationClient returns a ConfirmationClient that uses the dialer and the
// byte counter of the links.
func (l *Links) NewConfirmationClient() *ConfirmationClient {
	return &ConfirmationClient{links: l, slots: make(chan struct{}, maxCalls)}
}

// confirmResult is the result of one call and the connection that it used.
type confirmResult struct {
	confirmation *wire.Confirmation
	conn         *drpcconn.Conn
	err          error
}

// Confirm queries the router at the address for the configuration and the list of
// endpoints that it has read from the platform's store, and for their ages. It
// returns when the context ends, even if the call has not returned: drpc calls
// have been observed to outlast their context by seconds on a router that is
// short of processor time.
func (a *ConfirmationClient) Confirm(ctx context.Context, address netip.AddrPort, q *wire.ConfirmationQuery) (*wire.Confirmation, error) {
	select {
	case a.slots <- struct{}{}:
	default:
		return nil, fmt.Errorf("confirm configuration at %s: %w", address, errTooManyCalls)
	}
	conn := a.takeConn(address)
	result := make(chan confirmResult, 1)
	a.calls.Go(func() {
		defer func() { <-a.slots }()
		result <- a.call(ctx, conn, address, q)
	})
	select {
	case c := <-result:
		if c.err != nil {
			return nil, c.err
		}
		a.storeConn(address, c.conn)
		return c.confirmation, nil
	case <-ctx.Done():
	}
	a.calls.Go(func() { closeConn((<-result).conn) })
	return nil, fmt.Errorf("confirm configuration at %s: %w", address, ctx.Err())
}

// call makes one call over conn, or over a new connection if conn is nil. It
// closes the connection on failure.
func (a *ConfirmationClient) call(ctx context.Context, conn *drpcconn.Conn, address netip.AddrPort, q *wire.ConfirmationQuery) confirmResult {
	if conn == nil {
		var err error
		if conn, err = a.links.connect(ctx, address); err != nil {
			return confirmResult{err: fmt.Errorf("confirm configuration: %w", err)}
		}
	}
	confirmation, err := wire.NewDRPCPeerClient(conn).Confirm(ctx, q)
	if err != nil {
		closeConn(conn)
		return confirmResult{err: fmt.Errorf("confirm configuration at %s: %w", address, err)}
	}
	return confirmResult{confirmation: confirmation, conn: conn}
}

// takeConn removes the stored connection and returns it if it leads to the address and the
// other router has not closed it, as it does with an unused one. Otherwise it closes the
// connection in the background and returns nil.
func (a *ConfirmationClient) takeConn(to netip.AddrPort) *drpcconn.Conn {
	a.mu.Lock()
	conn, address := a.conn, a.address
	a.conn = nil
	a.mu.Unlock()
	if address == to && (conn == nil || !isClosed(conn)) {
		return conn
	}
	a.calls.Go(func() { closeConn(conn) })
	return nil
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// storeConn stores the connection for the next call, or closes it if the client
// is closed.
func (a *ConfirmationClient) storeConn(to netip.AddrPort, conn *drpcconn.Conn) {
	a.mu.Lock()
	closed := a.closed
	if !closed {
		a.address, a.conn = to, conn
	}
	a.mu.Unlock()
	if closed {
		closeConn(conn)
	}
}

// closeConn closes the connection unless it is nil. The error is ignored because
// the connection carries no unfinished call.
func closeConn(conn *drpcconn.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// Close closes the stored connection and waits for all calls to return. It must
// be called after the contexts of the calls have ended.
func (a *ConfirmationClient) Close() {
	a.mu.Lock()
	conn := a.conn
	a.conn, a.closed = nil, true
	a.mu.Unlock()
	closeConn(conn)
	a.calls.Wait()
}
