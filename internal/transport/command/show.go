package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/state/text"
	"hyssopreach/internal/transport/router"
)

// askTimeout bounds one question to a router.
const askTimeout = 5 * time.Second

// showCommand tells what is in force, where and since when.
type showCommand struct {
	operator string
	text     bool
	json     bool
}

// Subcommand declares the command's flags.
func (c *showCommand) Subcommand() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("show")
	s.Description = "Tell which revision is in force, on which routers and since when, and which routers lag."
	s.AddPositionalValue(&c.operator, "ROUTER", 1, true, "The OperatorAddress of any router.")
	s.Bool(&c.text, "x", "text", "Print the text in force instead; the revision goes to standard error.")
	s.Bool(&c.json, "j", "json", "Print the answer as JSON.")
	s.AdditionalHelpAppend = "\nExit codes: 0 all routers have it in force, 1 failed, 2 wrong command line, 6 some routers lag."
	return s
}

// Run asks the router.
func (c *showCommand) Run(ctx context.Context, e *Environment) error {
	if _, err := netip.ParseAddrPort(c.operator); err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("ROUTER needs an address such as 10.0.0.1:8082: %w", err)}
	}
	var status router.FleetStatus
	if err := askRouter(ctx, c.operator, router.PathFleet, &status); err != nil {
		return err
	}
	if c.text {
		return c.printText(ctx, e, status.Revision)
	}
	if err := c.print(e, &status); err != nil {
		return err
	}
	if lagging := status.Lagging(status.Revision); len(lagging) > 0 {
		return &ExitError{ExitNotEverywhere, fmt.Errorf("behind revision %d, or silent: %s", status.Revision, names(lagging))}
	}
	return nil
}

func (c *showCommand) printText(ctx context.Context, e *Environment, r uint64) error {
	data, err := get(ctx, c.operator, router.PathText)
	if err != nil {
		return err
	}
	if _, err := e.Out.Write(data); err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.Err, "revision %d is in force; a text that changes it has BasedOn %d\n", r, r)
	return err
}

func (c *showCommand) print(e *Environment, status *router.FleetStatus) error {
	if c.json {
		encoder := json.NewEncoder(e.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(status)
	}
	if status.Revision == 0 {
		_, err := fmt.Fprintln(e.Out, "no text is in force")
		return err
	}
	if _, err := fmt.Fprintf(e.Out, "revision %d is in force since %s\n", status.Revision, status.InForceSince.Format(time.RFC3339)); err != nil {
		return err
	}
	table := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	// A tabwriter keeps its first error until Flush.
	_, _ = fmt.Fprintln(table, "Router\tFailureDomain\tRevision\tState")
	for i := range status.Routers {
		one := &status.Routers[i]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", one.Router, one.FailureDomain, one.Revision, state(one, status.Revision))
	}
	return table.Flush()
}

func state(one *router.MemberRevision, r uint64) string {
	var words []string
	if !one.Answered {
		words = append(words, "silent")
	}
	if one.Revision < r {
		words = append(words, "behind")
	}
	if one.Draining {
		words = append(words, "draining")
	}
	if one.Suspected {
		words = append(words, "suspected")
	}
	if len(words) == 0 {
		return "in force"
	}
	return strings.Join(words, ", ")
}

func names(routers []router.MemberRevision) string {
	all := make([]string, len(routers))
	for i := range routers {
		all[i] = string(routers[i].Router)
	}
	return strings.Join(all, ", ")
}

// askRouter reads JSON from a router's OperatorAddress.
func askRouter(ctx context.Context, address, path string, into any) error {
	data, err := get(ctx, address, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("read %s of the router at %s: %w", path, address, err)
	}
	return nil
}

func get(ctx context.Context, address, path string) (data []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("ask the router at %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ask the router at %s: %w", address, err)
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask the router at %s for %s: status %s", address, path, response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, text.MaxBytes))
}
