package trace

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/transport/command"
)

const (
	firstLog = `  12.1 edge-1 timestamp=2026-01-02T10:00:02Z level=info message=AttemptRetried RequestID=r1 Result=Silent
timestamp=2026-01-02T10:00:01Z level=info message=RequestRouted RequestID=r1 Endpoint=e1#0 Organisation=org Reason="waited=2ms,begins=41ms"
timestamp=2026-01-02T10:00:01Z level=info message=RequestRouted RequestID=r2 Endpoint=e2#0 Organisation=org
a line that is no record
timestamp=2026-01-02T10:0`
	secondLog = `timestamp=2026-01-02T10:00:02.5Z level=info message=EndpointSilent Endpoint=e1#0 Silence=1.2s
timestamp=2026-01-02T10:00:09Z level=info message=EndpointSilent Endpoint=e1#0 Silence=1.2s
timestamp=2026-01-02T10:00:03Z level=warn message=AnswerBroken RequestID=r1 Error="it \"broke\" off"
`
)

func writeLogs(t *testing.T) []string {
	is := is.New(t)
	folder := t.TempDir()
	files := []string{filepath.Join(folder, "first"), filepath.Join(folder, "second")}
	is.NoErr(os.WriteFile(files[0], []byte(firstLog), 0o600))
	is.NoErr(os.WriteFile(files[1], []byte(secondLog), 0o600))
	return files
}

func messages(lines []*Line) string {
	var all []string
	for _, l := range lines {
		all = append(all, l.Message)
	}
	return strings.Join(all, " ")
}

// TestGatherSelectsAndOrdersLines guards against lines that are missing, out of
// order across files or outside the period, against lines about the endpoints of
// subjects that are no requests, and against a failure on truncated lines.
func TestGatherSelectsAndOrdersLines(t *testing.T) {
	files := writeLogs(t)
	for _, tt := range []struct {
		subject, from, lines, endpointLines string
	}{
		{"r1", "", "RequestRouted AttemptRetried AnswerBroken", "EndpointSilent"},
		{"org", "", "RequestRouted RequestRouted", ""},
		{"e1", "", "RequestRouted EndpointSilent EndpointSilent", ""},
		{"e1", "2026-01-02T10:00:05Z", "EndpointSilent", ""},
		{"absent", "", "", ""},
	} {
		is := is.New(t)
		from, err := parseInstant(tt.from)
		is.NoErr(err)
		r, err := Gather(&Query{Subject: tt.subject, From: from, Files: files})
		is.NoErr(err)
		is.Equal(messages(r.Lines), tt.lines)
		is.Equal(messages(r.EndpointLines), tt.endpointLines)
		is.Equal(r.Unparsed, 2) // the line that is no record and the truncated line
	}
}

// TestCommandPrintsLines checks the printed format, and guards against a command
// that accepts an invalid instant or a missing file.
func TestCommandPrintsLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	c := &Command{}
	c.Subcommand()
	c.subject = "r1"
	copy(c.files[:], writeLogs(t))
	is.NoErr(c.Run(t.Context(), &command.Environment{Out: &out}))
	lines := strings.Split(out.String(), "\n")
	is.True(strings.HasPrefix(lines[0], `10:00:01.000000 RequestRouted Endpoint="e1#0" Organisation="org" Reason="waited=2ms,begins=41ms" (`))
	is.True(strings.Contains(lines[1], "first: 12.1 edge-1")) // text that the collector put before the line
	is.True(strings.Contains(lines[2], `Error="it \"broke\" off"`))
	is.Equal(lines[3], "lines about its endpoints in the same period:")

	c.from = "yesterday"
	is.True(c.Run(t.Context(), &command.Environment{Out: &out}) != nil)
	c.from, c.files = time.Now().Format(time.RFC3339Nano), [maxFiles]string{"no/such/file"}
	is.True(c.Run(t.Context(), &command.Environment{Out: &out}) != nil)
}
