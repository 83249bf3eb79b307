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
	// ExitDone means that the command did what it was asked.
	ExitDone = 0
	// ExitFailed means that it could not.
	ExitFailed = 1
	// ExitUsage means that the command line or its input is wrong.
	ExitUsage = 2
	// ExitInvalid means that a text has faults or was refused.
	ExitInvalid = 3
	// ExitLostRace means that another text came into force first.
	ExitLostRace = 4
	// ExitUnknown means that it could not be learnt what became of a text.
	ExitUnknown = 5
	// ExitNotEverywhere means that some routers do not have a text in force.
	ExitNotEverywhere = 6
)

// Environment is what a command may use of its process.
type Environment struct {
	Out io.Writer
	Err io.Writer
	// Signals delivers the requests to stop: the first asks for a planned
	// stop, the second for an immediate one.
	Signals <-chan os.Signal
}

// Command is one subcommand.
type Command interface {
	// Subcommand declares the flags, whose values Run finds set.
	Subcommand() *flaggy.Subcommand
	Run(ctx context.Context, e *Environment) error
}

// ExitError is an error with an exit code of its own.
type ExitError struct {
	Code int
	Err  error
}

// Error describes the failure.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Commands returns the commands of the router binary.
func Commands() []Command {
	return []Command{&routerCommand{}, &checkCommand{}, &publishCommand{}, &showCommand{}}
}

// Run parses the arguments and runs the command that they name. It returns
// the exit code.
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
	// There is nowhere left to report a failure to write to standard error.
	_, _ = fmt.Fprintln(e.Err, err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}
