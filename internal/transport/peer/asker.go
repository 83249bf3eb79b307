package peer

import (
	"context"
	"fmt"
	"net/netip"
	"sync"

	"storj.io/drpc/drpcconn"

	wire "hyssopreach/internal/protocol/peer"
)

// Asker asks one router at a time over a connection that it keeps.
type Asker struct {
	links *Links

	mu      sync.Mutex
	address netip.AddrPort // guarded by mu
	conn    *drpcconn.Conn // guarded by mu
}

// NewAsker returns an asker that connects as the links do.
func (l *Links) NewAsker() *Asker { return &Asker{links: l} }

// Confirm asks the router at the address what it has read of the store.
func (a *Asker) Confirm(ctx context.Context, from netip.AddrPort, q *wire.ConfirmationQuery) (*wire.Confirmation, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil || a.address != from {
		a.drop()
		conn, err := a.links.connect(ctx, from)
		if err != nil {
			return nil, fmt.Errorf("confirm configuration: %w", err)
		}
		a.address, a.conn = from, conn
	}
	answer, err := wire.NewDRPCPeerClient(a.conn).Confirm(ctx, q)
	if err != nil {
		a.drop()
		return nil, fmt.Errorf("confirm configuration at %s: %w", from, err)
	}
	return answer, nil
}

// drop requires that mu is held.
func (a *Asker) drop() {
	if a.conn != nil {
		// A connection that is given up has nothing left to lose.
		_ = a.conn.Close()
		a.conn = nil
	}
}

// Close closes the connection.
func (a *Asker) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drop()
}
