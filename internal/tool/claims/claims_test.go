package claims

import (
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hyssopreach/internal/state/claim"
)

// TestFaultsNeverCauseSecondRun guards against requests that run twice because
// of faults between the caller, the routers and the log. It also guards
// against a fleet that answers too few requests under faults.
func TestFaultsNeverCauseSecondRun(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		is := is.New(t)
		r := Run(Options{Seed: seed, Routers: 7, Requests: 3000, Rate: 100, MaxSends: 5, Faults: true, Retention: 3 * time.Hour})
		is.Equal(r.Violations, nil)
		is.Equal(r.RanTwice, 0)
		is.True(r.Answered > r.Options.Requests/2) // faults do not stop the service
	}
}

// TestClaimsSurviveLogRetention guards against claims that are lost, so that
// their requests run twice, because the log has removed their records after a
// retention period that is shorter than the lifetime of a key.
func TestClaimsSurviveLogRetention(t *testing.T) {
	is := is.New(t)
	r := Run(Options{Seed: 4, Routers: 5, Requests: 6000, Rate: 60, MaxSends: 5, Faults: true, Retention: 40 * time.Second})
	is.Equal(r.Violations, nil)
	is.Equal(r.RanTwice, 0)
	is.True(r.Answered > r.Options.Requests/2)
}

// TestWithoutFaultsEveryRequestRunsOnce guards against requests that fail, or
// that take too many appends to the log, in a fleet without faults.
func TestWithoutFaultsEveryRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	r := Run(Options{Seed: 5, Routers: 7, Requests: 5000, Rate: 500, MaxSends: 5, Retention: 3 * time.Hour})
	is.Equal(r.Runs, 5000)
	is.Equal(r.Answered, 5000)
	is.Equal(r.RanTwice, 0)
	is.True(r.AppendsPerSecond <= 60)
}

// TestRandomFaultsCauseNoViolations guards against second runs and wrong
// refusals under random schedules of faults, fleet sizes and retention periods.
func TestRandomFaultsCauseNoViolations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Run(Options{
			Seed:      rapid.Uint64().Draw(t, "seed"),
			Routers:   rapid.IntRange(1, 5).Draw(t, "routers"),
			Requests:  200,
			Rate:      rapid.SampledFrom([]float64{5, 20, 100}).Draw(t, "rate"),
			MaxSends:  rapid.IntRange(1, 5).Draw(t, "sends"),
			Faults:    true,
			Retention: rapid.SampledFrom([]time.Duration{30 * time.Second, 3 * time.Hour}).Draw(t, "retention"),
		})
		if len(r.Violations) > 0 || r.RanTwice > 0 {
			t.Fatal(r.Violations, r.RanTwice)
		}
	})
}

// keyState is the sequential specification of one key.
type keyState struct {
	holder claim.ID
	// held are the claims that have held the key or may have held it: a claim
	// that was rejected on the basis of an older state may still be appended.
	// void are the claims that were released or have lost.
	held, void []claim.ID
}

// stepKey applies one operation to a keyState, and reports whether the
// operation's result is possible in that state.
func stepKey(state, input, output any) (bool, any) {
	s, in, out := state.(keyState), input.(operation), output.(result)
	// A claim without a verdict may or may not have taken effect.
	hasVerdict := !out.at.IsZero()
	void := slices.Contains(s.void, in.id)
	if in.release {
		if s.holder == in.id {
			s.holder = claim.ID{}
		}
		s.void = append(slices.Clone(s.void), in.id)
		return true, s
	}
	if hasVerdict && out.claimResult.Verdict != claim.VerdictWon {
		ok := slices.Contains(s.held, out.claimResult.Winner)
		s.held = append(slices.Clone(s.held), in.id)
		return ok, s
	}
	if s.holder == (claim.ID{}) && !void {
		s.holder = in.id
		s.held = append(slices.Clone(s.held), in.id)
	} else if s.holder != in.id {
		s.void = append(slices.Clone(s.void), in.id)
	}
	return !hasVerdict || s.holder == in.id, s
}

// TestClaimHistoriesAreLinearizable guards against verdicts that contradict
// each other, such as two winners of one key, in a history under faults.
func TestClaimHistoriesAreLinearizable(t *testing.T) {
	is := is.New(t)
	model := porcupine.Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[claim.Digest][]porcupine.Operation{}
			for _, o := range all {
				key := o.Input.(operation).key
				byKey[key] = append(byKey[key], o)
			}
			parts := make([][]porcupine.Operation, 0, len(byKey))
			for _, part := range byKey {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return keyState{} },
		Step: stepKey,
		Equal: func(a, b any) bool {
			x, y := a.(keyState), b.(keyState)
			return x.holder == y.holder && slices.Equal(x.held, y.held) && slices.Equal(x.void, y.void)
		},
	}
	r := Run(Options{Seed: 6, Routers: 5, Requests: 1500, Rate: 50, MaxSends: 5, Faults: true, Retention: 3 * time.Hour, RecordHistory: true})
	is.True(len(r.History) > 1500)
	is.Equal(porcupine.CheckOperationsTimeout(model, r.History, 0), porcupine.Ok)

	// The check must reject a history with two winners of one key.
	for i := range r.History {
		first, ok := r.History[i].Output.(result)
		if !ok || first.claimResult.Verdict != claim.VerdictWon {
			continue
		}
		second := r.History[i]
		in := second.Input.(operation)
		in.id = claim.ID{0xff}
		second.Input = in
		second.Output = result{first.at, claim.Result{Claim: in.id, Verdict: claim.VerdictWon, Winner: in.id}}
		is.Equal(porcupine.CheckOperationsTimeout(model, append(r.History, second), 0), porcupine.Illegal)
		return
	}
}
