package peer

import (
	"net"
	"reflect"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	wire "hyssopreach/internal/protocol/peer"
)

// The names of the metrics that count control traffic. Bytes and messages are
// counted by kind; ControlBytesTotal also counts framing.
const (
	MetricControlBytesPrefix    = "ControlBytes."
	MetricControlMessagesPrefix = "ControlMessages."
	MetricControlBytesTotal     = "ControlBytesTotal"
	MetricControlDropped        = "ControlMessagesDropped"
)

// writeTimeout bounds one write to a peer. A peer that takes no bytes for this
// long is treated as cut off.
const writeTimeout = 3 * time.Second

// countingConn counts the bytes that leave over a connection and gives up on a
// peer that takes none.
type countingConn struct {
	net.Conn
	bytes metrics.Counter
}

func (c *countingConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.bytes.Inc(int64(n))
	return n, err
}

// Kind returns the name of a message's kind, as the metrics use it.
func Kind(m *wire.Message) string {
	kind := m.GetKind()
	if kind == nil {
		return "Unknown"
	}
	name := reflect.TypeOf(kind).Elem().Name()
	return name[len("Message_"):]
}

func countMessage(registry metrics.Registry, m *wire.Message) {
	kind := Kind(m)
	metrics.GetOrRegisterCounter(MetricControlBytesPrefix+kind, registry).Inc(int64(proto.Size(m)))
	metrics.GetOrRegisterCounter(MetricControlMessagesPrefix+kind, registry).Inc(1)
}
