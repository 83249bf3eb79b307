package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/standin/journal"
	"hyssopreach/internal/tool/rig"
	"hyssopreach/internal/transport/router"
)

// booking sends a booking, which is not idempotent, through a router and returns
// the status and the body of the answer.
func booking(t *testing.T, rt *router.Router, key, body string, header ...string) (int, string) {
	t.Helper()
	url := "http://" + rt.CallerAddress().String() + caller.PathServices + rig.PlainService + "/bookings"
	return call(t, http.MethodPost, url, "org-01", body, append(header, caller.HeaderIdempotencyKey, key)...)
}

func problemOf(t *testing.T, body string) caller.Problem {
	t.Helper()
	var p caller.Problem
	if err := json.Unmarshal([]byte(body), &p); err != nil {
		t.Fatal(err)
	}
	return p
}

// runs returns the number of runs of each key, summed over the endpoints.
func runs(r *rig.Rig) map[string]int {
	counts := map[string]int{}
	for _, s := range r.Platform.Services {
		for key, n := range s.Runs().ByKey {
			counts[key] += n
		}
	}
	return counts
}

// TestResendReturnsRetainedAnswerFromAnyRouter guards against a second run of a
// request that is sent again with the same key, through the same router or
// another one, and against accepting the key for a different body.
func TestResendReturnsRetainedAnswerFromAnyRouter(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 3)
	first, answer := booking(t, r.Routers[0], "k-1", "two sets")
	is.Equal(first, http.StatusOK)
	for _, rt := range r.Routers {
		status, again := booking(t, rt, "k-1", "two sets")
		is.Equal(status, http.StatusOK)
		is.Equal(again, answer)
	}
	for _, rt := range r.Routers {
		status, body := booking(t, rt, "k-1", "three sets")
		is.Equal(status, http.StatusUnprocessableEntity)
		is.Equal(problemOf(t, body).NotRun, caller.NotRunTrue)
	}
	is.Equal(runs(r)["k-1"], 1)
}

// TestConcurrentSendsRunOnce guards against several runs of one request that is
// sent through three routers at the same time.
func TestConcurrentSendsRunOnce(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 3)
	const keys, sends = 40, 3
	var group sync.WaitGroup
	answers := make([][sends]string, keys)
	for k := range keys {
		for s := range sends {
			group.Go(func() {
				_, answers[k][s] = booking(t, r.Routers[s], fmt.Sprint("k-", k), "two sets")
			})
		}
	}
	group.Wait()
	for k := range keys {
		is.Equal(runs(r)[fmt.Sprint("k-", k)], 1)
		for s := range sends {
			is.Equal(answers[k][s], answers[k][0]) // every send gets the same complete answer
		}
	}
}

// TestLogOutageReportsWhetherRequestRan guards against wrong statements of
// whether a request ran while the log is down and nothing can be claimed: a
// first send was certainly not run, a resend may have been run before.
func TestLogOutageReportsWhetherRequestRan(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 3)
	r.Platform.Log.SetFaults(journal.Faults{Down: true})
	soon := func() string { return time.Now().Add(time.Second).Format(time.RFC3339Nano) }
	status, body := booking(t, r.Routers[0], "first", "x", caller.HeaderDeadline, soon(), caller.HeaderFirstSend, "true")
	is.Equal(status, http.StatusGatewayTimeout)
	is.Equal(problemOf(t, body).NotRun, caller.NotRunTrue)
	_, body = booking(t, r.Routers[0], "again", "x", caller.HeaderDeadline, soon())
	is.Equal(problemOf(t, body).NotRun, caller.NotRunUnknown) // an earlier send may have run
	is.Equal(len(runs(r)), 0)
	r.Platform.Log.SetFaults(journal.Faults{})
	status, _ = booking(t, r.Routers[1], "first", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(runs(r)["first"], 1)
}

// TestResendAfterDisconnectReturnsAnswer guards against losing the answer of a
// request, or running the request again, when the caller disconnects while the
// request runs and resends it through another router.
func TestResendAfterDisconnectReturnsAnswer(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 3)
	ctx, cancel := context.WithCancel(context.Background())
	url := "http://" + r.Routers[0].CallerAddress().String() + caller.PathServices + rig.PlainService + "/bookings"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("x"))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+rig.CallerKey("org-01"))
	request.Header.Set(caller.HeaderIdempotencyKey, "left")
	go func() {
		for runs(r)["left"] == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close() // the answer arrived before the caller disconnected
	}
	status, _ := booking(t, r.Routers[1], "left", "x")
	is.Equal(status, http.StatusOK)
	is.Equal(runs(r)["left"], 1)
}

// TestOutcomeIsUnknownAfterHolderIsLost guards against a second run, and against
// a definite statement of the outcome, when the router that ran the request is
// killed or restarted and its retained answer is lost.
func TestOutcomeIsUnknownAfterHolderIsLost(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 3)
	status, _ := booking(t, r.Routers[0], "lost", "x")
	is.Equal(status, http.StatusOK)
	r.Kill(0)
	_, body := booking(t, r.Routers[1], "lost", "x")
	is.Equal(problemOf(t, body).NotRun, caller.NotRunUnknown)
	is.NoErr(r.StartRouter(context.Background(), 0))
	await(t, r, func(rt *router.Router) bool { return len(rt.Fleet().Routers) == 3 && len(rt.Fleet().Endpoints) > 0 })
	_, body = booking(t, r.Routers[0], "lost", "x")
	is.Equal(problemOf(t, body).NotRun, caller.NotRunUnknown) // the new incarnation has no record of the request
	is.Equal(runs(r)["lost"], 1)
}

// TestLogFaultsNeverCauseSecondRun guards against a second run of a request, and
// against an answer without a run, when appends to the log are lost or take
// effect late while a router restarts. It sends every booking three times
// through different routers.
func TestLogFaultsNeverCauseSecondRun(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 3)
	r.Platform.Log.SetFaults(journal.Faults{LoseProbability: 0.2, LateAppends: 5, LateMillis: 1500})
	const keys, sends = 60, 3
	random := rand.New(rand.NewPCG(1, 1))
	var group sync.WaitGroup
	var mu sync.Mutex
	answered := map[string]bool{}
	for k := range keys {
		order := random.Perm(2) // the third router is restarted meanwhile
		group.Go(func() {
			key := fmt.Sprint("k-", k)
			for s := range sends {
				status, _ := booking(t, r.Routers[order[s%2]], key, "x", caller.HeaderDeadline, time.Now().Add(10*time.Second).Format(time.RFC3339Nano))
				mu.Lock()
				answered[key] = answered[key] || status == http.StatusOK
				mu.Unlock()
			}
		})
	}
	r.Kill(2)
	is.NoErr(r.StartRouter(context.Background(), 2))
	group.Wait()
	counts := runs(r)
	for k := range keys {
		key := fmt.Sprint("k-", k)
		is.True(counts[key] <= 1)
		is.True(answered[key] == (counts[key] == 1))
	}
	is.True(len(answered) == keys)
}
