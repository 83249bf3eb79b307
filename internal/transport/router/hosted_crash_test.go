package router

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCrashingRequestCrashesAtMostTwoEndpointsOfHostedFleet guards against a
// request that crashes each endpoint that runs it, and so takes the service from
// all other callers, because its caller sends it again through all routers.
func TestCrashingRequestCrashesAtMostTwoEndpointsOfHostedFleet(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := startCrashFleet(t, 4, 8)
			stop := f.sendOthers()
			for send := range 30 {
				is.True(!f.send(send, path, bodyCrash))
				time.Sleep(100 * time.Millisecond)
			}
			served := stop()
			t.Logf("%d endpoints crashed; %.4f of the other requests were served", f.crashes(), served)
			is.True(f.crashes() <= 2)
			is.True(served >= 0.99)
		})
	}
}

// TestLateCrashCountsAgainstItsRequest guards against the loss of the evidence where a crash
// is recognised only some time after the attempt broke off: the listener of the endpoint
// stays open for a while, or the endpoint crashes after bytes that are no answer.
func TestLateCrashCountsAgainstItsRequest(t *testing.T) {
	for _, tt := range []struct {
		path, body string
		listensFor time.Duration
		crashes    int
	}{
		{"/once/x", bodyCrash, 50 * time.Millisecond, 2},
		{"/safe/x", bodyCrash, 50 * time.Millisecond, 2},
		{"/stream/x", bodyCrash, 50 * time.Millisecond, 2},
		{"/stream/x", bodyCrashPartClose, 50 * time.Millisecond, 2},
		// A retry may begin before the crash is recognised.
		{"/once/x", bodyCrash, 150 * time.Millisecond, 3},
		{"/safe/x", bodyCrash, 150 * time.Millisecond, 3},
		{"/stream/x", bodyCrash, 150 * time.Millisecond, 3},
		{"/once/x", bodyCrashMalformed, 0, 2},
		{"/safe/x", bodyCrashMalformed, 0, 2},
		{"/stream/x", bodyCrashMalformed, 0, 2},
	} {
		t.Run(fmt.Sprint(tt.path, " ", tt.body, " ", tt.listensFor), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startCrashFleetWith(t, crashOptions{routers: 2, endpoints: 8, slots: 6, downFor: crashRestartTime, listensFor: tt.listensFor})
			for send := range 20 {
				is.True(!f.send(send, tt.path, tt.body))
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("%d endpoints crashed", f.crashes())
			is.True(f.crashes() <= tt.crashes)
		})
	}
}

// TestStartingRouterRejectsBeforeItServes guards against a router that starts empty
// and runs a request that the others reject, before they have noticed its start.
func TestStartingRouterRejectsBeforeItServes(t *testing.T) {
	is := is.New(t)
	f := startCrashFleet(t, 2, 8)
	for send := range 3 {
		is.True(!f.send(send, "/safe/x", bodyCrash))
	}
	before := f.crashes()
	f.startRouter(len(f.routers), f.routers[0].self.PeerAddress)
	last := f.routers[len(f.routers)-1]
	waitFor(t, "the router serves", func() bool { return last.core.Ready() })
	is.True(!f.send(len(f.routers)-1, "/safe/x", bodyCrash))
	is.Equal(f.crashes(), before)
}

// TestStreamThatCrashesEndpointsLateIsStopped guards against a stream that crashes
// each endpoint only after it has run there for a while.
func TestStreamThatCrashesEndpointsLateIsStopped(t *testing.T) {
	is := is.New(t)
	f := startCrashFleet(t, 1, 8)
	for range 4 {
		is.True(!f.send(0, "/stream/x", bodyCrashLate))
	}
	t.Logf("%d endpoints crashed", f.crashes())
	is.True(f.crashes() <= 3)
}

// TestRequestBesideCrashesIsNotHeldBack guards against refusing a request that is
// sent so often that it runs at every endpoint that crashes for another reason.
func TestRequestBesideCrashesIsNotHeldBack(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := startCrashFleet(t, 4, 8)
			stopped := make(chan struct{})
			var crashing sync.WaitGroup
			crashing.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stopped:
						return
					case <-time.After(300 * time.Millisecond):
					}
					e := f.endpoints[n%len(f.endpoints)]
					e.mu.Lock()
					start := e.starts
					e.mu.Unlock()
					e.crash(start)
				}
			})
			served := f.sendRepeatedly(path, "frequent", 5*time.Second)
			close(stopped)
			crashing.Wait()
			t.Logf("%d endpoints crashed; %.4f of the requests were served", f.crashes(), served)
			is.True(f.crashes() >= 10)
			is.True(served >= 0.995)
		})
	}
}

// TestBrokenConnectionIsNoCrash guards against refusing a request for which
// endpoints that live on reset connections.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	is := is.New(t)
	f := startCrashFleet(t, 4, 8)
	served := f.sendRepeatedly("/safe/x", bodyReset, 3*time.Second)
	t.Logf("%.4f of the requests were served", served)
	is.Equal(f.crashes(), 0)
	is.True(served >= 0.995)
}
