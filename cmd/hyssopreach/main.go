// Command hyssopreach is a router of a fleet that shares model capacity fairly
// among organisations, and the tool by which operators drive it.
package main

import (
	"os"

	"hyssopreach/internal/transport/command"
)

func main() {
	os.Exit(command.Run("hyssopreach", "A router fleet that shares model capacity fairly among organisations.",
		command.Commands(), os.Args[1:]))
}
