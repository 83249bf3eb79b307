package command

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/integrii/flaggy"
	"github.com/rcrowley/go-metrics"

	"hyssopreach/internal/state/settings"
	"hyssopreach/internal/transport/logline"
	"hyssopreach/internal/transport/router"
)

// drainTimeout bounds a drain. The platform removes the VM after this time.
const drainTimeout = 10 * time.Minute

// gcPercent is the garbage collector's target percentage: the heap grows to five
// times the live data before a collection. The live data is small and bounded by
// the limits in the settings.
const gcPercent = 400

// memoryMargin is the memory in bytes that a router needs in addition to the
// request and response bodies that it holds.
const memoryMargin = 128 << 20

// memoryLimit returns the soft memory limit of the Go runtime in bytes, above
// which garbage is collected more often.
func memoryLimit(l *settings.Limits) int64 {
	return l.WaitingBytes + l.KeptAnswerBytes + memoryMargin
}

// routerCommand runs a router.
type routerCommand struct {
	settingsFile string
}

// Subcommand declares the command's flags.
func (c *routerCommand) Subcommand() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("router")
	s.Description = "Run a router. SIGTERM or SIGINT drains and stops it; a second signal stops it at once."
	s.AddPositionalValue(&c.settingsFile, "SETTINGS", 1, true, "The router's settings, a JSON file.")
	return s
}

// Run runs the router until a signal stops it.
func (c *routerCommand) Run(ctx context.Context, e *Environment) error {
	data, err := os.ReadFile(c.settingsFile)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("read settings: %w", err)}
	}
	parsed, err := settings.Parse(data)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("settings %s: %w", c.settingsFile, err)}
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit(&parsed.Limits))
	logWriter := logline.NewWriter(e.Err)
	defer func() { _ = logWriter.Close() }()
	logger := &log.Logger{Handler: logfmt.New(logWriter), Level: log.InfoLevel}
	// Broken invariants are counted for the whole process and logged through the
	// default logger.
	log.SetHandler(logger.Handler)
	r, err := router.Start(ctx, router.Options{
		Settings: parsed, Incarnation: uint64(time.Now().UnixNano()),
		Network: router.NewNetwork(parsed.PeerAddress.Addr()), Logger: logger, Registry: metrics.DefaultRegistry,
	})
	if err != nil {
		return err
	}
	<-e.Signals
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	go func() {
		select {
		case <-e.Signals:
			cancel()
		case <-drainCtx.Done():
		}
	}()
	return r.Drain(drainCtx)
}
