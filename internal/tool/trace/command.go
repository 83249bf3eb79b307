package trace

import (
	"context"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/transport/command"
)

// maxFiles bounds the number of logs that one command reads.
const maxFiles = 512

// Command is the trace subcommand, which prints the log lines of one subject.
type Command struct {
	subject, from, to string
	files             [maxFiles]string
}

// Subcommand declares the command's flags.
func (c *Command) Subcommand() *flaggy.Subcommand {
	s := flaggy.NewSubcommand("trace")
	s.Description = "Print the lines of routers' logs that name a request, an organisation, an endpoint or a router: trace SUBJECT FILE..."
	s.AddPositionalValue(&c.subject, "SUBJECT", 1, true, "The id of a request, or the name of an organisation, an endpoint or a router.")
	s.String(&c.from, "", "from", "The earliest instant, such as 2026-01-02T15:04:05Z.")
	s.String(&c.to, "", "to", "The latest instant.")
	for i := range c.files {
		s.AddPositionalValue(&c.files[i], "FILE", i+2, i == 0, "A router's log; more may follow.")
		s.PositionalFlags[i+1].Hidden = i > 0
	}
	return s
}

// Run reads the logs and prints the lines of the subject.
func (c *Command) Run(_ context.Context, e *command.Environment) error {
	q := &Query{Subject: c.subject}
	for _, name := range c.files {
		if name != "" {
			q.Files = append(q.Files, name)
		}
	}
	var err error
	if q.From, err = parseInstant(c.from); err == nil {
		q.To, err = parseInstant(c.to)
	}
	if err != nil {
		return &command.ExitError{Code: command.ExitUsage, Err: fmt.Errorf("trace %s: %w", c.subject, err)}
	}
	r, err := Gather(q)
	if err != nil {
		return err
	}
	return r.Write(e.Out)
}

func parseInstant(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339Nano, text)
}
