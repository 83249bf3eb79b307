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

// queryTimeout bounds one query to a router.
const queryTimeout = 5 * time.Second

// showCommand reports which revision is in force, on which routers and since
// when.
type showCommand struct {
	operatorAddress string
	text            bool
	json            bool
}

// Subcommand declares the command's flags.
func (c *showCommand) Subcommand() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("show")
	s.Description = "Report which revision is in force, on which routers and since when, and which routers lag."
	s.AddPositionalValue(&c.operatorAddress, "ROUTER", 1, true, "The OperatorAddress of any router.")
	s.Bool(&c.text, "x", "text", "Print the text in force instead; the revision is printed to standard error.")
	s.Bool(&c.json, "j", "json", "Print the status as JSON.")
	s.AdditionalHelpAppend = "\nExit codes: 0 the revision is in force on all routers, 1 failed, 2 wrong command line, 6 some routers lag."
	return s
}

// Run queries the router and prints the result.
func (c *showCommand) Run(ctx context.Context, e *Environment) error {
	if _, err := netip.ParseAddrPort(c.operatorAddress); err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("ROUTER needs an address such as 10.0.0.1:8082: %w", err)}
	}
	var status router.FleetStatus
	if err := queryRouter(ctx, c.operatorAddress, router.PathFleet, &status); err != nil {
		return err
	}
	if c.text {
		return c.printText(ctx, e, status.Revision)
	}
	if err := c.print(e, &status); err != nil {
		return err
	}
	if lagging := status.Lagging(status.Revision); len(lagging) > 0 {
		return &ExitError{ExitNotEverywhere, fmt.Errorf("behind revision %d, or silent: %s", status.Revision, routerNames(lagging))}
	}
	return nil
}

func (c *showCommand) printText(ctx context.Context, e *Environment, r uint64) error {
	data, err := get(ctx, c.operatorAddress, router.PathText)
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
	// The tabwriter buffers its output and returns the first error from Flush.
	_, _ = fmt.Fprintln(table, "Router\tFailureDomain\tRevision\tState")
	for i := range status.Routers {
		member := &status.Routers[i]
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", member.Router, member.FailureDomain, member.Revision, memberState(member, status.Revision))
	}
	return table.Flush()
}

// memberState describes the state of a router relative to revision r.
func memberState(member *router.MemberRevision, r uint64) string {
	var states []string
	if !member.Answered {
		states = append(states, "silent")
	}
	if member.Revision < r {
		states = append(states, "behind")
	}
	if member.Draining {
		states = append(states, "draining")
	}
	if member.Suspected {
		states = append(states, "suspected")
	}
	if len(states) == 0 {
		return "in force"
	}
	return strings.Join(states, ", ")
}

func routerNames(routers []router.MemberRevision) string {
	all := make([]string, len(routers))
	for i := range routers {
		all[i] = string(routers[i].Router)
	}
	return strings.Join(all, ", ")
}

// queryRouter decodes the JSON document at the path of a router's OperatorAddress
// into target.
func queryRouter(ctx context.Context, address, path string, target any) error {
	data, err := get(ctx, address, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("decode %s of the router at %s: %w", path, address, err)
	}
	return nil
}

func get(ctx context.Context, address, path string) (data []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("query the router at %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("query the router at %s: %w", address, err)
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("query the router at %s for %s: status %s, want 200 OK", address, path, response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, text.MaxBytes))
}
