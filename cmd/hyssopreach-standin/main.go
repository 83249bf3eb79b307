// Command hyssopreach-standin starts stand-ins for the platform's services and
// for endpoints, for manual tests. It stops on SIGINT or SIGTERM.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// standIn is a server that stands in for a platform service or an endpoint.
type standIn interface {
	Start(address netip.AddrPort) error
	Address() netip.AddrPort
	Close() error
}

// command is a subcommand. Its run function serves until the context ends.
type command struct {
	subcommand *flaggy.Subcommand
	run        func(ctx context.Context) error
}

func main() {
	flaggy.SetName("hyssopreach-standin")
	flaggy.SetDescription("starts a stand-in for a platform service or an endpoint")
	flaggy.SetVersion("1")
	commands := []command{
		journalCommand(), vmListCommand(), weightsCommand(),
		engineCommand(), plainCommand(), allCommand(),
	}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.subcommand, 1)
	}
	flaggy.Parse()
	os.Exit(run(commands))
}

// run runs the chosen subcommand until it fails or a signal arrives, and
// returns the exit code.
func run(commands []command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if !c.subcommand.Used {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "hyssopreach-standin:", err)
			return exitFailure
		}
		return 0
	}
	fmt.Fprintln(os.Stderr, "hyssopreach-standin: no subcommand given; see --help")
	return exitUsage
}

// serve runs a stand-in until the context ends.
func serve(ctx context.Context, name string, s standIn, address netip.AddrPort) error {
	if err := s.Start(address); err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	report("Started", "StandIn="+name, "Address="+s.Address().String())
	<-ctx.Done()
	err := s.Close()
	report("Stopped", "StandIn="+name)
	return err
}

// report prints an event to standard error as a line of key=value pairs.
func report(event string, pairs ...string) {
	fmt.Fprintln(os.Stderr, "Event="+event, strings.Join(pairs, " "))
}
