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

// LeavingOptions configures a measurement of a leaving endpoint.
type LeavingOptions struct {
	Routers   int
	PerSecond float64
	// Length is the length of the load. The endpoint leaves after a third of it.
	Length time.Duration
	// BlockVMList blocks the connections of all routers but the first to the VM list.
	BlockVMList bool
	Seed        uint64
}

// LeavingReport states when a leaving endpoint got its last new request.
type LeavingReport struct {
	Load *load.Report
	// RunsBefore and RunsAfter count the endpoint's runs before and after the
	// VM list showed that the endpoint leaves.
	RunsBefore int
	RunsAfter  int
	// LastRun is when the last run began, counted from the instant at which the
	// list showed that the endpoint leaves.
	LastRun time.Duration
}

// Leaving marks the VM of one engine as leaving under load, and measures when
// the engine gets its last request.
func Leaving(ctx context.Context, o LeavingOptions, w io.Writer) (*LeavingReport, error) {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r, err := startLeaving(startCtx, o)
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
	var listedAt time.Time
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(o.Length / 3)
		r.Platform.VMList.SetLeaving(first.VM)
		time.Sleep(fleet.Default().ListLag)
		listedAt = time.Now()
		report.RunsBefore = engine.Runs().Total
	}()
	ctx, cancel = context.WithTimeout(ctx, o.Length)
	defer cancel()
	report.Load = load.Run(ctx, s)
	<-done
	runs := engine.Runs()
	report.RunsAfter = runs.Total - report.RunsBefore
	report.LastRun = max(0, runs.Last.Sub(listedAt))
	name := fmt.Sprintf("Leaving Routers=%d Cut=%t", o.Routers, o.BlockVMList)
	report.Load.Print(w, name)
	_, err = fmt.Fprintf(w, "%s RunsBefore=%d RunsAfter=%d LastRun=%v\n", name,
		report.RunsBefore, report.RunsAfter, report.LastRun.Round(time.Millisecond))
	return report, err
}

func startLeaving(ctx context.Context, o LeavingOptions) (*rig.Rig, error) {
	platform := fleet.Default()
	var err error
	if platform.VMList, err = loopback.FreeAddress(); err != nil {
		return nil, err
	}
	options := rig.Options{
		Document: rig.NewDocument(organisations, engines, plainEndpoints, domains()), Routers: o.Routers,
		FailureDomains: domains(), Platform: platform, EntryHold: entryHold,
		Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	}
	if o.BlockVMList {
		options.Network = func(number int, host router.Network) router.Network {
			if number == 0 {
				return host
			}
			return &blockedNetwork{host, platform.VMList.String()}
		}
	}
	return rig.Start(ctx, options)
}

var errBlocked = errors.New("connections to this address are blocked")

// blockedNetwork is a network on which one address can't be dialled.
type blockedNetwork struct {
	router.Network
	blocked string
}

// DialContext opens a connection unless the address is blocked.
func (n *blockedNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if address == n.blocked {
		return nil, errBlocked
	}
	return n.Network.DialContext(ctx, network, address)
}
