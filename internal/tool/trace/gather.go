package trace

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	// endpointWindow is the time before and after a request in which lines about
	// its endpoints are shown too.
	endpointWindow = 2 * time.Second
	// timeFormat is the format in which the time of a line is printed.
	timeFormat = "15:04:05.000000"
	// keyRequest and keyEndpoint are the keys of the fields that name a request
	// and an endpoint.
	keyRequest, keyEndpoint = "RequestID", "Endpoint"
)

// Query selects log lines.
type Query struct {
	// Subject is the id of a request, or the name of an organisation, an
	// endpoint or a router.
	Subject string
	// From and To bound the time; the zero time is no bound.
	From, To time.Time
	// Files are the paths of the logs.
	Files []string
}

// Result is the result of a query.
type Result struct {
	Subject string
	// Lines name the subject. If the subject is a request, EndpointLines holds
	// what routers logged about the request's endpoints in the same period. Both
	// are sorted by time.
	Lines, EndpointLines []*Line
	// Unparsed is the number of lines that could not be parsed.
	Unparsed int
}

// Gather reads the logs and returns the lines that match the query.
func Gather(q *Query) (*Result, error) {
	r := &Result{Subject: q.Subject}
	err := q.forEachLine(r, func(l *Line) {
		if l.Mentions(q.Subject) && q.inPeriod(l.At) {
			r.Lines = append(r.Lines, l)
		}
	})
	if err != nil {
		return nil, err
	}
	sortByTime(r.Lines)
	endpoints := r.endpoints()
	if len(endpoints) == 0 {
		return r, nil
	}
	from, to := r.Lines[0].At.Add(-endpointWindow), r.Lines[len(r.Lines)-1].At.Add(endpointWindow)
	err = q.forEachLine(&Result{}, func(l *Line) {
		if l.Get(keyRequest) == "" && endpoints[l.Get(keyEndpoint)] && !l.At.Before(from) && !l.At.After(to) {
			r.EndpointLines = append(r.EndpointLines, l)
		}
	})
	sortByTime(r.EndpointLines)
	return r, err
}

func (q *Query) inPeriod(at time.Time) bool {
	return (q.From.IsZero() || !at.Before(q.From)) && (q.To.IsZero() || !at.After(q.To))
}

func (q *Query) forEachLine(r *Result, visit func(*Line)) error {
	for _, name := range q.Files {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("trace %s: %w", q.Subject, err)
		}
		unparsed, err := Read(file, name, visit)
		// The file was only read, so that a failure to close it loses no data.
		_ = file.Close()
		r.Unparsed += unparsed
		if err != nil {
			return fmt.Errorf("trace %s: %w", q.Subject, err)
		}
	}
	return nil
}

func sortByTime(lines []*Line) {
	slices.SortStableFunc(lines, func(a, b *Line) int { return a.At.Compare(b.At) })
}

// endpoints returns the endpoints to which the subject was sent. The result is
// empty if the subject is not a request.
func (r *Result) endpoints() map[string]bool {
	found := map[string]bool{}
	for _, l := range r.Lines {
		if e := l.Get(keyEndpoint); l.Get(keyRequest) == r.Subject && e != "" {
			found[e] = true
		}
	}
	return found
}

// Write prints the lines of the subject, then the lines about its endpoints and
// the number of lines that could not be parsed.
func (r *Result) Write(w io.Writer) error {
	var b strings.Builder
	if len(r.Lines) == 0 {
		fmt.Fprintf(&b, "no line names %s\n", r.Subject)
	}
	for _, l := range r.Lines {
		r.writeLine(&b, l)
	}
	if len(r.EndpointLines) > 0 {
		fmt.Fprintln(&b, "lines about its endpoints in the same period:")
		for _, l := range r.EndpointLines {
			r.writeLine(&b, l)
		}
	}
	if r.Unparsed > 0 {
		fmt.Fprintf(&b, "%d lines could not be parsed\n", r.Unparsed)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeLine prints a line without the fields whose value is the subject.
func (r *Result) writeLine(b *strings.Builder, l *Line) {
	fmt.Fprintf(b, "%s %s", l.At.Format(timeFormat), l.Message)
	for _, f := range l.Fields {
		if f.Value != r.Subject {
			fmt.Fprintf(b, " %s=%q", f.Key, f.Value)
		}
	}
	fmt.Fprintf(b, " (%s)\n", l.Source)
}
