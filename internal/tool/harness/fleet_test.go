package harness

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/coordination/baseline"
	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/coordination/share"
)

// settings returns a smaller version of scene A of hyssopreach-measure: some
// organisations have small backlogs, others large ones, and three organisations
// send a flood of requests through two routers.
func settings(minCost, maxCost float64) Settings {
	s := Settings{
		Seed: 1, Routers: 7, Delay: 300 * time.Microsecond, WarmUp: 15 * time.Second, Length: 50 * time.Second,
		Policy: func(source rand.Source) schedule.Scheduler { return share.New(share.Options{Source: source}) },
	}
	for range 12 {
		s.Endpoints = append(s.Endpoints, Endpoint{Pool: "model", Slots: 8, Rate: 100, FirstToken: 20 * time.Millisecond})
	}
	for i := range 16 {
		o := Organisation{
			Name: fmt.Sprint("organisation", i), Weight: 1, MinCost: minCost, MaxCost: maxCost,
			Backlog: 20, Routers: []int{i % 7},
		}
		switch {
		case i < 3:
			o.Backlog, o.Routers = 200, []int{0, 1}
		case i < 8:
			o.Backlog = 1 + i%3
		}
		s.Organisations = append(s.Organisations, o)
	}
	return s
}

// TestGapAndUtilisation guards against a scheduler that lets the service of
// organisations diverge or leaves slots idle while requests wait.
func TestGapAndUtilisation(t *testing.T) {
	tests := []struct {
		name             string
		minCost, maxCost float64
	}{
		{"long answers", 50, 1000},
		// Routers once sent counter updates only after service worth the cost
		// of a whole request. The service of organisations with callers at two
		// routers then diverged by 8 largest costs.
		{"short answers", 1, 199},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := Run(settings(test.minCost, test.maxCost))
			is.Equal(r.Violations, nil)
			is.True(r.Utilisation >= 0.99)
			is.True(r.Gap <= 4*r.LargestCost)
			is.True(r.Gap <= 2*max(r.LargestCost, r.InFlight))
		})
	}
}

// TestWeightsDivideService guards against service that is not shared in
// proportion to the organisations' weights.
func TestWeightsDivideService(t *testing.T) {
	is := is.New(t)
	s := settings(1, 199)
	s.Organisations[9].Weight = 3
	r := Run(s)
	ratio := r.Served["organisation9"] / r.Served["organisation10"]
	is.True(ratio > 2.7 && ratio < 3.3)
}

// TestSmallOrganisationsAreNotStarved guards against organisations with small
// backlogs that receive less service than organisations with large ones.
func TestSmallOrganisationsAreNotStarved(t *testing.T) {
	is := is.New(t)
	s := settings(50, 1000)
	s.Endpoints = append(s.Endpoints, s.Endpoints...)
	s.Endpoints = append(s.Endpoints, s.Endpoints[:16]...) // 40 in all
	r := Run(s)
	mean := 0.0
	for _, served := range r.Served {
		mean += served / float64(len(r.Served))
	}
	for i := 3; i < 8; i++ {
		is.True(r.Served[fmt.Sprint("organisation", i)] > 0.9*mean)
	}
}

// TestPlainServiceIsFullyUtilised guards against idle slots at endpoints that
// run requests of a few milliseconds and report no load.
func TestPlainServiceIsFullyUtilised(t *testing.T) {
	is := is.New(t)
	s := settings(2, 8) // milliseconds
	s.WarmUp, s.Length = 3*time.Second, 4*time.Second
	s.Endpoints = s.Endpoints[:4]
	for i := range s.Endpoints {
		s.Endpoints[i] = Endpoint{Pool: "board", Slots: 8, Rate: 1000, NoLoadReports: true}
	}
	r := Run(s)
	is.Equal(r.Violations, nil)
	is.True(r.Utilisation >= 0.99)
}

// TestRecoveryFromFaults guards against a gap that stays above its bound 22 s
// after a fault, and against slots that are left idle by the fault.
func TestRecoveryFromFaults(t *testing.T) {
	const at, viewDelay = 20 * time.Second, time.Second
	tests := []struct {
		name   string
		faults []Fault
	}{
		{"domain cut", []Fault{
			{At: at, Do: func(f *Fleet) { f.Cut(1, true, viewDelay) }},
			{At: at + 20*time.Second, Do: func(f *Fleet) { f.Cut(1, false, viewDelay) }},
		}},
		{"router killed", []Fault{{At: at, Do: func(f *Fleet) { f.Kill(3, viewDelay) }}}},
		{"routers restarted", []Fault{
			{At: at, Do: func(f *Fleet) { f.Kill(0, viewDelay); f.Kill(5, viewDelay) }},
			{At: at + 3*time.Second, Do: func(f *Fleet) { f.Start(0); f.Start(5) }},
		}},
		{"endpoint draining", []Fault{{At: at, Do: func(f *Fleet) { f.Drain(4) }}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := settings(1, 199)
			s.Faults = test.faults
			s.Faults = append(s.Faults, Fault{At: at + 22*time.Second, Do: func(f *Fleet) { f.TakeGap() }})
			r := Run(s)
			is.Equal(r.Violations, nil)
			is.True(r.Utilisation >= 0.97)
			is.True(r.Gap <= 2*max(r.LargestCost, r.InFlight))
		})
	}
}

// TestBaselineExceedsGapBound guards against a measurement that cannot fail:
// the baseline scheduler, without coordination between routers, must show a
// large gap.
func TestBaselineExceedsGapBound(t *testing.T) {
	is := is.New(t)
	s := settings(1, 199)
	s.Policy = func(source rand.Source) schedule.Scheduler {
		return baseline.New(baseline.Options{Order: baseline.OrderStartTag, Slots: 2, Source: source})
	}
	r := Run(s)
	is.Equal(r.Violations, nil)
	is.True(r.Gap > 40*r.LargestCost)
}
