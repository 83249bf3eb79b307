package publication_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"hyssopreach/internal/standin/journal"
	"hyssopreach/internal/state/revision"
)

// revisions is the sequential specification of Publish: the state is the revision
// in force, the input is the base of a text, and the output is the outcome
// returned to the operator.
var revisions = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		inForce, base, out := state.(uint64), input.(uint64), output.(revision.Outcome)
		switch out.Verdict {
		case revision.VerdictAccepted:
			return base == inForce && out.Revision == inForce+1, inForce + 1
		case revision.VerdictLostRace:
			return base < inForce && out.Revision == inForce, inForce
		default:
			return false, inForce
		}
	},
}

// TestPublishHistoryIsLinearizable checks the outcomes returned to concurrent
// operators while the log loses one response in five, and that the checker
// rejects a history with one revision returned to two operators.
func TestPublishHistoryIsLinearizable(t *testing.T) {
	is := is.New(t)
	const operators, publishes = 4, 8
	j, l := startLog(t, journal.Settings{Seed: 1})
	j.SetFaults(journal.Faults{LoseProbability: 0.2})
	start := time.Now()
	histories := make([][]porcupine.Operation, operators)
	failures := make([]error, operators)
	var running sync.WaitGroup
	for client := range operators {
		running.Go(func() {
			base := uint64(0)
			for n := range publishes {
				id := fmt.Sprintf("operator%d-%d", client, n)
				called := time.Since(start)
				out, err := publish(t, l, id, document(int(base), id))
				if err != nil {
					failures[client] = err
					return
				}
				histories[client] = append(histories[client], porcupine.Operation{
					ClientId: client, Input: base, Output: out, Call: int64(called), Return: int64(time.Since(start)),
				})
				base = out.Revision
			}
		})
	}
	running.Wait()
	var all []porcupine.Operation
	for client := range operators {
		is.NoErr(failures[client])
		all = append(all, histories[client]...)
	}
	is.Equal(len(all), operators*publishes)
	is.Equal(porcupine.CheckOperationsTimeout(revisions, all, time.Minute), porcupine.Ok)

	// A history in which two operators were given the same revision is rejected.
	for i := range all {
		out := all[i].Output.(revision.Outcome)
		if out.Verdict == revision.VerdictAccepted && out.Revision > 1 {
			out.Revision--
			all[i].Output = out
			break
		}
	}
	is.Equal(porcupine.CheckOperationsTimeout(revisions, all, time.Minute), porcupine.Illegal)
}
