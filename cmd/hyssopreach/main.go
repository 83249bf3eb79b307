// Command hyssopreach is a router of a fleet that shares model capacity fairly
// among organisations, and the tool by which operators drive it.
package main

import (
	"os"

	"hyssopreach/internal/tool/demo"
	"hyssopreach/internal/transport/command"
)

func main() {
	os.Exit(command.Run("hyssopreach", "A router fleet that shares model capacity fairly among organisations.",
		append(command.Commands(), &demo.Command{}), os.Args[1:]))
}
