package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// kindCrashing stands for requests that crash endpoints, in outcomes.
	kindCrashing = "crashing"
	// firstCrashingCaller is the number of the first caller whose request crashes
	// endpoints.
	firstCrashingCaller = 1000
	// firstCrashingPartCaller is the number of the first caller with a part that
	// crashes endpoints.
	firstCrashingPartCaller = 2000
	// crashingPause is the pause between two sends of such a request, and
	// crashingPartPause that between two requests with such a part.
	crashingPause     = 400 * time.Millisecond
	crashingPartPause = 200 * time.Millisecond
	// maxCrashes and maxPartCrashes are the numbers of endpoints that a request or a
	// part may crash before maxCrashingRuns further runs are a violation. Runs of
	// requests that were sent until quietPeriod later do not count.
	maxCrashes, maxPartCrashes, maxCrashingRuns = 3, 5, 3
)

// crashes describes the endpoints that one request or part has crashed.
type crashes struct {
	count int
	// exceededAt is when it crashed the last endpoint that it may crash, and runs the
	// number of its runs that count since.
	exceededAt time.Time
	runs       int
}

// runCrashing sends the same request again and again until the context ends. The
// request of every second caller is not idempotent.
func (c *caller) runCrashing(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if router := c.chooseRouter(ctx); router >= 0 {
			c.sent++
			kind := kindSafe
			if c.name[len(c.name)-1]%2 == 1 {
				kind = kindOnce
			}
			key, _ := c.soak.callerKeys()
			body := "request of " + c.name
			c.send(ctx, &sentRequest{
				ID: fmt.Sprintf("%s-%d", c.name, c.sent), Kind: kind, Method: http.MethodPost, Path: "/" + kind + "/x", Key: key,
				Body: body, Router: router, SentAt: time.Now(), Cause: body,
			})
		}
		pause(ctx, crashingPause)
	}
}

// runCrashingPart sends requests of all kinds, no two of them alike, whose prompts
// share a part that crashes endpoints, until the context ends.
func (c *caller) runCrashingPart(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		if router := c.chooseRouter(ctx); router >= 0 {
			c.sent++
			id := fmt.Sprintf("%s-%d", c.name, c.sent)
			kind := []string{kindOnce, kindSafe, kindStream}[c.sent%3]
			key, _ := c.soak.callerKeys()
			part := "dead" + c.name[1:]
			c.send(ctx, &sentRequest{
				ID: id, Kind: kind, Method: http.MethodPost, Path: "/" + kind + "/x?n=" + id, Key: key,
				Body: "request " + id, Router: router, SentAt: time.Now(), Part: part, Cause: part,
			})
		}
		pause(ctx, crashingPartPause)
	}
}

// setPrompt declares the prompt of a request that has one: a part that all of them
// share, the request's part, and one of its own.
func setPrompt(h http.Header, names HeaderNames, req *sentRequest) {
	if req.Part == "" {
		return
	}
	h.Set(names.Tokens, fmt.Sprint("60,", streamEvents))
	h.Set(names.Parts, fmt.Sprintf("feed:20,%s:20,%x:20", req.Part, req.ID))
}

// recordCrash records that a request has crashed an endpoint and starts the
// endpoint again after a while.
func (s *Soak) recordCrash(e *endpoint, req *sentRequest) {
	if !e.running() {
		return
	}
	s.recordFault(groupEndpoint, e.number, crashRestartTime)
	e.stopInstance()
	s.mu.Lock()
	c := s.crashes[req.Cause]
	if c == nil {
		c = &crashes{}
		s.crashes[req.Cause] = c
	}
	c.count++
	allowed := maxCrashes
	if req.Cause == req.Part {
		allowed = maxPartCrashes
	}
	if c.count == allowed {
		c.exceededAt = time.Now()
	}
	s.mu.Unlock()
	time.AfterFunc(crashRestartTime, func() {
		s.mu.Lock()
		closed := s.closed
		s.mu.Unlock()
		if !closed && !e.running() {
			restartEndpoint(s, e.number)
		}
	})
}

// checkCrashingRun checks a run of a request that crashes endpoints.
func (s *Soak) checkCrashingRun(now time.Time, req *sentRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.crashes[req.Cause]
	if c == nil || c.exceededAt.IsZero() || !req.SentAt.After(c.exceededAt.Add(quietPeriod+toolSlack)) {
		return
	}
	c.runs++
	if c.runs > maxCrashingRuns {
		s.Checker.recordViolation("crash", "%s ran %v after the last crash that is allowed, %d runs in all", req.ID, now.Sub(c.exceededAt).Round(time.Millisecond), c.runs)
	}
}

func (s *Soak) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.crashes {
		n += c.count
	}
	return n
}
