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
func endpointOf(one *router.Router, vm string) view.Endpoint {
	for _, e := range one.Fleet().Endpoints {
		if e.VM == vm {
			return e
		}
	}
	return view.Endpoint{}
}

func TestLeavingEndpointIsSeenByAllRouters(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r.Platform.VMList.SetLeaving("vm-engine-01")
	is.NoErr(r.Await(ctx, func(one *router.Router) bool { return endpointOf(one, "vm-engine-01").Leaving }))
	for _, one := range r.Routers {
		is.True(!endpointOf(one, "vm-engine-02").Leaving)
	}
}

func TestRestartedEndpointIsAnother(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 3)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	first := r.Document.Pools[0].Endpoints[0]
	vm := first.VM
	is.NoErr(r.Await(ctx, func(one *router.Router) bool { return endpointOf(one, vm).ID != "" }))
	before := endpointOf(r.Routers[0], vm).ID
	engine := r.Platform.Engines[first.Key()]
	engine.Crash()
	is.NoErr(r.Await(ctx, func(one *router.Router) bool { return time.Now().Before(endpointOf(one, vm).EjectedUntil) }))
	is.NoErr(engine.Restart())
	is.NoErr(r.Await(ctx, func(one *router.Router) bool {
		e := endpointOf(one, vm)
		return e.ID != before && time.Now().After(e.EjectedUntil)
	}))
}
