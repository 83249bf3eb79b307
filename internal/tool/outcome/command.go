package outcome

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/transport/command"
)

const (
	// maxFiles bounds the number of logs that one command reads.
	maxFiles = 512
	// minRequests is the number of requests below which a class is not printed: all
	// requests without prompts of a class count as one.
	minRequests = 50
	// maxOrganisations is the number of organisations that are printed, the least
	// served ones.
	maxOrganisations = 10
)

// Command is the outcomes subcommand, which prints the part of the requests that
// was served, by class, size, part of the prompt and organisation.
type Command struct {
	// Floors must be set.
	Floors Floors
	files  [maxFiles]string
}

// Subcommand declares the command's flags.
func (c *Command) Subcommand() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("outcomes")
	s.Description = "Print, from routers' logs, the part of the requests that was served, by class, size, part of the prompt and organisation: outcomes FILE..."
	for i := range c.files {
		s.AddPositionalValue(&c.files[i], "FILE", i+1, i == 0, "A router's log; more may follow.")
		s.PositionalFlags[i].Hidden = i > 0
	}
	return s
}

// Run reads the logs and prints the outcomes.
func (c *Command) Run(_ context.Context, e *command.Environment) error {
	counter := NewCounter(c.Floors)
	for _, name := range c.files {
		if name == "" {
			continue
		}
		if err := counter.ReadFile(name); err != nil {
			return err
		}
	}
	return counter.Write(e.Out)
}

// Write prints the outcomes of all classes, and of the organisations that were
// served least.
func (c *Counter) Write(w io.Writer) error {
	var b strings.Builder
	for _, o := range c.Classes() {
		if o.All.Requests < minRequests {
			continue
		}
		fmt.Fprintf(&b, "%s: %d requests, served %.2f; of the largest tenth %.2f, of the fifth below %.2f\n",
			o.Class, o.All.Requests, o.All.ServedShare(), o.LargestTenth(), o.FifthBelow())
		for i := range o.Tenths {
			fmt.Fprintf(&b, "  up to %7d  %.2f  %s\n", o.LargestIn[i], o.Tenths[i].ServedShare(), formatRefusals(&o.Tenths[i]))
		}
		shared, own := c.Parts(o.Class, true), c.Parts(o.Class, false)
		fmt.Fprintf(&b, "  parts requested throughout: %d shared, %d never served; %d of sessions, %d never served\n",
			shared.Requested, shared.NeverServed, own.Requested, own.NeverServed)
	}
	organisations := c.Organisations()
	for _, o := range organisations[:min(len(organisations), maxOrganisations)] {
		fmt.Fprintf(&b, "%s: %d requests, served %.2f  %s\n", o.Organisation, o.All.Requests, o.All.ServedShare(), formatRefusals(&o.All))
	}
	if c.Unparsed > 0 {
		fmt.Fprintf(&b, "%d lines could not be parsed\n", c.Unparsed)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// formatRefusals returns the number of refusals for each request, by cause.
func formatRefusals(g *Group) string {
	var parts []string
	for _, cause := range slices.Sorted(maps.Keys(g.Refusals)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", cause, float64(g.Refusals[cause])/float64(max(g.Requests, 1))))
	}
	return strings.Join(parts, ", ")
}
