package invariant

import (
	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

// Name names an invariant, in metrics and in log lines.
type Name string

// The invariants that routers check while they run.
const (
	// OneHashPerRevision: all routers hold the same text under a revision.
	OneHashPerRevision Name = "OneHashPerRevision"
	// RevisionNeverFalls: the revision in force only grows.
	RevisionNeverFalls Name = "RevisionNeverFalls"
	// OneStartPerRequest: a scheduler starts an arrival at most once.
	OneStartPerRequest Name = "OneStartPerRequest"
	// OneRunPerKey: at most one claim for a key is ever granted, releases
	// aside.
	OneRunPerKey Name = "OneRunPerKey"
	// NotRunIsTrue: no request that was sent to an endpoint is refused as
	// not run.
	NotRunIsTrue Name = "NotRunIsTrue"
	// OneGrantPerBid: a bid is granted at most once.
	OneGrantPerBid Name = "OneGrantPerBid"
	// RoomWithinLimit: a dispatcher holds no more grants than its limit had
	// when it gave the last one.
	RoomWithinLimit Name = "RoomWithinLimit"
	// TagsNeverFall: start tags and virtual time only grow.
	TagsNeverFall Name = "TagsNeverFall"
	// FencingNeverFalls: a planner gives no order under an older lease than
	// its last one.
	FencingNeverFalls Name = "FencingNeverFalls"
	// AnswerMatchesRequest: an answer goes to the request that asked for it.
	AnswerMatchesRequest Name = "AnswerMatchesRequest"
)

const (
	metricPrefix = "Invariant."
	metricBroken = metricPrefix + "Broken"
	event        = "InvariantBroken"
)

// Check counts and logs a break of the named invariant unless holds is true.
// Fields are alternating keys and values that identify what broke it. It
// returns holds, so that the caller can turn to the safe side.
func Check(holds bool, name Name, fields ...string) bool {
	if !holds {
		report(name, fields)
	}
	return holds
}

// Count returns how often the named invariant was found broken since the
// process started.
func Count(name Name) int64 {
	return counter(metricPrefix + string(name)).Count()
}

// Broken returns how often any invariant was found broken since the process
// started.
func Broken() int64 {
	return counter(metricBroken).Count()
}

func report(name Name, fields []string) {
	counter(metricPrefix + string(name)).Inc(1)
	counter(metricBroken).Inc(1)
	entry := log.WithField("Invariant", string(name))
	for i := 0; i+1 < len(fields); i += 2 {
		entry = entry.WithField(fields[i], fields[i+1])
	}
	entry.Error(event)
}

func counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, metrics.DefaultRegistry)
}
