package main

import (
	"context"
	"errors"
	"slices"
	"time"

	"hyssopreach/internal/standin/journal"
	"hyssopreach/internal/state/text"
	"hyssopreach/internal/tool/rig"
	"hyssopreach/internal/tool/trial"
)

// sceneFaults maps the names of the faults of scene C, as the scene subcommand
// takes them, to the faults.
var sceneFaults = map[string]trial.Fault{
	// The rehearsal ends by itself at Until, so domain-cut needs no Repair.
	"domain-cut": {
		At: 5 * time.Second, End: 25 * time.Second, FailureDomain: "Kolkata",
		Begin: func(_ context.Context, r *rig.Rig) error {
			now := time.Now().UTC()
			next := *r.Document
			next.Rehearsals = []text.Rehearsal{{
				Name: "scene-c", FailureDomain: "Kolkata", From: now, Until: now.Add(20 * time.Second),
			}}
			return r.Publish(&next)
		},
	},
	"router-killed": {
		At: 5 * time.Second, End: 15 * time.Second,
		Begin:  func(_ context.Context, r *rig.Rig) error { r.Kill(2); return nil },
		Repair: func(ctx context.Context, r *rig.Rig) error { return r.StartRouter(ctx, 2) },
	},
	"third-restarted": {
		At: 5 * time.Second, End: 6 * time.Second,
		Begin: func(_ context.Context, r *rig.Rig) error {
			for i := range len(r.Routers) / 3 {
				r.Kill(i)
			}
			return nil
		},
		Repair: func(ctx context.Context, r *rig.Rig) error {
			var errs []error
			for i := range len(r.Routers) / 3 {
				errs = append(errs, r.StartRouter(ctx, i))
			}
			return errors.Join(errs...)
		},
	},
	"log-down": {
		At: 5 * time.Second, End: 65 * time.Second,
		Begin: func(_ context.Context, r *rig.Rig) error {
			r.Platform.Log.SetFaults(journal.Faults{Down: true})
			return nil
		},
		Repair: func(_ context.Context, r *rig.Rig) error {
			r.Platform.Log.SetFaults(journal.Faults{})
			return nil
		},
	},
	"engine-leaving": {
		At: 5 * time.Second, End: 15 * time.Second,
		Begin:  func(_ context.Context, r *rig.Rig) error { return setLeaving(r, true) },
		Repair: func(_ context.Context, r *rig.Rig) error { return setLeaving(r, false) },
	},
}

// setLeaving marks one of the engines as leaving, or as not leaving.
func setLeaving(r *rig.Rig, leaving bool) error {
	for _, e := range r.Platform.Engines {
		e.SetLeaving(leaving)
		return nil
	}
	return errors.New("the installation has no engine")
}

func faultNames() []string {
	var names []string
	for name := range sceneFaults {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// faultByName returns the named fault, or nil if there is none of that name.
func faultByName(name string) *trial.Fault {
	if f, ok := sceneFaults[name]; ok {
		return &f
	}
	return nil
}
