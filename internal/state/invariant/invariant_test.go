package invariant

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"
)

func TestCheckCountsAndLogsOnlyBreaks(t *testing.T) {
	is := is.New(t)
	handler := memory.New()
	log.SetHandler(handler)
	before, all := Count(OneRunPerKey), Broken()

	is.True(Check(true, OneRunPerKey, "Key", "a"))
	is.Equal(Count(OneRunPerKey), before)
	is.Equal(len(handler.Entries), 0)

	is.True(!Check(false, OneRunPerKey, "Key", "a", "Claim", "7"))
	is.Equal(Count(OneRunPerKey), before+1)
	is.Equal(Broken(), all+1)
	is.Equal(len(handler.Entries), 1)
	is.Equal(handler.Entries[0].Message, "InvariantBroken")
	is.Equal(handler.Entries[0].Fields["Claim"], "7")
	is.Equal(handler.Entries[0].Fields["Invariant"], "OneRunPerKey")
}

func TestCheckThatHoldsAllocatesNothing(t *testing.T) {
	is := is.New(t)
	is.Equal(testing.AllocsPerRun(100, func() { Check(true, OneGrantPerBid) }), 0.0)
}
