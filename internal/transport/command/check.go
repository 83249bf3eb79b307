package command

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/state/text"
)

// checkCommand validates an operators' text without publishing it.
type checkCommand struct {
	file string
}

// Subcommand declares the command's flags.
func (c *checkCommand) Subcommand() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("check")
	s.Description = "Report every fault in an operators' text: its path, the value found and the values allowed."
	s.AddPositionalValue(&c.file, "FILE", 1, true, "The operators' text, a JSON file.")
	return s
}

// Run validates the text.
func (c *checkCommand) Run(_ context.Context, e *Environment) error {
	data, err := os.ReadFile(c.file)
	if err != nil {
		return &ExitError{ExitUsage, fmt.Errorf("read the text: %w", err)}
	}
	doc, err := text.Parse(data)
	if err != nil {
		return &ExitError{ExitInvalid, fmt.Errorf("%s cannot be published:\n%w", c.file, err)}
	}
	_, err = fmt.Fprintf(e.Out, "%s is valid: %d organisations, %d services, %d pools, %d models, %d rehearsals, based on revision %d\n",
		c.file, len(doc.Organisations), len(doc.Services), len(doc.Pools), len(doc.Models), len(doc.Rehearsals), doc.BasedOn)
	return err
}
