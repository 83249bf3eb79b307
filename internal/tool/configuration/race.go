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
	// maxConcurrentOperators limits the operators that publish at the same
	// time.
	maxConcurrentOperators = 50
	// loseProbability is the probability that the log loses an answer after
	// the append.
	loseProbability = 0.05
)

// Race is the result of texts that were published concurrently.
type Race struct {
	// Accepted and LostRace count the verdicts that the operators received;
	// Other counts errors and other verdicts.
	Accepted, LostRace, Other int
	// AcceptedInLog is the number of these texts that the log holds as
	// accepted.
	AcceptedInLog int
	// RoutersByVersion counts the routers by the version in force at the end.
	RoutersByVersion map[revision.Version]int
	// Reverts counts the polls of a router that found a lower revision than an
	// earlier poll.
	Reverts int64
	// InvariantViolations counts the violations of invariants that the
	// routers detected.
	InvariantViolations int64
}

// Print writes the figures.
func (r *Race) Print(w io.Writer) error {
	_, err := fmt.Fprintf(w, "  concurrent texts: accepted %d, lost the race %d, other %d; accepted in the log %d; versions in force %d; reverts %d; violated invariants %d\n",
		r.Accepted, r.LostRace, r.Other, r.AcceptedInLog, len(r.RoutersByVersion), r.Reverts, r.InvariantViolations)
	return err
}

// Faults returns a description of each check that the result fails: each
// operator must learn whether the text was accepted, the number of accepted
// texts must agree with the log, all routers must have the same version in
// force, no revision may fall and no invariant may be violated.
func (r *Race) Faults() []string {
	var faults []string
	if r.Accepted != r.AcceptedInLog {
		faults = append(faults, fmt.Sprintf("%d operators received the verdict accepted, but the log holds %d accepted texts", r.Accepted, r.AcceptedInLog))
	}
	if len(r.RoutersByVersion) != 1 {
		faults = append(faults, fmt.Sprintf("%d different versions are in force on the routers, want 1", len(r.RoutersByVersion)))
	}
	if r.Other+int(r.Reverts)+int(r.InvariantViolations) > 0 {
		faults = append(faults, fmt.Sprintf("%d texts neither accepted nor lost to a concurrent text, %d reverts, %d violated invariants", r.Other, r.Reverts, r.InvariantViolations))
	}
	return faults
}

// PublishConcurrently publishes texts of many operators concurrently. Each text
// is based on the revision in force on a random router, and the log loses one
// answer in twenty.
func PublishConcurrently(ctx context.Context, r *rig.Rig, o Options) (*Race, error) {
	race := &Race{RoutersByVersion: make(map[revision.Version]int)}
	violationsBefore, initialRevision := invariant.TotalViolations(), r.Routers[0].Fleet().Revision
	stop := watchReverts(r.Routers, &race.Reverts)
	err := race.publish(ctx, r, o)
	if err == nil {
		err = race.awaitConvergence(ctx, r, initialRevision)
	}
	stop()
	race.InvariantViolations = invariant.TotalViolations() - violationsBefore
	return race, err
}

func (r *Race) publish(ctx context.Context, testRig *rig.Rig, o Options) error {
	log := platform.NewLog(testRig.Platform.Log.Address(), nil)
	defer func() { _ = log.Close() }()
	testRig.Platform.Log.SetFaults(journal.Faults{LoseProbability: loseProbability})
	defer testRig.Platform.Log.SetFaults(journal.Faults{})
	random := rand.New(rand.NewPCG(o.Seed, 0))
	var mu sync.Mutex
	var publishers sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentOperators)
	for i := range o.ConcurrentTexts {
		semaphore <- struct{}{}
		base := testRig.Routers[random.IntN(len(testRig.Routers))].Fleet().Revision
		publishers.Go(func() {
			defer func() { <-semaphore }()
			id := fmt.Sprintf("race-%d", i)
			data := fmt.Appendf(nil, `{"FormatVersion":1,"BasedOn":%d,"Organisations":[{"Name":%q,"Weight":1}]}`, base, id)
			outcome, err := publication.NewPublisher(log, id).Publish(ctx, data)
			mu.Lock()
			defer mu.Unlock()
			r.countOutcome(outcome, err)
		})
	}
	publishers.Wait()
	return ctx.Err()
}

func (r *Race) countOutcome(outcome revision.Outcome, err error) {
	switch {
	case err == nil && outcome.Verdict == revision.VerdictAccepted:
		r.Accepted++
	case err == nil && outcome.Verdict == revision.VerdictLostRace:
		r.LostRace++
	default:
		r.Other++
	}
}

// awaitConvergence folds the whole log and waits until the log's latest
// revision is in force on every router. It sets AcceptedInLog and
// RoutersByVersion.
func (r *Race) awaitConvergence(ctx context.Context, testRig *rig.Rig, initialRevision uint64) error {
	log := platform.NewLog(testRig.Platform.Log.Address(), nil)
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
	latest := fold.InForce().Version
	r.AcceptedInLog = int(latest.Revision - initialRevision)
	err := testRig.WaitForAll(ctx, func(rt *router.Router) bool { return rt.Fleet().Revision >= latest.Revision })
	for _, rt := range testRig.Routers {
		r.RoutersByVersion[rt.Version()]++
	}
	if r.RoutersByVersion[latest] != len(testRig.Routers) {
		err = errors.Join(err, fmt.Errorf("wait for the log's version %+v on all routers: versions in force are %v", latest, r.RoutersByVersion))
	}
	return err
}

// watchReverts counts the polls that find a lower revision than before, until
// the returned function is called. That function sets reverts.
func watchReverts(routers []*router.Router, reverts *int64) func() {
	done := make(chan struct{})
	var watchers sync.WaitGroup
	var observed atomic.Int64
	for _, rt := range routers {
		watchers.Go(func() {
			highest := uint64(0)
			for {
				select {
				case <-done:
					return
				case <-time.After(pollInterval):
				}
				current := rt.Fleet().Revision
				if current < highest {
					observed.Add(1)
				}
				highest = max(highest, current)
			}
		})
	}
	return func() {
		close(done)
		watchers.Wait()
		*reverts = observed.Load()
	}
}
