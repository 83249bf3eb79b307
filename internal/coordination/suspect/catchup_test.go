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
