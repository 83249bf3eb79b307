package configuration

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hyssopreach/internal/standin/journal"
	"hyssopreach/internal/state/invariant"
	"hyssopreach/internal/state/revision"
	"hyssopreach/internal/tool/rig"
	"hyssopreach/internal/transport/platform"
	"hyssopreach/internal/transport/publication"
	"hyssopreach/internal/transport/router"
)

const (
	// operators is how many publish at one time.
	operators = 50
	// loseProbability is how often the log loses an answer after the append.
	loseProbability = 0.05
)

// Race tells what became of texts that raced.
type Race struct {
	// Accepted and LostRace are what the operators were told.
	Accepted, LostRace, Other int
	// Folded is what the log holds as accepted from them.
	Folded int
	// Revisions are the different versions in force on routers in the end.
	Revisions map[revision.Version]int
	// Reverts counts looks at a router that showed a lower revision than the
	// look before.
	Reverts int64
	// Broken counts invariants found broken by the routers themselves.
	Broken int64
}

// Print writes the figures.
func (r *Race) Print(w io.Writer) error {
	_, err := fmt.Fprintf(w, "  racing: told accepted %d, told lost %d, other %d; the log holds %d accepted; versions in force %d; reverts seen %d; invariants broken %d\n",
		r.Accepted, r.LostRace, r.Other, r.Folded, len(r.Revisions), r.Reverts, r.Broken)
	return err
}

// Faults returns what is wrong with the outcome.
func (r *Race) Faults() []string {
	var faults []string
	if r.Accepted != r.Folded {
		faults = append(faults, fmt.Sprintf("%d operators were told accepted, yet the log holds %d", r.Accepted, r.Folded))
	}
	if len(r.Revisions) != 1 {
		faults = append(faults, fmt.Sprintf("routers ended with %d different versions", len(r.Revisions)))
	}
	if r.Other+int(r.Reverts)+int(r.Broken) > 0 {
		faults = append(faults, fmt.Sprintf("%d without a fate, %d reverts, %d broken invariants", r.Other, r.Reverts, r.Broken))
	}
	return faults
}

// Racing lets operators race: each bases its text on what some router has in
// force, and the log loses one answer in twenty.
func Racing(ctx context.Context, r *rig.Rig, o Options) (*Race, error) {
	race := &Race{Revisions: make(map[revision.Version]int)}
	brokenBefore, first := invariant.TotalViolations(), r.Routers[0].Fleet().Revision
	stop := watchReverts(r.Routers, &race.Reverts)
	err := race.publish(ctx, r, o)
	if err == nil {
		err = race.settle(ctx, r, first)
	}
	stop()
	race.Broken = invariant.TotalViolations() - brokenBefore
	return race, err
}

func (r *Race) publish(ctx context.Context, from *rig.Rig, o Options) error {
	log := platform.NewLog(from.Platform.Log.Address(), nil)
	defer func() { _ = log.Close() }()
	from.Platform.Log.SetFaults(journal.Faults{LoseProbability: loseProbability})
	defer from.Platform.Log.SetFaults(journal.Faults{})
	random := rand.New(rand.NewPCG(o.Seed, 0))
	var mu sync.Mutex
	var racing sync.WaitGroup
	turns := make(chan struct{}, operators)
	for i := range o.Racers {
		turns <- struct{}{}
		base := from.Routers[random.IntN(len(from.Routers))].Fleet().Revision
		racing.Go(func() {
			defer func() { <-turns }()
			id := fmt.Sprintf("race-%d", i)
			data := fmt.Appendf(nil, `{"FormatVersion":1,"BasedOn":%d,"Organisations":[{"Name":%q,"Weight":1}]}`, base, id)
			out, err := publication.NewPublisher(log, id).Publish(ctx, data)
			mu.Lock()
			defer mu.Unlock()
			r.count(out, err)
		})
	}
	racing.Wait()
	return ctx.Err()
}

func (r *Race) count(out revision.Outcome, err error) {
	switch {
	case err == nil && out.Verdict == revision.VerdictAccepted:
		r.Accepted++
	case err == nil && out.Verdict == revision.VerdictLostRace:
		r.LostRace++
	default:
		r.Other++
	}
}

// settle folds the whole log and waits until every router has come to its end.
func (r *Race) settle(ctx context.Context, from *rig.Rig, first uint64) error {
	log := platform.NewLog(from.Platform.Log.Address(), nil)
	defer func() { _ = log.Close() }()
	var fold revision.Fold
	for {
		page, err := log.Read(ctx, revision.Stream, fold.Next(), time.Time{})
		if err != nil {
			return err
		}
		for _, record := range page.Records {
			if _, err := fold.Apply(record.Offset, record.Payload); err != nil {
				return err
			}
		}
		if fold.Next() >= page.Next {
			break
		}
	}
	last := fold.InForce().Version
	r.Folded = int(last.Revision - first)
	err := from.Await(ctx, func(one *router.Router) bool { return one.Fleet().Revision >= last.Revision })
	for _, one := range from.Routers {
		r.Revisions[one.Version()]++
	}
	if r.Revisions[last] != len(from.Routers) {
		err = errors.Join(err, fmt.Errorf("not all routers have the log's %+v: %v", last, r.Revisions))
	}
	return err
}

// watchReverts counts falling revisions until the returned function is called.
func watchReverts(routers []*router.Router, reverts *int64) func() {
	done := make(chan struct{})
	var watching sync.WaitGroup
	var seen atomic.Int64
	for _, one := range routers {
		watching.Go(func() {
			highest := uint64(0)
			for {
				select {
				case <-done:
					return
				case <-time.After(lookInterval):
				}
				now := one.Fleet().Revision
				if now < highest {
					seen.Add(1)
				}
				highest = max(highest, now)
			}
		})
	}
	return func() {
		close(done)
		watching.Wait()
		*reverts = seen.Load()
	}
}
