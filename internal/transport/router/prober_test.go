package router

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/state/view"
	"hyssopreach/internal/transport/execution"
)

// TestProbeTellsCrashFromBrokenConnection guards against taking an endpoint that
// only lost a connection for one that crashed, and against a connection to the
// endpoint for each of the attempts that broke off together.
func TestProbeTellsCrashFromBrokenConnection(t *testing.T) {
	is := is.New(t)
	p := newProber(NewNetwork(netip.Addr{}), metrics.NewRegistry())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(l.Addr().String())
	var attempts sync.WaitGroup
	for range 20 {
		attempts.Go(func() {
			if s := p.Probe(context.Background(), &view.Endpoint{ID: "a#1", Address: address}); s != execution.ProcessAlive {
				t.Errorf("a running endpoint is %v", s)
			}
		})
	}
	attempts.Wait()
	is.True(p.probes.Count() <= 2) // the second one only if the first result has expired
	is.NoErr(l.Close())
	is.Equal(p.Probe(context.Background(), &view.Endpoint{ID: "a#2", Address: address}), execution.ProcessGone)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(p.Probe(ended, &view.Endpoint{ID: "a#3", Address: address}), execution.ProcessGone) // the caller has left
}
