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

func write(t *testing.T, data string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "text.json")
	if err := os.WriteFile(file, []byte(data), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// run returns what the command printed and its exit code.
func run(t *testing.T, c Command) (string, int) {
	t.Helper()
	var out, errs bytes.Buffer
	e := &Environment{Out: &out, Err: &errs}
	code := exitCode(e, c.Run(context.Background(), e))
	return out.String() + errs.String(), code
}

func document(basedOn int) string {
	return fmt.Sprintf(`{"FormatVersion":1,"BasedOn":%d,"Organisations":[{"Name":"clinic","Weight":1}]}`, basedOn)
}

func TestCheckTellsAllFaults(t *testing.T) {
	is := is.New(t)
	said, code := run(t, &checkCommand{file: write(t, document(3))})
	is.Equal(code, ExitDone)
	is.True(strings.Contains(said, "1 organisations"))
	said, code = run(t, &checkCommand{file: write(t, `{"FormatVersion":1,"Extra":1,"Organisations":[{"Name":"a b"}]}`)})
	is.Equal(code, ExitInvalid)
	for _, path := range []string{"Extra: ", "Organisations[0].Name: ", "Organisations[0].Weight: "} {
		is.True(strings.Contains(said, path))
	}
	_, code = run(t, &checkCommand{file: "/nowhere"})
	is.Equal(code, ExitUsage)
}

func TestPublishAndShow(t *testing.T) {
	is := is.New(t)
	domains := []string{"Kharagpur", "Kolkata"}
	r, err := rig.Start(context.Background(), rig.Options{
		Document: rig.Document(2, 1, 0, domains), Routers: 3, FailureDomains: domains,
		Platform: fleet.Default(), EntryHold: time.Second, Logger: &log.Logger{Handler: discard.New()},
	})
	is.NoErr(err)
	defer func() { is.NoErr(r.Close()) }()
	operator := r.Routers[0].OperatorAddress().String()
	publish := func(data string) *publishCommand {
		return &publishCommand{
			file: write(t, data), log: r.Platform.Log.Address().String(), wait: true, operator: operator, timeout: time.Minute,
		}
	}
	said, code := run(t, publish(document(1)))
	is.Equal(code, ExitDone)
	is.True(strings.Contains(said, "accepted as revision 2"))
	is.True(strings.Contains(said, "in force on all 3 routers"))
	said, code = run(t, publish(document(1)))
	is.Equal(code, ExitLostRace)
	is.True(strings.Contains(said, "lost the race to revision 2"))
	_, code = run(t, publish(document(9)))
	is.Equal(code, ExitInvalid)
	said, code = run(t, &showCommand{operator: operator})
	for code == ExitNotEverywhere { // a router that is slow to answer
		said, code = run(t, &showCommand{operator: operator})
	}
	is.Equal(code, ExitDone)
	is.True(strings.Contains(said, "revision 2 is in force since"))
	is.Equal(strings.Count(said, "in force"), 4) // the heading and three routers
	said, code = run(t, &showCommand{operator: operator, text: true})
	is.Equal(code, ExitDone)
	is.True(strings.HasPrefix(said, document(1)))
}

func TestCommandLineFaultsAreUsage(t *testing.T) {
	is := is.New(t)
	for _, c := range []Command{
		&publishCommand{log: "nowhere"},
		&publishCommand{log: "127.0.0.1:1", wait: true},
		&showCommand{operator: "nowhere"},
	} {
		var exit *ExitError
		is.True(errors.As(c.Run(context.Background(), &Environment{}), &exit))
		is.Equal(exit.Code, ExitUsage)
	}
}
