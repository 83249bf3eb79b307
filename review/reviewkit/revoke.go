package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// revokeTime is revoke_ms.
const revokeTime = 5 * time.Second

// publish puts the next version of the configuration in force, and returns when the store
// has acknowledged it.
func (f *fleet) publish(noTenants bool) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.noTenants = noTenants
	at := time.Now()
	f.record.addf("version %d is acknowledged, tenants taken away: %t", f.version, noTenants)
	return at
}

// playRevoke takes the last tenants away with their keys, and goes on sending requests with
// these keys.
func playRevoke(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	for i := range 3 {
		if err := f.startWorker(ctx, "pool", fmt.Sprint("z", i%3), workerOptions{}); err != nil {
			return nil, errors.Join(errCannotRun, err)
		}
	}
	go f.beat(ctx)
	if err := f.startRouters(ctx); err != nil {
		return nil, errors.Join(errCannotRun, err)
	}
	l := &load{fleet: f}
	var err error
	if l.fronts, err = f.resolve(ctx); err != nil || len(l.fronts) == 0 {
		return nil, errors.Join(errCannotRun, err)
	}
	q := request{kind: "short", key: "key-clinic-1", events: 3, step: 20, deadline: 3 * time.Second}
	for range 20 {
		if o := l.send(ctx, q); o.status != 200 {
			return nil, fmt.Errorf("%w: status %d before the change", errCannotRun, o.status)
		}
	}
	acknowledged := f.publish(trouble)
	time.Sleep(time.Until(acknowledged.Add(revokeTime + time.Second)))
	var broken []string
	for range 60 {
		sent := time.Now()
		o := l.send(ctx, q)
		f.mu.Lock()
		ran := f.runs[o.id]
		f.mu.Unlock()
		if trouble && len(ran) > 0 {
			broken = append(broken, fmt.Sprintf("request %s, sent %v after the ack that took its key away, ran at %v", o.id, sent.Sub(acknowledged).Round(time.Millisecond), ran))
		}
		time.Sleep(50 * time.Millisecond)
	}
	// A key that no configuration ever held must never admit a request.
	q.key = "key-of-nobody"
	for range 10 {
		o := l.send(ctx, q)
		f.mu.Lock()
		ran := f.runs[o.id]
		f.mu.Unlock()
		if len(ran) > 0 {
			broken = append(broken, fmt.Sprintf("request %s, whose key no configuration ever held, ran at %v", o.id, ran))
		}
	}
	return broken, nil
}
