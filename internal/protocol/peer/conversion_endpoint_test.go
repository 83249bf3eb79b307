package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"hyssopreach/internal/coordination/endpoint"
)

// TestEndpointNewsRoundTrip checks that the wire form keeps every field of an
// update about endpoints.
func TestEndpointNewsRoundTrip(t *testing.T) {
	is := is.New(t)
	update := endpoint.Update{ListVersion: 3, ListAsOf: time.UnixMilli(5), States: []endpoint.State{
		{ID: "vm/e#1", Leaving: true, AsOf: time.UnixMilli(7), Models: []string{"m"}},
		{ID: "vm/f#2", Gone: true, EjectedUntil: time.UnixMilli(9)},
	}}
	data, err := proto.Marshal(FromEndpointNews(update))
	is.NoErr(err)
	var m EndpointNews
	is.NoErr(proto.Unmarshal(data, &m))
	is.Equal(ToEndpointNews(&m), update)
}
