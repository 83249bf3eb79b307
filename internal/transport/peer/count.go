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
// counted by kind of message; ControlBytesTotal includes framing.
const (
	MetricControlBytesPrefix    = "ControlBytes."
	MetricControlMessagesPrefix = "ControlMessages."
	MetricControlBytesTotal     = "ControlBytesTotal"
	MetricControlDropped        = "ControlMessagesDropped"
)

// writeTimeout bounds one write to a peer. A peer that accepts no bytes for this
// long is considered unreachable.
const writeTimeout = 3 * time.Second

// countingConn counts the bytes written to a connection and limits each write to
// writeTimeout.
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

// Kind returns the name of the message's kind, as used in metric names.
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
