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

// defaultPublishTimeout bounds a publish unless a flag says otherwise.
const defaultPublishTimeout = 30 * time.Second

// publishCommand publishes a text and tells what became of it.
type publishCommand struct {
	file     string
	log      string
	wait     bool
	operator string
	timeout  time.Duration
}

// Subcommand declares the command's flags.
func (c *publishCommand) Subcommand() *flaggy.Subcommand {
	c.timeout = defaultPublishTimeout
	s := flaggy.NewSubcommand("publish")
	s.Description = "Publish an operators' text, and say whether it was accepted, lost the race to another, or was refused."
	s.AddPositionalValue(&c.file, "FILE", 1, true, "The operators' text; its BasedOn names the revision that it changes.")
	s.String(&c.log, "l", "log", "The log's address, such as 10.0.9.1:9000. Needed.")
	s.Bool(&c.wait, "w", "wait", "Wait until the text is in force on all routers; needs --router.")
	s.String(&c.operator, "r", "router", "The OperatorAddress of any router, for --wait.")
	s.Duration(&c.timeout, "t", "timeout", "Give up after this time.")
	s.AdditionalHelpAppend = `
Exit codes: 0 accepted (and with --wait in force everywhere), 1 failed, 2 wrong
command line, 3 the text has faults or was refused, 4 lost the race, 5 the fate
is unknown, 6 accepted, yet not in force everywhere in time.`
	return s
}

// Run publishes the text.
func (c *publishCommand) Run(ctx context.Context, e *Environment) error {
	address, err := netip.ParseAddrPort(c.log)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("--log needs an address such as 10.0.9.1:9000: %w", err)}
	}
	if c.wait && c.operator == "" {
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
	if err := fate(e, out); err != nil || !c.wait {
		return err
	}
	return c.awaitEverywhere(ctx, e, out.Revision)
}

func publishError(file string, err error) error {
	var problems problem.Problems
	if errors.As(err, &problems) {
		return &ExitError{ExitInvalid, fmt.Errorf("%s was not published:\n%w", file, err)}
	}
	var unknown *publication.UnknownError
	if errors.As(err, &unknown) && unknown.Appended {
		return &ExitError{ExitUnknown, fmt.Errorf("%w; \"hyssopreach show\" tells what is in force", err)}
	}
	return err
}

// fate tells what the log's order decided.
func fate(e *Environment, out revision.Outcome) error {
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

// fleetPoll is the time between two questions to the fleet.
const fleetPoll = 200 * time.Millisecond

func (c *publishCommand) awaitEverywhere(ctx context.Context, e *Environment, r uint64) error {
	for {
		var status router.FleetStatus
		err := askRouter(ctx, c.operator, router.PathFleet, &status)
		if err == nil && len(status.Lagging(r)) == 0 {
			_, err := fmt.Fprintf(e.Out, "in force on all %d routers\n", len(status.Routers))
			return err
		}
		select {
		case <-ctx.Done():
			if err != nil {
				return &ExitError{ExitNotEverywhere, fmt.Errorf("accepted, but the routers could not be asked: %w", err)}
			}
			return &ExitError{ExitNotEverywhere, fmt.Errorf("accepted, but not in force in time on %s", names(status.Lagging(r)))}
		case <-time.After(fleetPoll):
		}
	}
}
