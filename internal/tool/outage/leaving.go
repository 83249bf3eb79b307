package outage

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/standin/loopback"
	"hyssopreach/internal/tool/load"
	"hyssopreach/internal/tool/rig"
	"hyssopreach/internal/transport/router"
)

// LeavingOptions say what to measure.
type LeavingOptions struct {
	Routers   int
	PerSecond float64
	// Length is the length of the load; the endpoint leaves after a third.
	Length time.Duration
	// Cut keeps all routers but the first from the VM list.
	Cut  bool
	Seed uint64
}

// LeavingReport tells when a leaving endpoint got its last new request.
type LeavingReport struct {
	Load *load.Report
	// RunsBefore and RunsAfter count the endpoint's runs before and after the
	// list showed that it leaves.
	RunsBefore int
	RunsAfter  int
	// LastRun is when the last of them began, counted from that instant.
	LastRun time.Duration
}

// Leaving lets one engine leave under load.
func Leaving(ctx context.Context, o LeavingOptions, w io.Writer) (*LeavingReport, error) {
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r, err := startLeaving(ready, o)
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Close() }()
	s := newLoad(r, o.PerSecond, o.Seed)
	for _, one := range r.Routers {
		s.Addresses = append(s.Addresses, one.CallerAddress())
	}
	first := r.Document.Pools[0].Endpoints[0]
	engine := r.Platform.Engines[first.Key()]
	report := &LeavingReport{}
	var shown time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(o.Length / 3)
		r.Platform.VMList.SetLeaving(first.VM)
		time.Sleep(fleet.Default().ListLag)
		shown = time.Now()
		report.RunsBefore = engine.Runs().Total
	}()
	ctx, cancel = context.WithTimeout(ctx, o.Length)
	defer cancel()
	report.Load = load.Run(ctx, s)
	<-done
	runs := engine.Runs()
	report.RunsAfter = runs.Total - report.RunsBefore
	report.LastRun = max(0, runs.Last.Sub(shown))
	name := fmt.Sprintf("Leaving Routers=%d Cut=%t", o.Routers, o.Cut)
	report.Load.Print(w, name)
	_, err = fmt.Fprintf(w, "%s RunsBefore=%d RunsAfter=%d LastRun=%v\n", name,
		report.RunsBefore, report.RunsAfter, report.LastRun.Round(time.Millisecond))
	return report, err
}

func startLeaving(ctx context.Context, o LeavingOptions) (*rig.Rig, error) {
	stands := fleet.Default()
	var err error
	if stands.VMList, err = loopback.Address(); err != nil {
		return nil, err
	}
	options := rig.Options{
		Document: rig.Document(organisations, engines, plainServices, domains()), Routers: o.Routers,
		FailureDomains: domains(), Platform: stands, EntryHold: entryHold,
		Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	}
	if o.Cut {
		options.Network = func(number int, host router.Network) router.Network {
			if number == 0 {
				return host
			}
			return &cutNetwork{host, stands.VMList.String()}
		}
	}
	return rig.Start(ctx, options)
}

var errCut = errors.New("the connection is cut")

// cutNetwork fails to dial one address.
type cutNetwork struct {
	router.Network
	cut string
}

// DialContext opens a connection unless it is cut.
func (n *cutNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if address == n.cut {
		return nil, errCut
	}
	return n.Network.DialContext(ctx, network, address)
}
