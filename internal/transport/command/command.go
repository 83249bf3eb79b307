package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// The exit codes of every command.
const (
	// ExitDone means that the command succeeded.
	ExitDone = 0
	// ExitFailed means that the command failed for a reason without a code of
	// its own.
	ExitFailed = 1
	// ExitUsage means that the command line or an input file is invalid.
	ExitUsage = 2
	// ExitInvalid means that an operators' text has faults or was refused.
	ExitInvalid = 3
	// ExitLostRace means that another text came into force first.
	ExitLostRace = 4
	// ExitUnknown means that the outcome of publishing a text is unknown.
	ExitUnknown = 5
	// ExitNotEverywhere means that the text is not in force on some routers, or
	// that their state is unknown.
	ExitNotEverywhere = 6
)

// Environment is the part of the process environment that commands use.
type Environment struct {
	Out io.Writer
	Err io.Writer
	// Signals delivers SIGINT and SIGTERM. The first signal starts a drain. With
	// the router command, a second signal stops the router at once.
	Signals <-chan os.Signal
}

// Command is one subcommand.
type Command interface {
	// Subcommand declares the flags. Their values are set when Run is called.
	Subcommand() *flaggy.Subcommand
	Run(ctx context.Context, e *Environment) error
}

// ExitError is an error with a specific exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the underlying error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error { return e.Err }

// Commands returns the commands of the router binary.
func Commands() []Command {
	return []Command{&routerCommand{}, &checkCommand{}, &publishCommand{}, &showCommand{}}
}

// Run parses the arguments, runs the subcommand that they name, and returns the
// exit code.
func Run(name, description string, commands []Command, args []string) int {
	parser := flaggy.NewParser(name)
	parser.Description = description
	parser.DisableShowVersionWithVersion()
	subcommands := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		subcommands[i] = c.Subcommand()
		parser.AttachSubcommand(subcommands[i], 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	e := &Environment{Out: os.Stdout, Err: os.Stderr, Signals: signals}
	for i, s := range subcommands {
		if s.Used {
			return exitCode(e, commands[i].Run(context.Background(), e))
		}
	}
	parser.ShowHelpWithMessage("Name one of the subcommands.")
	return ExitUsage
}

func exitCode(e *Environment, err error) int {
	if err == nil {
		return ExitDone
	}
	// A failure to write to standard error cannot be reported.
	_, _ = fmt.Fprintln(e.Err, err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}
