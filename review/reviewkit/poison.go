package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// contactTime is contact_ms.
	contactTime = 3 * time.Second
	// maxLateRetries is the number of retries that may reach workers later than
	// contactTime after the third crash.
	maxLateRetries = 3
	// poisonInterval is the time between two retries of the request that crashes workers.
	poisonInterval, poisonFor = 3200 * time.Millisecond, 76 * time.Second
)

// playPoison sends a request that crashes the worker that runs it, again and again with
// the same path, caller and body, beside the streams of other callers.
func playPoison(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	l, stop, err := startUnframed(ctx, f, 3, 200, 0.1)
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var sent []time.Time
	for end := time.Now().Add(poisonFor); time.Now().Before(end); time.Sleep(poisonInterval) {
		if trouble {
			sent = append(sent, time.Now())
			l.send(ctx, request{kind: "short", key: "key-clinic-1", events: 5, deadline: 2 * time.Second, path: "/short/5/20/" + poisonPart})
		}
	}
	stop()
	time.Sleep(200 * time.Millisecond)
	l.wait.Wait()
	f.mu.Lock()
	runs := f.poisonRuns
	f.mu.Unlock()
	f.record.addf("the request was sent %d times and crashed %d workers; %d other requests, %d of them served", len(sent), len(runs), l.sent.Load(), l.served.Load())
	if len(runs) < 3 {
		return nil, nil
	}
	late := 0
	for _, at := range runs {
		if at.After(runs[2].Add(contactTime)) {
			late++
		}
	}
	if late > maxLateRetries {
		return []string{fmt.Sprintf("a request that crashes workers reached %d workers later than contact_ms after it had crashed the third; %d crashes", late, len(runs))}, nil
	}
	return nil, nil
}
