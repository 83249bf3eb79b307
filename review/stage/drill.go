package main

import (
	"context"
	_ "embed" // for the configuration
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The times of the drill. All but copyBefore count from the acknowledgement of the version that
// takes the first key away.
const (
	copyBefore = time.Second
	leaveAt    = 4500 * time.Millisecond
	killAt     = 5200 * time.Millisecond
	startAt    = 5600 * time.Millisecond
	returnAt   = 5500 * time.Millisecond
	rewriteAt  = 7500 * time.Millisecond
	drillEnd   = 9 * time.Second
	// revokeTime is the time after the acknowledgement from which no request with the key may
	// run that is sent later.
	revokeTime = 5 * time.Second
	// drillPause is the time between two requests with the same key.
	drillPause = 50 * time.Millisecond
)

const (
	removedKey = "asnmgkcuyj8pjbvk9m68"
	otherKey   = "k7b2ex5wa5xwyhks8nbk"
)

// keyedTemplate is a configuration with one route that needs a key.
//
//go:embed keyed.json
var keyedTemplate string

// keyedConfiguration returns the configuration of the version with the keys.
func keyedConfiguration(version int, keys ...string) (string, error) {
	list, err := json.Marshal(keys)
	if err != nil {
		return "", fmt.Errorf("encode the keys: %w", err)
	}
	return strings.NewReplacer("VERSION", strconv.Itoa(version), "KEYS", string(list)).Replace(keyedTemplate), nil
}

// sent is a request of the drill.
type sent struct {
	answered
	key string
	at  time.Time
}

// drill takes a key away, lets the store come back from a copy of before, and restarts the
// router that the others join at meanwhile. It counts the requests with that key that were
// sent more than revokeTime after the acknowledgement, and have run.
func drill(ctx context.Context, s *stage, trouble bool) (broken int, err error) {
	before, err := keyedConfiguration(7, removedKey, otherKey)
	if err != nil {
		return 0, err
	}
	after, err := keyedConfiguration(9, otherKey)
	if err != nil {
		return 0, err
	}
	s.store.setConfiguration(before)
	if _, err := s.startEndpoint("dispatch-app", 6, 15*time.Millisecond); err != nil {
		return 0, err
	}
	limits := settings{memoryMB: 284, descriptors: 4100}
	first, err := s.startRouter(ctx, limits)
	if err != nil {
		return 0, err
	}
	limits.seed = first
	if _, err := s.startRouter(ctx, limits); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	c := s.store.copy()
	time.Sleep(copyBefore)
	s.store.setConfiguration(after)
	acknowledgedAt := time.Now()
	s.record.printf("version 9 without the key %s is acknowledged", removedKey)

	ended, cancel := context.WithDeadline(ctx, acknowledgedAt.Add(drillEnd))
	defer cancel()
	var callers sync.WaitGroup
	results := make(chan sent, 4096)
	for _, key := range []string{removedKey, otherKey} {
		callers.Go(func() { sendUntil(ended, first, key, results) })
	}
	script := []struct {
		at time.Duration
		do func() error
	}{
		{leaveAt, func() error { s.store.leave(); return nil }},
		{killAt, first.process.Kill},
		{returnAt, func() error {
			if trouble {
				s.store.returnFrom(&c)
			} else {
				s.store.returnFrom(nil)
			}
			return nil
		}},
		{startAt, first.process.Start},
		{rewriteAt, func() error { s.store.setConfiguration(after); return nil }},
	}
	for i, step := range script {
		time.Sleep(time.Until(acknowledgedAt.Add(step.at)))
		s.record.printf("step %d of: store leaves, router is killed, store returns, router starts, operators write again", i+1)
		if err := step.do(); err != nil {
			return 0, err
		}
	}
	callers.Wait()
	close(results)
	return s.judgeKeys(results, acknowledgedAt), nil
}

// sendUntil sends requests with the key until the context ends.
func sendUntil(ctx context.Context, to *router, key string, results chan<- sent) {
	for ctx.Err() == nil {
		r := sent{key: key, at: time.Now()}
		r.answered = callOnce(context.WithoutCancel(ctx), to, fmt.Sprintf("%016x", rand.Uint64()), key, 0)
		results <- r
		time.Sleep(drillPause)
	}
}

// judgeKeys records all requests and returns the number of those that ran with the removed key
// although they were sent later than that.
func (s *stage) judgeKeys(results <-chan sent, acknowledgedAt time.Time) (broken int) {
	for r := range results {
		ran := s.runTimes(r.id)
		late := r.key == removedKey && len(ran) > 0 && r.at.After(acknowledgedAt.Add(revokeTime))
		if late {
			broken++
		}
		s.record.printf("request %s with key %s, sent %.3f s after the acknowledgement: status %d, runs %v, after its key was taken away: %t",
			r.id, r.key, r.at.Sub(acknowledgedAt).Seconds(), r.status, ran, late)
	}
	return broken
}
