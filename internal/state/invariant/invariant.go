package invariant

import (
	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

// Name is the name of an invariant in metrics and log lines.
type Name string

// The invariants that a running router checks.
const (
	// OneHashPerRevision: all routers have the same text for a revision.
	OneHashPerRevision Name = "OneHashPerRevision"
	// RevisionNeverFalls: the revision in force never decreases.
	RevisionNeverFalls Name = "RevisionNeverFalls"
	// OneStartPerRequest: a scheduler starts a request at most once.
	OneStartPerRequest Name = "OneStartPerRequest"
	// OneRunPerKey: at most one claim for a key is granted, except after a
	// release.
	OneRunPerKey Name = "OneRunPerKey"
	// NotRunIsTrue: a request that was sent to an endpoint is never refused
	// with the statement that it was not run.
	NotRunIsTrue Name = "NotRunIsTrue"
	// OneGrantPerBid: a bid is granted at most once.
	OneGrantPerBid Name = "OneGrantPerBid"
	// RoomWithinLimit: the number of a dispatcher's grants does not exceed the
	// limit that applied when it made the last one.
	RoomWithinLimit Name = "RoomWithinLimit"
	// TagsNeverFall: start tags and virtual time never decrease.
	TagsNeverFall Name = "TagsNeverFall"
	// FencingNeverFalls: a planner gives no order under a lease older than that
	// of its last order.
	FencingNeverFalls Name = "FencingNeverFalls"
	// AnswerMatchesRequest: an answer is delivered only to the request that it
	// belongs to.
	AnswerMatchesRequest Name = "AnswerMatchesRequest"
)

const (
	metricPrefix     = "Invariant."
	metricViolations = metricPrefix + "Broken"
	eventName        = "InvariantBroken"
)

// Check counts and logs a violation of the named invariant unless holds is
// true. The fields are alternating keys and values that identify the cause.
// Check returns holds, so that the caller can take a safe action after a
// violation.
func Check(holds bool, name Name, fields ...string) bool {
	if !holds {
		reportViolation(name, fields)
	}
	return holds
}

// Violations returns the number of violations of the named invariant since the
// process started.
func Violations(name Name) int64 {
	return counter(metricPrefix + string(name)).Count()
}

// TotalViolations returns the number of violations of all invariants since the
// process started.
func TotalViolations() int64 {
	return counter(metricViolations).Count()
}

func reportViolation(name Name, fields []string) {
	counter(metricPrefix + string(name)).Inc(1)
	counter(metricViolations).Inc(1)
	entry := log.WithField("Invariant", string(name))
	for i := 0; i+1 < len(fields); i += 2 {
		entry = entry.WithField(fields[i], fields[i+1])
	}
	entry.Error(eventName)
}

func counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, metrics.DefaultRegistry)
}
