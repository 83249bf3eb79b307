package peer

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"hyssopreach/internal/coordination/listing"
	"hyssopreach/internal/state/view"
)

// TestEndpointHistoryRoundTrip checks that the wire form keeps every field of a
// history of endpoints, and the order of its instants.
func TestEndpointHistoryRoundTrip(t *testing.T) {
	is := is.New(t)
	sent, received := time.UnixMilli(100_000), time.UnixMilli(500)
	history := listing.History{
		RestoredAt: sent.Add(-1500 * time.Microsecond),
		Known: []view.Endpoint{{
			ID: "e#1", Pool: "p", VM: "v", FailureDomain: "d", Address: netip.MustParseAddrPort("127.0.0.1:9"),
			Slots: 6, MemoryTokens: 7, Models: []string{"m"}, Leaving: true, Sequence: 8,
		}},
		Stated:   []view.EndpointID{"e#1"},
		Departed: []listing.Departure{{ID: "f#2", Sequence: 3, At: sent.Add(-1600 * time.Microsecond)}},
	}
	data, err := proto.Marshal(FromEndpointHistory(sent, history))
	is.NoErr(err)
	var m EndpointHistory
	is.NoErr(proto.Unmarshal(data, &m))
	got, err := ToEndpointHistory(received, &m)
	is.NoErr(err)
	is.Equal(got.Known, history.Known)
	is.Equal(got.Stated, history.Stated)
	is.Equal(got.Departed[0].ID, history.Departed[0].ID)
	is.Equal(got.Departed[0].Sequence, uint64(3))
	is.True(got.Departed[0].At.Before(got.RestoredAt))
	is.Equal(received.Sub(got.RestoredAt), time.Millisecond)
	m.Known[0].Address = "nowhere"
	_, err = ToEndpointHistory(received, &m)
	is.True(err != nil)
}
