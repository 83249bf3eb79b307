package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"hyssopreach/internal/coordination/endpoint"
)

func TestEndpointNewsSurvivesTheWire(t *testing.T) {
	is := is.New(t)
	news := endpoint.Update{ListVersion: 3, ListAsOf: time.UnixMilli(5), States: []endpoint.State{
		{ID: "vm/e#1", Leaving: true, AsOf: time.UnixMilli(7), Models: []string{"m"}},
		{ID: "vm/f#2", Gone: true, EjectedUntil: time.UnixMilli(9)},
	}}
	data, err := proto.Marshal(FromEndpointNews(news))
	is.NoErr(err)
	var m EndpointNews
	is.NoErr(proto.Unmarshal(data, &m))
	is.Equal(ToEndpointNews(&m), news)
}
