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

// loads asks every engine what it holds.
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

// TestNewVersionReachesEveryEngineUnderLoad publishes a new version of the
// model; the engines get it one by one, and calls go on.
func TestNewVersionReachesEveryEngineUnderLoad(t *testing.T) {
	is := is.New(t)
	settings := fleet.Default()
	settings.Engine.LoadBytesPerSecond, settings.Engine.ModelBytes = 1<<30, 1<<28
	r := startRigOn(t, 3, settings)
	r.Document.Models[0].Version = "2"
	is.NoErr(r.Publish(r.Document))
	ctx, stop := context.WithTimeout(context.Background(), patience)
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
	r.Kill(0) // whoever plans, the others go on
	await(t, r, func(one *router.Router) bool { return len(one.Fleet().Routers) == 2 })
}
