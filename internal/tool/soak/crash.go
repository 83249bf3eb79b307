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
	// crashingPause is the pause between two sends of such a request.
	crashingPause = 400 * time.Millisecond
	// maxCrashes is the number of endpoints that a request may crash before
	// maxCrashingRuns further runs of it are a violation. Runs of requests that
	// were sent until quietPeriod later do not count.
	maxCrashes, maxCrashingRuns = 3, 3
)

// crashes describes the endpoints that one request has crashed.
type crashes struct {
	count int
	// exceededAt is when it crashed the endpoint with the number maxCrashes, and
	// runs the number of its runs that count since.
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
			c.send(ctx, &sentRequest{
				ID: fmt.Sprintf("%s-%d", c.name, c.sent), Kind: kind, Method: http.MethodPost, Path: "/" + kind + "/x", Key: key,
				Body: "request of " + c.name, Router: router, SentAt: time.Now(), Crashes: true,
			})
		}
		pause(ctx, crashingPause)
	}
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
	c := s.crashes[req.Body]
	if c == nil {
		c = &crashes{}
		s.crashes[req.Body] = c
	}
	c.count++
	if c.count == maxCrashes {
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
	c := s.crashes[req.Body]
	if c == nil || c.exceededAt.IsZero() || !req.SentAt.After(c.exceededAt.Add(quietPeriod+toolSlack)) {
		return
	}
	c.runs++
	if c.runs > maxCrashingRuns {
		s.Checker.recordViolation("crash", "%s ran %v after its third crash, %d runs in all", req.ID, now.Sub(c.exceededAt).Round(time.Millisecond), c.runs)
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
