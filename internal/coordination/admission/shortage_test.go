package admission

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/schedule"
)

// TestRatesHoldFromTheFirstSecond guards against a fair rate and a bound that are far from
// what organisations ask and get for two seconds after the first request.
func TestRatesHoldFromTheFirstSecond(t *testing.T) {
	is := is.New(t)
	u := newUsage()
	now := time.Unix(5000, 0)
	for step := range 200 {
		u.addRequested(now, "o", 10)
		u.addReceived(now, "o", 5)
		if elapsed := time.Duration(step) * testStep; elapsed >= 400*time.Millisecond {
			o := u.fleetRates(now)["o"]
			is.True(math.Abs(o.requested-2000) < 200)
			is.True(math.Abs(o.received-1000) < 100)
		}
		now = now.Add(testStep)
	}
}

// TestShortageIsReportedAtOnce guards against a bound that begins a whole interval between
// reports after an organisation's callers are rejected, and against a router that sends
// more reports for as long as they are.
func TestShortageIsReportedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newFleetSimulation(65)
	interval := w.policy.pulseInterval()
	var sentAt []time.Duration
	begun := w.now
	step := func(rejects bool) {
		in := schedule.Rejections{}
		if rejects {
			in.Requests = []schedule.RejectedRequest{{Organisation: "short", Work: 1000}}
		}
		for _, out := range w.policy.Step(w.now, in) {
			if _, ok := out.(schedule.Send); ok {
				if at := w.now.Sub(begun); len(sentAt) == 0 || sentAt[len(sentAt)-1] != at {
					sentAt = append(sentAt, at)
				}
			}
		}
		w.now = w.now.Add(testStep)
	}
	for len(sentAt) < 2 {
		step(false)
	}
	regular, shortAt := len(sentAt), sentAt[1]+w.policy.shortageInterval()+50*time.Millisecond
	for w.now.Before(begun.Add(shortAt)) {
		step(false)
	}
	for w.now.Before(begun.Add(shortAt + 4*interval)) {
		step(true)
	}
	t.Logf("reports at %v, interval %v, short from %v", sentAt, interval, shortAt)
	is.True(sentAt[regular] <= shortAt+50*time.Millisecond)
	is.True(len(sentAt)-regular <= 5)
}

// TestBurstOfRejectionsIsReported guards against a bound that ends while a shortage lasts,
// since the router in question rejects in bursts and reports between two of them.
func TestBurstOfRejectionsIsReported(t *testing.T) {
	is := is.New(t)
	w := newFleetSimulation(65)
	interval := w.policy.pulseInterval()
	begun := w.now
	rejected, reported := false, 0.0
	for w.now.Before(begun.Add(3 * interval)) {
		in := schedule.Rejections{}
		if at := w.now.Sub(begun); !rejected && at > interval+50*time.Millisecond {
			rejected = true
			for range 100 {
				in.Requests = append(in.Requests, schedule.RejectedRequest{Organisation: "short", Work: 1000})
			}
			w.policy.usage.organisationUsage("short").reportedShort = true // no early report
		}
		for _, out := range w.policy.Step(w.now, in) {
			send, ok := out.(schedule.Send)
			if !ok {
				continue
			}
			for _, o := range send.Message.(*schedule.Pulse).Organisations {
				if o.Organisation == "short" {
					reported = max(reported, o.Unserved)
				}
			}
		}
		w.now = w.now.Add(testStep)
	}
	t.Logf("reported %.0f tokens a second, interval %v", reported, interval)
	is.True(reported > 0.9*100*1000/interval.Seconds())
}
