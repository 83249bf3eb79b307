// Command hyssopreach-measure measures whether the system keeps its published
// guarantees. It compares the system with baseline schedulers under the same
// load in the same run, and checks the figures against the bounds in the JSON
// files in its directory. It exits with 1 if a figure misses its bound, and
// with 2 if a measurement fails.
//
// Scene A is the present production load of model calls, scene B is a load of
// short calls to plain services, some of them urgent, and scene C is scene A with
// injected faults.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// command is a subcommand. Its run function prints the figures and returns a
// description of each bound that was missed.
type command struct {
	subcommand *flaggy.Subcommand
	run        func() ([]string, error)
}

func main() {
	flaggy.SetName("hyssopreach-measure")
	flaggy.SetDescription("measures the system against its performance and correctness bounds")
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
		findingsCommand(),
	}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.subcommand, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.subcommand.Used {
			os.Exit(reportMissed(c.run()))
		}
	}
	flaggy.ShowHelpAndExit("no subcommand given")
}

// reportMissed prints the missed bounds or the error and returns the exit code.
func reportMissed(missed []string, err error) int {
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
