package fleet

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"hyssopreach/internal/state/text"
)

func document() *text.Document {
	free := netip.MustParseAddrPort("127.0.0.1:0")
	return &text.Document{
		Services: []text.Service{{Name: "chat", Kind: text.KindModel, Pool: "m"}, {Name: "app", Kind: text.KindPlain, Pool: "p"}},
		Pools: []text.Pool{
			{Name: "m", Endpoints: []text.Endpoint{{Name: "e1", VM: "v1", Address: free}, {Name: "e2", VM: "v1", Address: free}}},
			{Name: "p", Endpoints: []text.Endpoint{{Name: "a1", VM: "v2", Address: free}}},
		},
		Models: []text.Model{{Name: "model", Pool: "m"}},
	}
}

// TestStartCreatesListedEndpoints guards against endpoints of the wrong kind,
// endpoints without an address, and a VM that is listed once per endpoint.
func TestStartCreatesListedEndpoints(t *testing.T) {
	is := is.New(t)
	f, err := Start(Default(), document())
	is.NoErr(err)
	is.Equal(len(f.Engines), 2)
	is.Equal(len(f.Services), 1)
	is.Equal(len(f.VMList.Current().VMs), 2) // two endpoints share a VM
	is.True(f.Engines["v1/e1"].Address().Port() != 0)
	is.NoErr(f.Close())
}

// TestStartFailsIfAnAddressIsInUse guards against a Start that doesn't return
// the error of an endpoint that cannot listen on its address.
func TestStartFailsIfAnAddressIsInUse(t *testing.T) {
	is := is.New(t)
	first, err := Start(Default(), document())
	is.NoErr(err)
	defer first.Close()
	conflicting := document()
	conflicting.Pools[1].Endpoints[0].Address = first.Engines["v1/e1"].Address()
	_, err = Start(Default(), conflicting)
	is.True(err != nil)
}
