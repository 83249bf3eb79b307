package command

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"

	"hyssopreach/internal/state/problem"
	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/transport/platform"
	"hyssopreach/internal/transport/publication"
	"hyssopreach/internal/transport/router"
)

// defaultPublishTimeout bounds the publish command unless --timeout is given.
const defaultPublishTimeout = 30 * time.Second

// publishCommand publishes an operators' text and reports the outcome.
type publishCommand struct {
	file            string
	log             string
	wait            bool
	operatorAddress string
	timeout         time.Duration
}

// Subcommand declares the command's flags.
func (c *publishCommand) Subcommand() *flaggy.Subcommand {
	c.timeout = defaultPublishTimeout
	s := flaggy.NewSubcommand("publish")
	s.Description = "Publish an operators' text, and report whether it was accepted, lost the race to another text, or was refused."
	s.AddPositionalValue(&c.file, "FILE", 1, true, "The operators' text; its BasedOn is the revision that it changes.")
	s.String(&c.log, "l", "log", "The log's address, such as 10.0.9.1:9000. Required.")
	s.Bool(&c.wait, "w", "wait", "Wait until the text is in force on all routers; needs --router.")
	s.String(&c.operatorAddress, "r", "router", "The OperatorAddress of any router, for --wait.")
	s.Duration(&c.timeout, "t", "timeout", "The time limit of the command.")
	s.AdditionalHelpAppend = `
Exit codes: 0 accepted (and with --wait in force everywhere), 1 failed, 2 wrong
command line, 3 the text has faults or was refused, 4 lost the race, 5 the
outcome is unknown, 6 accepted, but not in force on all routers in time.`
	return s
}

// Run publishes the text.
func (c *publishCommand) Run(ctx context.Context, e *Environment) error {
	address, err := netip.ParseAddrPort(c.log)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("--log needs an address such as 10.0.9.1:9000: %w", err)}
	}
	if c.wait && c.operatorAddress == "" {
		return &ExitError{ExitUsage, errors.New("--wait needs --router, the OperatorAddress of any router")}
	}
	data, err := os.ReadFile(c.file)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("read the text: %w", err)}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	log := platform.NewLog(address, nil)
	defer func() { _ = log.Close() }()
	out, err := publication.NewPublisher(log, uuid.NewString()).Publish(ctx, data)
	if err != nil {
		return publishError(c.file, err)
	}
	if err := reportOutcome(e, out); err != nil || !c.wait {
		return err
	}
	return c.awaitAllRouters(ctx, e, out.Revision)
}

func publishError(file string, err error) error {
	var problems problem.Problems
	if errors.As(err, &problems) {
		return &ExitError{ExitInvalid, fmt.Errorf("%s was not published:\n%w", file, err)}
	}
	var unknown *publication.UnknownOutcomeError
	if errors.As(err, &unknown) && unknown.Appended {
		return &ExitError{ExitUnknown, fmt.Errorf("%w; \"hyssopreach show\" reports the revision in force", err)}
	}
	return err
}

// reportOutcome prints the revision of an accepted text, and returns an error
// with an exit code for any other outcome.
func reportOutcome(e *Environment, out revision.Outcome) error {
	switch out.Verdict {
	case revision.VerdictAccepted:
		_, err := fmt.Fprintf(e.Out, "accepted as revision %d at offset %d\n", out.Revision, out.Offset)
		return err
	case revision.VerdictLostRace:
		return &ExitError{ExitLostRace, fmt.Errorf(
			"lost the race to revision %d; take its text (\"hyssopreach show --text\"), make the change there, and set BasedOn to %d",
			out.Revision, out.Revision)}
	default:
		return &ExitError{ExitInvalid, fmt.Errorf("refused at offset %d:\n%w", out.Offset, out.Reason)}
	}
}

// fleetPollInterval is the time between two queries for the fleet's status.
const fleetPollInterval = 200 * time.Millisecond

// awaitAllRouters polls a router until revision r is in force on all routers or
// the context ends.
func (c *publishCommand) awaitAllRouters(ctx context.Context, e *Environment, r uint64) error {
	for {
		var status router.FleetStatus
		err := queryRouter(ctx, c.operatorAddress, router.PathFleet, &status)
		if err == nil && len(status.Lagging(r)) == 0 {
			_, err := fmt.Fprintf(e.Out, "in force on all %d routers\n", len(status.Routers))
			return err
		}
		select {
		case <-ctx.Done():
			if err != nil {
				return &ExitError{ExitNotEverywhere, fmt.Errorf("accepted, but the status of the fleet could not be read: %w", err)}
			}
			return &ExitError{ExitNotEverywhere, fmt.Errorf("accepted, but not in force in time on %s", routerNames(status.Lagging(r)))}
		case <-time.After(fleetPollInterval):
		}
	}
}
