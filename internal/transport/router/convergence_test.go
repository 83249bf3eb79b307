package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/standin/journal"
	"hyssopreach/internal/state/invariant"
	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/tool/rig"
	"hyssopreach/internal/transport/platform"
	"hyssopreach/internal/transport/router"
)

// awaitTimeout bounds the wait for a condition. Its value does not affect the
// outcome of a test, since each condition, once met, stays met.
const awaitTimeout = time.Minute

func await(t *testing.T, r *rig.Rig, condition func(rt *router.Router) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	if err := r.WaitForAll(ctx, condition); err != nil {
		t.Fatal(err)
	}
}

func status(t *testing.T, rt *router.Router) router.Status {
	t.Helper()
	response, err := http.Get("http://" + rt.OperatorAddress().String() + router.PathStatus)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var s router.Status
	if err := json.Unmarshal(data, &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// fold reads the whole stream of published texts with a new reader and returns
// the version that results.
func fold(t *testing.T, r *rig.Rig) revision.Version {
	t.Helper()
	l := platform.NewLog(r.Platform.Log.Address(), nil)
	defer l.Close()
	var f revision.Fold
	for {
		page, err := l.Read(context.Background(), revision.Stream, f.Next(), time.Time{})
		if err != nil {
			t.Fatal(err)
		}
		for _, record := range page.Records {
			if _, err := f.Apply(record.Offset, record.Payload); err != nil {
				t.Fatal(err)
			}
		}
		if f.Next() == page.Next {
			return f.InForce().Version
		}
	}
}

// TestMembershipFollowsCrashDrainAndRestart guards against routers that keep a
// crashed or drained router in their view, or do not add a restarted one.
func TestMembershipFollowsCrashDrainAndRestart(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 4)
	r.Kill(1)
	await(t, r, func(rt *router.Router) bool { return len(rt.Fleet().Routers) == 3 })
	is.NoErr(r.Drain(context.Background(), 2))
	await(t, r, func(rt *router.Router) bool { return len(rt.Fleet().Routers) == 2 })
	is.NoErr(r.StartRouter(context.Background(), 1))
	await(t, r, func(rt *router.Router) bool { return len(rt.Fleet().Routers) == 3 })
}

// TestRestartedRouterFetchesTextWhileLogIsDown guards against a router that has
// no configuration after a restart while the log is down; it must fetch the text
// from its peers, and follow the log once the log is up again.
func TestRestartedRouterFetchesTextWhileLogIsDown(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 3)
	is.NoErr(r.Publish(r.Document))
	await(t, r, func(rt *router.Router) bool { return rt.Fleet().Revision == 2 })
	r.Platform.Log.SetFaults(journal.Faults{Down: true})
	r.Kill(0)
	is.NoErr(r.StartRouter(context.Background(), 0))
	await(t, r, func(rt *router.Router) bool { return rt.Fleet().Revision == 2 })
	r.Platform.Log.SetFaults(journal.Faults{})
	is.NoErr(r.Publish(r.Document))
	await(t, r, func(rt *router.Router) bool { return rt.Fleet().Revision == 3 })
}

// TestConcurrentPublishesFoldToOneVersion guards against routers that accept
// different texts, or revert one, when operators publish concurrently, each text
// based on the revision in force at some router.
func TestConcurrentPublishesFoldToOneVersion(t *testing.T) {
	is := is.New(t)
	r := startRig(t, 7)
	violationsBefore := invariant.TotalViolations()
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		base := r.Routers[random.IntN(7)].Fleet().Revision
		data := fmt.Sprintf(`{"FormatVersion":1,"BasedOn":%d,"Organisations":[{"Name":"o-%d","Weight":1}]}`, base, i)
		record := revision.NewPublish(fmt.Sprint("race-", i), base, []byte(data))
		payload, err := record.Encode()
		is.NoErr(err)
		r.Platform.Log.Append(revision.Stream, [][]byte{payload})
		if i%50 == 0 {
			time.Sleep(5 * time.Millisecond) // so that some texts are based on the newest revision
		}
	}
	want := fold(t, r)
	is.True(want.Revision > 1)
	await(t, r, func(rt *router.Router) bool { return rt.Fleet().Revision == want.Revision })
	for _, rt := range r.Routers {
		s := status(t, rt)
		is.Equal(revision.Version{Revision: s.Revision, Offset: s.Offset, Hash: s.Hash}, want)
	}
	is.Equal(invariant.TotalViolations(), violationsBefore) // nothing reverted, no revision had two texts
}
