package command

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/tool/rig"
)

func writeText(t *testing.T, data string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "text.json")
	if err := os.WriteFile(file, []byte(data), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// runCommand returns the output and the exit code of the command.
func runCommand(t *testing.T, c Command) (string, int) {
	t.Helper()
	var out, errs bytes.Buffer
	e := &Environment{Out: &out, Err: &errs}
	code := exitCode(e, c.Run(context.Background(), e))
	return out.String() + errs.String(), code
}

func document(basedOn int) string {
	return fmt.Sprintf(`{"FormatVersion":1,"BasedOn":%d,"Organisations":[{"Name":"clinic","Weight":1}]}`, basedOn)
}

// TestCheckReportsAllFaults checks that one run reports every fault of a text with
// its path, and distinguishes a faulty text from an unreadable file.
func TestCheckReportsAllFaults(t *testing.T) {
	is := is.New(t)
	output, code := runCommand(t, &checkCommand{file: writeText(t, document(3))})
	is.Equal(code, ExitDone)
	is.True(strings.Contains(output, "1 organisations"))
	output, code = runCommand(t, &checkCommand{file: writeText(t, `{"FormatVersion":1,"Extra":1,"Organisations":[{"Name":"a b"}]}`)})
	is.Equal(code, ExitInvalid)
	for _, path := range []string{"Extra: ", "Organisations[0].Name: ", "Organisations[0].Weight: "} {
		is.True(strings.Contains(output, path))
	}
	_, code = runCommand(t, &checkCommand{file: "/nowhere"})
	is.Equal(code, ExitUsage)
}

// TestPublishAndShow runs publish and show against three routers, and checks the
// output and the exit code of each outcome.
func TestPublishAndShow(t *testing.T) {
	is := is.New(t)
	domains := []string{"Kharagpur", "Kolkata"}
	r, err := rig.Start(context.Background(), rig.Options{
		Document: rig.NewDocument(2, 1, 0, domains), Routers: 3, FailureDomains: domains,
		Platform: fleet.Default(), EntryHold: time.Second, Logger: &log.Logger{Handler: discard.New()},
	})
	is.NoErr(err)
	defer func() { is.NoErr(r.Close()) }()
	operatorAddress := r.Routers[0].OperatorAddress().String()
	publish := func(data string) *publishCommand {
		return &publishCommand{
			file: writeText(t, data), log: r.Platform.Log.Address().String(), wait: true, operatorAddress: operatorAddress, timeout: time.Minute,
		}
	}
	output, code := runCommand(t, publish(document(1)))
	is.Equal(code, ExitDone)
	is.True(strings.Contains(output, "accepted as revision 2"))
	is.True(strings.Contains(output, "in force on all 3 routers"))
	output, code = runCommand(t, publish(document(1)))
	is.Equal(code, ExitLostRace)
	is.True(strings.Contains(output, "lost the race to revision 2"))
	_, code = runCommand(t, publish(document(9)))
	is.Equal(code, ExitInvalid)
	output, code = runCommand(t, &showCommand{operatorAddress: operatorAddress})
	for code == ExitNotEverywhere { // a router may answer late
		output, code = runCommand(t, &showCommand{operatorAddress: operatorAddress})
	}
	is.Equal(code, ExitDone)
	is.True(strings.Contains(output, "revision 2 is in force since"))
	is.Equal(strings.Count(output, "in force"), 4) // the heading and three routers
	output, code = runCommand(t, &showCommand{operatorAddress: operatorAddress, text: true})
	is.Equal(code, ExitDone)
	is.True(strings.HasPrefix(output, document(1)))
}

// TestInvalidArgumentsExitWithUsage checks that invalid addresses and a missing
// flag yield ExitUsage.
func TestInvalidArgumentsExitWithUsage(t *testing.T) {
	is := is.New(t)
	for _, c := range []Command{
		&publishCommand{log: "nowhere"},
		&publishCommand{log: "127.0.0.1:1", wait: true},
		&showCommand{operatorAddress: "nowhere"},
	} {
		var exit *ExitError
		is.True(errors.As(c.Run(context.Background(), &Environment{}), &exit))
		is.Equal(exit.Code, ExitUsage)
	}
}
