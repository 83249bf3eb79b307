package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcctx"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"

	"hyssopreach/internal/transport/connguard"
	"hyssopreach/internal/transport/memory"
)

const (
	// defaultConnections is the number of connections of a Server whose limits state none.
	// A router of a fleet of 360 has at most two from each other one.
	defaultConnections = 4096
	// firstMessageTimeout is the time within which the first message or call must arrive on
	// a connection. Routers send it as soon as the connection is open. drpc never reads on
	// after bytes that belong to no call, and so would not notice that the client has gone.
	firstMessageTimeout = 5 * time.Second
	// callTimeout is the time after the end of a call within which the next one must begin.
	// It exceeds idleTimeout, and the interval at which routers query each other.
	callTimeout = 2 * time.Minute
	// freeMessageBytes is the size of an unfinished message that counts towards no limit.
	// Control messages of a fleet of 360 routers are smaller.
	freeMessageBytes = 64 << 10
)

// Limits bound what the connections of a Server hold.
type Limits struct {
	// Connections is the number of connections; zero for a default.
	Connections int
	// Memory limits the memory of all unfinished messages; nil to limit only that of each.
	Memory *memory.Limiter
}

// serverOptions are the options of the drpc server.
var serverOptions = drpcserver.Options{Manager: drpcmanager.Options{InactivityTimeout: callTimeout}}

// guardedListener accepts connections within Limits and counts the bytes sent over them.
type guardedListener struct {
	*connguard.Listener
	memory *memory.Limiter
	bytes  metrics.Counter
}

func guard(l net.Listener, limits Limits, registry metrics.Registry) *guardedListener {
	if limits.Connections == 0 {
		limits.Connections = defaultConnections
	}
	return &guardedListener{
		connguard.New(l, limits.Connections, registry), limits.Memory, metrics.GetOrRegisterCounter(MetricControlBytesTotal, registry),
	}
}

// Accept waits for a connection.
func (l *guardedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptConn()
	if err != nil {
		return nil, err
	}
	c := &guardedConn{countingConn: countingConn{Conn: conn, bytes: l.bytes}, guarded: conn, unfinished: l.memory.NewHolding(freeMessageBytes)}
	c.timer = time.AfterFunc(firstMessageTimeout, func() { _ = conn.Close() })
	return c, nil
}

// guardedConn is a connection of a guardedListener.
type guardedConn struct {
	countingConn
	guarded *connguard.Conn
	// timer closes the connection unless its first message arrives in time.
	timer *time.Timer

	mu sync.Mutex
	// unfinished accounts for received, the bytes that have arrived since the last message.
	// Both are guarded by mu.
	unfinished memory.Holding
	received   int64
}

// Read reads, and fails if there is no memory for a message that has not ended.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.countingConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += int64(n)
	if memoryErr := c.unfinished.Resize(c.received); memoryErr != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: memoryErr}
	}
	return n, err
}

// messageRead records that a message or call has arrived.
func (c *guardedConn) messageRead() {
	c.timer.Stop()
	c.guarded.Prove()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = 0
	c.unfinished.Release()
}

// Close closes the connection.
func (c *guardedConn) Close() error {
	c.timer.Stop()
	c.mu.Lock()
	c.unfinished.Release()
	c.mu.Unlock()
	return c.countingConn.Close()
}

// messageRead records that a message or call has arrived on the connection in ctx.
func messageRead(ctx context.Context) {
	if transport, ok := drpcctx.Transport(ctx); ok {
		if c, ok := transport.(*guardedConn); ok {
			c.messageRead()
		}
	}
}
