package router_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/tool/rig"
	"hyssopreach/internal/transport/endpoint"
	"hyssopreach/internal/transport/router"
)

// loads returns the load of every engine that answers.
func loads(t *testing.T, r *rig.Rig) map[string]platform.Load {
	t.Helper()
	c := endpoint.NewClient(nil)
	defer c.Close()
	all := map[string]platform.Load{}
	for _, p := range r.Document.Pools {
		for _, e := range p.Endpoints {
			if r.Platform.Engines[e.Key()] == nil {
				continue
			}
			if load, err := c.Load(context.Background(), e.Address); err == nil {
				all[e.Key()] = load
			}
		}
	}
	return all
}

// TestNewVersionReachesEveryEngineUnderLoad guards against failed calls while a
// new version of a model is loaded on the engines one by one, and against
// engines that keep the old version.
func TestNewVersionReachesEveryEngineUnderLoad(t *testing.T) {
	is := is.New(t)
	settings := fleet.Default()
	settings.Engine.LoadBytesPerSecond, settings.Engine.ModelBytes = 1<<30, 1<<28
	r := startRigOn(t, 3, settings)
	r.Document.Models[0].Version = "2"
	is.NoErr(r.Publish(r.Document))
	ctx, stop := context.WithTimeout(context.Background(), awaitTimeout)
	defer stop()
	for ctx.Err() == nil {
		url := "http://" + r.Routers[0].CallerAddress().String() + caller.PathChatCompletions
		status, body := call(t, http.MethodPost, url, "org-01", chatBody("a question", false))
		if status != http.StatusOK {
			t.Fatal(status, body)
		}
		updated := 0
		for _, l := range loads(t, r) {
			if len(l.Models) == 1 && l.Models[0].Version == "2" && l.LastFencing > 0 {
				updated++
			}
		}
		if updated == len(r.Platform.Engines) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.NoErr(ctx.Err())
	r.Kill(0) // the others continue, whichever router was the planner
	await(t, r, func(rt *router.Router) bool { return len(rt.Fleet().Routers) == 2 })
}
