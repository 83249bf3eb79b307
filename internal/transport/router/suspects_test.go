package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/tool/rig"
	"hyssopreach/internal/transport/router"
)

// crashes returns the number of crashes of all engines.
func crashes(r *rig.Rig) int {
	n := 0
	for _, e := range r.Platform.Engines {
		n += e.Crashes()
	}
	return n
}

// TestCrashingRequestCrashesAtMostTwoEndpoints guards against a request that
// crashes every engine that runs it and takes down the fleet because its caller
// resends it through all routers. Requests that run beside it must not be
// refused as suspects for good.
func TestCrashingRequestCrashesAtMostTwoEndpoints(t *testing.T) {
	is := is.New(t)
	platform := fleet.Default()
	platform.Engine.CrashOn, platform.Engine.RestartAfter = "poison", 100*time.Millisecond
	r := startRigOn(t, 3, platform)
	crashingBody := chatBody("poison", false)
	ctx, stop := context.WithCancel(context.Background())
	var otherRequests sync.WaitGroup
	for i := range 3 {
		otherRequests.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				url := "http://" + r.Routers[i].CallerAddress().String() + caller.PathChatCompletions
				call(t, http.MethodPost, url, "org-02", chatBody(fmt.Sprint("innocent ", i, " ", n%5), false))
			}
		})
	}
	// Cleanups run in reverse order, so this one runs before the routers are
	// closed, also when a check fails.
	t.Cleanup(func() {
		stop()
		otherRequests.Wait()
	})
	var last caller.Problem
	for send := range 9 {
		url := "http://" + r.Routers[send%3].CallerAddress().String() + caller.PathChatCompletions
		status, body := call(t, http.MethodPost, url, "org-01", crashingBody,
			caller.HeaderDeadline, time.Now().Add(5*time.Second).Format(time.RFC3339Nano))
		is.True(status != http.StatusOK)
		last = caller.Problem{}
		is.NoErr(json.Unmarshal([]byte(body), &last))
		is.True(last.NotRun != caller.NotRunTrue) // the request did run
	}
	is.True(crashes(r) >= 1 && crashes(r) <= 2)
	is.Equal(last.NotRun, caller.NotRunFalse)
	is.Equal(last.Status, http.StatusUnprocessableEntity)
	stop()
	otherRequests.Wait()
	await(t, r, func(rt *router.Router) bool {
		url := "http://" + rt.CallerAddress().String() + caller.PathChatCompletions
		status, _ := call(t, http.MethodPost, url, "org-02", chatBody("innocent 1 1", false))
		return status == http.StatusOK // requests that ran beside the crashing one are cleared
	})
}
