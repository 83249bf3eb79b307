package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cespare/xxhash/v2"
	"github.com/integrii/flaggy"

	"hyssopreach/internal/coordination/schedule"
	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/state/view"
	"hyssopreach/internal/tool/rig"
	"hyssopreach/internal/tool/trial"
)

const (
	sceneSlots         = 8
	sceneTokenInterval = 10 * time.Millisecond // between tokens of a stream
	sceneMeanTokens    = 100
	sceneWarmUp        = 10 * time.Second
	sceneEntryHold     = 2 * time.Second
	sceneStartTimeout  = 30 * time.Second
)

// sceneOptions are the flags of the scene subcommand.
type sceneOptions struct {
	seed               uint64
	routers, engines   int
	seconds            int
	policy, fault, log string
}

func sceneCommand() command {
	s := flaggy.NewSubcommand("scene")
	s.Description = "fairness gap, utilisation and control traffic of real routers on loopback, scene A, or scene C if a fault is given"
	o := sceneOptions{seed: 1, routers: 7, engines: 12, seconds: 40, policy: "share"}
	s.UInt64(&o.seed, "s", "seed", "random seed")
	s.Int(&o.routers, "r", "routers", "number of routers")
	s.Int(&o.engines, "e", "engines", "number of engines")
	s.Int(&o.seconds, "t", "seconds", "length of the measurement")
	s.String(&o.policy, "p", "policy", "share, fifo, random or router-queues; several are separated by commas")
	s.String(&o.fault, "f", "fault", "fault to inject, one of "+strings.Join(faultNames(), ", "))
	s.String(&o.log, "l", "log", "file for the routers' logs")
	return command{s, func() ([]string, error) { return measureScene(o) }}
}

func measureScene(o sceneOptions) ([]string, error) {
	b, err := readBounds()
	if err != nil {
		return nil, err
	}
	fmt.Printf("seed %d, %d routers, %d engines of %d slots, %d organisations, %d s\n",
		o.seed, o.routers, o.engines, sceneSlots, len(sceneOrganisations(o.routers)), o.seconds)
	var missed []string
	gaps := make(map[string]float64)
	for _, name := range strings.Split(o.policy, ",") {
		result, err := runScene(o, name)
		if err != nil {
			return nil, fmt.Errorf("scene with policy %s: %w", name, err)
		}
		printScene(name, result)
		gaps[name] = result.Gap.Service
		if name == "share" {
			missed = append(missed, checkScene(b.Fairness, o, result)...)
		}
	}
	if queuesGap, ok := gaps["router-queues"]; ok && gaps["share"] > b.Fairness.GapToRouterQueues*queuesGap {
		missed = append(missed, fmt.Sprintf("gap is %.2f times that of router-queues, bound %.2f", gaps["share"]/queuesGap, b.Fairness.GapToRouterQueues))
	}
	return missed, nil
}

func checkScene(b fairnessBounds, o sceneOptions, result *trial.Result) []string {
	var missed []string
	largestCost := float64(result.LargestCost)
	if o.fault == "" {
		if gap := result.Gap.Service / largestCost; gap > b.GapInLargestCosts {
			missed = append(missed, fmt.Sprintf("gap %.2f largest costs, bound %.2f", gap, b.GapInLargestCosts))
		}
	} else if bound := 2 * max(largestCost, float64(o.engines*sceneSlots)*largestCost); result.GapAfter.Service > bound {
		missed = append(missed, fmt.Sprintf("gap after the fault %.0f tokens, bound %.0f", result.GapAfter.Service, bound))
	}
	minUtilisation := b.Utilisation
	if o.fault != "" {
		minUtilisation = b.UtilisationUnderFaults
	}
	if result.Utilisation < minUtilisation {
		missed = append(missed, fmt.Sprintf("utilisation %.4f, bound %.4f", result.Utilisation, minUtilisation))
	}
	return missed
}

// sceneOrganisations returns the load of scene A: three of sixteen
// organisations send a large backlog through two routers, and the others are
// distributed unevenly over the routers, small backlogs next to larger ones.
//
// The organisations with a small backlog are meant to have one to three
// requests waiting at all times. Their Backlog is higher by two, because a
// caller sends its next request only when an answer begins, which is shortly
// after the answered request has left the queue.
func sceneOrganisations(routers int) []trial.Organisation {
	organisations := make([]trial.Organisation, 16)
	for i := range organisations {
		organisation := trial.Organisation{
			Name: fmt.Sprintf("org-%02d", i+1), Weight: 1, Tokens: sceneMeanTokens, Backlog: 20, Routers: []int{i % routers},
		}
		switch {
		case i < 3:
			organisation.Backlog, organisation.Routers = 200, []int{0, 1 % routers}
		case i < 9:
			organisation.Backlog = 3 + i%3
		case i < 12:
			organisation.Routers = []int{2 % routers}
		}
		organisations[i] = organisation
	}
	return organisations
}

func runScene(o sceneOptions, name string) (*trial.Result, error) {
	ctx := context.Background()
	startCtx, cancel := context.WithTimeout(ctx, sceneStartTimeout)
	defer cancel()
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	if o.log != "" {
		file, err := os.Create(o.log)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		logger.Handler = logfmt.New(file)
	}
	domains := []string{"Kharagpur", "Kolkata", "Durgapur"}
	platform := fleet.Default()
	platform.Engine.MaxBatch, platform.Engine.StepTime, platform.Engine.StepTimePerRequest = sceneSlots, sceneTokenInterval, 0
	r, err := rig.Start(startCtx, rig.Options{
		Document: rig.NewDocument(16, o.engines, 1, domains), Routers: o.routers, FailureDomains: domains,
		Platform: platform, EntryHold: sceneEntryHold, Logger: logger, Scheduler: scenePolicy(o, name),
	})
	if err != nil {
		return nil, err
	}
	result := trial.Run(ctx, r, trial.Options{
		Organisations: sceneOrganisations(o.routers), WarmUp: sceneWarmUp, Length: time.Duration(o.seconds) * time.Second,
		SlotsPerEngine: sceneSlots, Seed: o.seed, Fault: faultByName(o.fault), SettleTime: 2 * time.Second,
	})
	return &result, r.Close()
}

// scenePolicy returns the constructor of the named policy, or nil for the
// policy that routers use by default.
func scenePolicy(o sceneOptions, name string) func(view.RouterID) schedule.Scheduler {
	for _, p := range policies((sceneSlots + o.routers - 1) / o.routers) {
		if p.name == name && name != "share" {
			return func(id view.RouterID) schedule.Scheduler {
				return p.newScheduler(rand.NewPCG(o.seed, xxhash.Sum64String(string(id))))
			}
		}
	}
	return nil
}

func printScene(name string, result *trial.Result) {
	fmt.Printf("policy=%s gap=%.0f largest-cost=%d gap-in-largest-costs=%.2f ahead=%s behind=%s utilisation=%.4f tokens-per-second=%.0f gap-after-fault=%.0f\n",
		name, result.Gap.Service, result.LargestCost, result.Gap.Service/float64(result.LargestCost), result.Gap.Ahead, result.Gap.Behind,
		result.Utilisation, result.TokensPerSecond, result.GapAfter.Service)
	if result.FaultError != nil {
		fmt.Printf("fault: %v\n", result.FaultError)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for i, outcome := range result.Outcomes {
		_, _ = fmt.Fprintf(t, "%s\tbacklog %d\twaiting share %.2f\ttokens %d\tanswered %d\tcut %d\tlost %d\tunknown %d\twrong %d\trefused %v\n", outcome.Organisation.Name,
			outcome.Organisation.Backlog, result.BackloggedShare[i], outcome.Tokens, outcome.Report.Answered, outcome.Report.Cut, outcome.Report.Lost, outcome.Report.Unknown, outcome.Report.Wrong, outcome.Report.Refused)
	}
	_ = t.Flush()
	for _, traffic := range result.Traffic {
		kinds := make([]string, 0, len(traffic.ByKind))
		for kind, rate := range traffic.ByKind {
			kinds = append(kinds, fmt.Sprintf("%s=%.0f", kind, rate))
		}
		sort.Strings(kinds)
		fmt.Printf("control router=%s bytes-per-second=%.0f %s\n", traffic.Router, traffic.BytesPerSecond, strings.Join(kinds, " "))
	}
}
