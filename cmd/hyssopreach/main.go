// Command hyssopreach is a router of a fleet that shares model capacity fairly
// among organisations, and the tool with which operators manage it.
package main

import (
	"os"

	"hyssopreach/internal/tool/demo"
	"hyssopreach/internal/tool/outcome"
	"hyssopreach/internal/tool/trace"
	"hyssopreach/internal/transport/command"
	"hyssopreach/platform"
	"hyssopreach/platform/check"
)

func main() {
	os.Exit(command.Run("hyssopreach", "A router fleet that shares model capacity fairly among organisations.",
		append(command.Commands(), &demo.Command{}, &trace.Command{}, &outcome.Command{Floors: platform.Floors}, &platform.Command{}, &check.Command{}), os.Args[1:]))
}
