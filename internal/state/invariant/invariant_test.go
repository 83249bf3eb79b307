package invariant

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
)

// A violation must be counted and logged with its fields, and a check that
// holds must do neither.
func TestCheckCountsAndLogsViolations(t *testing.T) {
	is := is.New(t)
	handler := memory.New()
	log.SetHandler(handler)
	before, total := Violations(OneRunPerKey), TotalViolations()

	is.True(Check(true, OneRunPerKey, "Key", "a"))
	is.Equal(Violations(OneRunPerKey), before)
	is.Equal(len(handler.Entries), 0)

	is.True(!Check(false, OneRunPerKey, "Key", "a", "Claim", "7"))
	is.Equal(Violations(OneRunPerKey), before+1)
	is.Equal(TotalViolations(), total+1)
	is.Equal(len(handler.Entries), 1)
	is.Equal(handler.Entries[0].Message, "InvariantBroken")
	is.Equal(handler.Entries[0].Fields["Claim"], "7")
	is.Equal(handler.Entries[0].Fields["Invariant"], "OneRunPerKey")
}

// Checks are enabled in production on hot paths, so one that holds must not
// allocate.
func TestCheckThatHoldsDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	is.Equal(testing.AllocsPerRun(100, func() { Check(true, OneGrantPerBid) }), 0.0)
}
