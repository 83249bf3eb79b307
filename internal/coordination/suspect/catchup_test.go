package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hyssopreach/internal/state/view"
)

// contactTime is the time after which a router that can be reached again must know what
// the others know.
const contactTime = 3 * time.Second

// TestRouterBehindCutLinksLearnsOfConvictedParts guards against a router that passes on
// requests with a convicted part long after the links on which it missed the evidence
// work again.
func TestRouterBehindCutLinksLearnsOfConvictedParts(t *testing.T) {
	for seconds := range 20 {
		is := is.New(t)
		f := newOpenFleet(4)
		heals := f.now.Add(time.Duration(seconds) * time.Second)
		f.lose = func(from, to view.RouterID) bool { return (from == "r3" || to == "r3") && f.now.Before(heals) }
		f.convictPart(commonPart, crashingPart)
		for f.now.Before(heals.Add(contactTime)) {
			f.advance(100 * time.Millisecond)
		}
		is.True(f.heldEverywhere(commonPart, crashingPart))
		for _, id := range f.ids {
			is.Equal(len(f.tables[id].missed), 0)
		}
	}
}

// TestEvictedEvidenceIsNotSentAgain guards against a router that ends because the evidence
// against a convicted part has been evicted while another router has still to get it.
func TestEvictedEvidenceIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(4)
	f.lose = func(_, to view.RouterID) bool { return to == "r3" }
	f.convictPart(crashingPart)
	f.advance(time.Second)
	table := f.tables["r0"]
	is.True(len(table.missed) > 0 && len(table.convictions) > 0)
	delete(table.records, crashingPart)
	is.True(!table.catchUp(f.now.Add(firstResendDelay)).IsZero())
}
