package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/router"
)

// endpointOf returns the router's view of the endpoint on the VM.
func endpointOf(rt *router.Router, vm string) view.Endpoint {
	for _, e := range rt.Fleet().Endpoints {
		if e.VM == vm {
			return e
		}
	}
	return view.Endpoint{}
}

// TestLeavingEndpointIsKnownToAllRouters guards against routers that miss that
// the VM list marks an endpoint's VM as leaving, or that apply it to another VM.
func TestLeavingEndpointIsKnownToAllRouters(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r.Platform.VMList.SetLeaving("vm-engine-01")
	is.NoErr(r.WaitForAll(ctx, func(rt *router.Router) bool { return endpointOf(rt, "vm-engine-01").Leaving }))
	for _, rt := range r.Routers {
		is.True(!endpointOf(rt, "vm-engine-02").Leaving)
	}
}

// TestRestartedEndpointGetsNewID guards against an endpoint that keeps the ID,
// and with it the ejection, of its earlier start after a crash and a restart.
func TestRestartedEndpointGetsNewID(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	first := r.Document.Pools[0].Endpoints[0]
	vm := first.VM
	is.NoErr(r.WaitForAll(ctx, func(rt *router.Router) bool { return endpointOf(rt, vm).ID != "" }))
	before := endpointOf(r.Routers[0], vm).ID
	engine := r.Platform.Engines[first.Key()]
	engine.Crash()
	is.NoErr(r.WaitForAll(ctx, func(rt *router.Router) bool { return time.Now().Before(endpointOf(rt, vm).EjectedUntil) }))
	is.NoErr(engine.Restart())
	is.NoErr(r.WaitForAll(ctx, func(rt *router.Router) bool {
		e := endpointOf(rt, vm)
		return e.ID != before && time.Now().After(e.EjectedUntil)
	}))
}
