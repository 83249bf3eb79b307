package router

import (
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
