package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// streamLoad describes streams of the small deployment: short ones, and a share of long
// ones that are under way when a worker ends.
func streamLoad(long float64) request {
	if rand.Float64() >= long {
		return request{kind: "short", key: "key-clinic-1", events: 5, step: 20, deadline: 3 * time.Second}
	}
	return request{kind: "long", key: "key-depot-1", events: 76, step: 80, deadline: 15 * time.Second}
}

// unframedShare is the share of the streams of every other worker that end with their
// connection: the dose of the site file, for half of the workers.
const unframedShare = 0.05

// startUnframed starts workers, of which half end some answers with their connection, the
// routers and the load.
func startUnframed(ctx context.Context, f *fleet, workers int, perSecond, long float64) (*load, context.CancelFunc, error) {
	for i := range workers {
		if err := f.startWorker(ctx, "pool", fmt.Sprint("z", i%3), workerOptions{Unframed: unframedShare * float64((i+1)%2)}); err != nil {
			return nil, nil, errors.Join(errCannotRun, err)
		}
	}
	go f.beat(ctx)
	if err := f.startRouters(ctx); err != nil {
		return nil, nil, errors.Join(errCannotRun, err)
	}
	l := &load{fleet: f}
	var err error
	if l.fronts, err = f.resolve(ctx); err != nil || len(l.fronts) == 0 {
		return nil, nil, errors.Join(errCannotRun, err)
	}
	loadCtx, stop := context.WithCancel(ctx)
	go l.run(loadCtx, perSecond, func() request { return streamLoad(long) })
	return l, stop, nil
}

// judgeUnframed ends the load and returns the successes that are not whole.
func judgeUnframed(l *load, stop context.CancelFunc) ([]string, error) {
	stop()
	time.Sleep(200 * time.Millisecond)
	l.wait.Wait()
	l.fleet.record.addf("%d requests sent, %d answered with a complete success", l.sent.Load(), l.served.Load())
	if l.served.Load() < l.sent.Load()/2 {
		return nil, fmt.Errorf("%w: only %d of %d requests served", errCannotRun, l.served.Load(), l.sent.Load())
	}
	var broken []string
	for _, o := range l.falselyComplete() {
		events, _ := plan(o.path)
		broken = append(broken, fmt.Sprintf("request %s: status 200 of worker %s, the answer ends as complete after %d of %d events", o.id, o.worker, o.events, events))
	}
	return broken, nil
}

// crashes is the number of crashes, of one of four workers at a time.
const crashes = 6

// playCrash crashes one of four workers, and again some seconds after it is back.
func playCrash(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	l, stop, err := startUnframed(ctx, f, 4, 160, 0.4)
	if err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	for range crashes {
		if trouble {
			f.crash(f.unframedWorker("pool"))
		}
		time.Sleep(restartTime)
		if trouble {
			if err := f.startWorker(ctx, "pool", "z0", workerOptions{Unframed: unframedShare}); err != nil {
				return nil, errors.Join(errCannotRun, err)
			}
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(2 * time.Second)
	return judgeUnframed(l, stop)
}

// playDrain empties one of four workers, which exits drain_ms and a little after the store
// has accepted its report.
func playDrain(ctx context.Context, f *fleet, trouble bool) ([]string, error) {
	l, stop, err := startUnframed(ctx, f, 4, 160, 0.4)
	if err != nil {
		return nil, err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		p := f.unframedWorker("pool")
		f.drain(p)
		time.Sleep(2500 * time.Millisecond)
		f.unlist(p)
		f.record.addf("worker %s exits", p.options.ID)
		_ = p.command.Process.Kill()
	}
	time.Sleep(2 * time.Second)
	return judgeUnframed(l, stop)
}
