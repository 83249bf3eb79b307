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
	// around is the time before and after a request in which what routers came
	// to believe of its endpoints is shown too.
	around = 2 * time.Second
	// shownTime is how the time of a line is written.
	shownTime = "15:04:05.000000"
	// keyRequest and keyEndpoint are the fields that name a request and an
	// endpoint.
	keyRequest, keyEndpoint = "RequestID", "Endpoint"
)

// Query says what is looked for.
type Query struct {
	// Subject is the id of a request, or the name of an organisation, an
	// endpoint or a router.
	Subject string
	// From and To bound the time; zero stands for no bound.
	From, To time.Time
	Files    []string
}

// Story is what the logs say.
type Story struct {
	Subject string
	// Lines name the subject, and Around are what routers came to believe
	// meanwhile of the endpoints of a request. Both are in order.
	Lines, Around []*Line
	// Unread is the number of lines that could not be read.
	Unread int
}

// Gather reads the logs.
func Gather(q *Query) (*Story, error) {
	s := &Story{Subject: q.Subject}
	err := q.each(s, func(l *Line) {
		if l.Names(q.Subject) && q.within(l.At) {
			s.Lines = append(s.Lines, l)
		}
	})
	if err != nil {
		return nil, err
	}
	order(s.Lines)
	endpoints := s.endpoints()
	if len(endpoints) == 0 {
		return s, nil
	}
	from, to := s.Lines[0].At.Add(-around), s.Lines[len(s.Lines)-1].At.Add(around)
	err = q.each(&Story{}, func(l *Line) {
		if l.Get(keyRequest) == "" && endpoints[l.Get(keyEndpoint)] && !l.At.Before(from) && !l.At.After(to) {
			s.Around = append(s.Around, l)
		}
	})
	order(s.Around)
	return s, err
}

func (q *Query) within(at time.Time) bool {
	return (q.From.IsZero() || !at.Before(q.From)) && (q.To.IsZero() || !at.After(q.To))
}

func (q *Query) each(s *Story, found func(*Line)) error {
	for _, name := range q.Files {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("trace %s: %w", q.Subject, err)
		}
		unread, err := read(file, name, found)
		// A file that was only read has nothing to lose.
		_ = file.Close()
		s.Unread += unread
		if err != nil {
			return fmt.Errorf("trace %s: %w", q.Subject, err)
		}
	}
	return nil
}

func order(lines []*Line) {
	slices.SortStableFunc(lines, func(a, b *Line) int { return a.At.Compare(b.At) })
}

// endpoints are those to which the request that is the subject was sent; none
// if the subject is no request.
func (s *Story) endpoints() map[string]bool {
	found := map[string]bool{}
	for _, l := range s.Lines {
		if e := l.Get(keyEndpoint); l.Get(keyRequest) == s.Subject && e != "" {
			found[e] = true
		}
	}
	return found
}

// Write tells the story: a line for each line of the logs, and at the end what
// was looked through in vain.
func (s *Story) Write(w io.Writer) error {
	var b strings.Builder
	if len(s.Lines) == 0 {
		fmt.Fprintf(&b, "no line names %s\n", s.Subject)
	}
	for _, l := range s.Lines {
		s.line(&b, l)
	}
	if len(s.Around) > 0 {
		fmt.Fprintln(&b, "meanwhile, of its endpoints:")
		for _, l := range s.Around {
			s.line(&b, l)
		}
	}
	if s.Unread > 0 {
		fmt.Fprintf(&b, "%d lines could not be read\n", s.Unread)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (s *Story) line(b *strings.Builder, l *Line) {
	fmt.Fprintf(b, "%s %s", l.At.Format(shownTime), l.Message)
	for _, f := range l.Fields {
		if f.Value != s.Subject {
			fmt.Fprintf(b, " %s=%q", f.Key, f.Value)
		}
	}
	fmt.Fprintf(b, " (%s)\n", l.Source)
}
