// Command hyssopreach-measure measures the promises of the system, compares
// with baselines on the same load in the same run, and checks the figures
// against the bounds in the JSON files beside it. It exits with 1 when a figure misses its
// bound.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// command is a subcommand: run prints its figures and returns the bounds that
// were missed.
type command struct {
	parse *flaggy.Subcommand
	run   func() ([]string, error)
}

func main() {
	flaggy.SetName("hyssopreach-measure")
	flaggy.SetDescription("measures the promises of the system against bounds")
	flaggy.SetVersion("1")
	commands := []command{
		fairnessCommand(),
		urgentCommand(),
		faultsCommand(),
		controlCommand(),
		latencyCommand(),
		claimsCommand(),
		stopCommand(),
		leavingCommand(),
		capacityCommand(),
		decisionsCommand(),
		sceneCommand(),
		configurationCommand(),
		membershipCommand(),
	}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.parse, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.parse.Used {
			os.Exit(finish(c.run()))
		}
	}
	flaggy.ShowHelpAndExit("name a subcommand")
}

// finish prints what was missed and returns the exit code.
func finish(missed []string, err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, "hyssopreach-measure:", err)
		return 2
	}
	for _, m := range missed {
		fmt.Fprintln(os.Stderr, "missed:", m)
	}
	if len(missed) > 0 {
		return 1
	}
	fmt.Println("all bounds hold")
	return 0
}
