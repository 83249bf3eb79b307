package execution

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/protocol/caller"
)

// refusing is an answer whose endpoint may say that it ran nothing.
type refusing struct {
	*scripted
	rejected bool
}

func (a refusing) Rejected() bool { return a.rejected }

// streams is a backend that plays one stream after the other and notes after
// which event each was asked to go on.
type streams struct {
	script
	rejected map[int]bool
	silent   map[int]bool
	after    []string
}

func (s *streams) Send(ctx context.Context, a *Attempt) (Answer, error) {
	n := s.attempts
	s.after = append(s.after, a.LastEvent)
	if s.silent[n] {
		s.attempts++
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := s.script.Send(ctx, a)
	if err != nil {
		return nil, err
	}
	return refusing{answer.(*scripted), s.rejected[n]}, nil
}

func TestStreams(t *testing.T) {
	cut := errors.New("connection reset")
	const first, second, third = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	tests := []struct {
		name      string
		backend   streams
		resumable bool
		attempts  int
		want      string
		ended     bool
		after     []string
		notRun    caller.NotRun
	}{
		{
			name: "whole", backend: streams{script: script{exchanges: []exchange{{status: 200, body: first + second}}}},
			want: first + second, ended: true, after: []string{""},
		},
		{
			name: "resumed after the last whole event", resumable: true, attempts: 2,
			backend: streams{script: script{exchanges: []exchange{{status: 200, body: first + second[:5], readErr: cut}, {status: 200, body: second + third}}}},
			want:    first + second + third, ended: true, after: []string{"", "1"},
		},
		{
			name: "not resumable", attempts: 2,
			backend: streams{script: script{exchanges: []exchange{{status: 200, body: first + second[:5], readErr: cut}, {status: 200, body: second}}}},
			want:    first, after: []string{""},
		},
		{
			name: "broken before the first event", resumable: true, attempts: 2,
			backend: streams{script: script{exchanges: []exchange{{status: 200, body: first[:4], readErr: cut}, {status: 200, body: first}}}},
			want:    first, ended: true, after: []string{"", ""},
		},
		{
			name: "broken before the first event and not resumable", attempts: 2,
			backend: streams{script: script{exchanges: []exchange{{status: 200, readErr: cut}, {status: 200, body: first}}}},
			after:   []string{""}, notRun: caller.NotRunUnknown,
		},
		{
			name: "rejected, then whole", attempts: 2,
			backend: streams{script: script{exchanges: []exchange{{status: 503}, {status: 200, body: first}}}, rejected: map[int]bool{0: true}},
			want:    first, ended: true, after: []string{"", ""},
		},
		{
			name: "rejected by all", attempts: 2,
			backend: streams{script: script{exchanges: []exchange{{status: 503}, {status: 421}}}, rejected: map[int]bool{0: true, 1: true}},
			after:   []string{"", ""}, notRun: caller.NotRunTrue,
		},
		{
			name: "one attempt allowed", resumable: true, attempts: 1,
			backend: streams{script: script{exchanges: []exchange{{status: 200, body: first, readErr: cut}, {status: 200, body: second}}}},
			want:    first, after: []string{""},
		},
		{
			name: "silent, then resumed", resumable: true, attempts: 2,
			backend: streams{script: script{exchanges: []exchange{{}, {status: 200, body: first}}}, silent: map[int]bool{0: true}},
			want:    first, ended: true, after: []string{"", ""},
		},
		{
			name: "ends inside an event", attempts: 1,
			backend: streams{script: script{exchanges: []exchange{{status: 200, body: first + second[:7]}}}},
			want:    first, after: []string{""},
		},
		{
			name: "a failure is passed on as it is", attempts: 1,
			backend: streams{script: script{exchanges: []exchange{{status: 500, body: "broken"}}}},
			want:    "broken", ended: true, after: []string{""},
		},
	}
	for i := range tests {
		tt := &tests[i]
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRunner(t, &tt.backend)
			call := testCall(tt.resumable)
			call.Events, call.Stream, call.Resumable, call.MaxAttempts = true, true, tt.resumable, max(tt.attempts, 1)
			call.AttemptID = "fixed"
			if tt.resumable {
				call.MaxSilence = 50 * time.Millisecond
			}
			var sink recorder
			err := r.Run(t.Context(), call, &sink)
			is.Equal(sink.String(), tt.want)
			is.Equal(sink.ended, tt.ended)
			is.Equal(err == nil, tt.ended)
			is.Equal(tt.backend.after, tt.after)
			var problem *caller.Problem
			if errors.As(err, &problem) {
				is.Equal(problem.NotRun, tt.notRun)
			} else {
				is.Equal(tt.notRun, caller.NotRun(""))
			}
		})
	}
}

func TestFailedIdempotentCallIsTriedOnceMore(t *testing.T) {
	is := is.New(t)
	backend := &streams{script: script{exchanges: []exchange{{status: http.StatusInternalServerError, body: "no"}, {status: 200, body: "yes"}}}}
	r := newTestRunner(t, backend)
	call := testCall(true)
	call.RetryServerErrors, call.MaxAttempts = true, 2
	var sink recorder
	is.NoErr(r.Run(t.Context(), call, &sink))
	is.Equal(sink.String(), "yes")
	is.Equal(backend.attempts, 2)

	// The last failure is the endpoint's own answer.
	backend = &streams{script: script{exchanges: []exchange{{status: http.StatusInternalServerError, body: "no"}}}}
	r = newTestRunner(t, backend)
	sink = recorder{}
	is.NoErr(r.Run(t.Context(), call, &sink))
	is.Equal(sink.status, http.StatusInternalServerError)
	is.Equal(backend.attempts, 2)
}
