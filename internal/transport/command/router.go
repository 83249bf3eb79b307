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

// drainTimeout bounds a planned stop; the platform takes the VM away after it.
const drainTimeout = 10 * time.Minute

// collectPercent lets the heap grow to five times what is live before garbage
// is collected. What is live is small, and bounded by the settings' limits.
const collectPercent = 400

// memoryMargin is the memory beside the bodies that callers make a router hold,
// in bytes.
const memoryMargin = 128 << 20

// memoryLimit is the memory above which garbage is collected more often.
func memoryLimit(l *settings.Limits) int64 {
	return l.WaitingBytes + l.KeptAnswerBytes + memoryMargin
}

// routerCommand runs the daemon.
type routerCommand struct {
	settingsFile string
}

// Subcommand declares the command's flags.
func (c *routerCommand) Subcommand() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("router")
	s.Description = "Run a router until SIGTERM asks for a planned stop; a second signal ends it at once."
	s.AddPositionalValue(&c.settingsFile, "SETTINGS", 1, true, "The router's settings, a JSON file.")
	return s
}

// Run runs the router until it is asked to stop.
func (c *routerCommand) Run(ctx context.Context, e *Environment) error {
	data, err := os.ReadFile(c.settingsFile)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("read settings: %w", err)}
	}
	parsed, err := settings.Parse(data)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("settings %s: %w", c.settingsFile, err)}
	}
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(memoryLimit(&parsed.Limits))
	lines := logline.NewWriter(e.Err)
	defer func() { _ = lines.Close() }()
	logger := &log.Logger{Handler: logfmt.New(lines), Level: log.InfoLevel}
	// Broken invariants are logged and counted by the process as a whole.
	log.SetHandler(logger.Handler)
	r, err := router.Start(ctx, router.Options{
		Settings: parsed, Incarnation: uint64(time.Now().UnixNano()),
		Network: router.NewNetwork(parsed.PeerAddress.Addr()), Logger: logger, Registry: metrics.DefaultRegistry,
	})
	if err != nil {
		return err
	}
	<-e.Signals
	draining, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	go func() {
		select {
		case <-e.Signals:
			cancel()
		case <-draining.Done():
		}
	}()
	return r.Drain(draining)
}
