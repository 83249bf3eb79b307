package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCrashingPartIsNotTriedForever guards against a part that crashes endpoints all day,
// one at each trial and three whenever the evidence has expired.
func TestCrashingPartIsNotTriedForever(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(4)
	crashes := 0
	for n := range 24 * 60 * 12 {
		at := f.ids[n%len(f.ids)]
		if f.checkParts(at, commonPart, crashingPart).Verdict == VerdictFree {
			f.partsFailed(at, endpoint(crashes), commonPart, crashingPart)
			crashes++
		}
		f.partsServed(f.ids[(n+1)%len(f.ids)], commonPart)
		f.advance(5 * time.Second)
	}
	is.True(crashes <= lateThreshold+maxLateTrials)
	is.True(f.servedEverywhere(commonPart))
	f.now = f.now.Add(24 * time.Hour) // without such requests
	f.advance(0)
	f.restart("r2")
	is.True(f.heldEverywhere(crashingPart))
	is.True(f.checkParts("r0", crashingPart).Until.After(f.now))
}

// TestPartIsReleasedWhenATrialIsServed guards against holding back a part for ever that was
// at crashes by accident, however long no request with it came.
func TestPartIsReleasedWhenATrialIsServed(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(4)
	f.convictPart(crashingPart)
	f.now = f.now.Add(24 * time.Hour)
	f.advance(0)
	owner := f.tables["r0"].view.Owners(ownerKey(crashingPart), 1)[0]
	is.Equal(f.checkParts(owner, crashingPart).Verdict, VerdictFree)
	f.partsServed(owner, crashingPart)
	is.True(f.servedEverywhere(crashingPart))
}

// TestCrashingRequestIsNotTriedForever guards against the same with a request that comes
// again unchanged.
func TestCrashingRequestIsNotTriedForever(t *testing.T) {
	is := is.New(t)
	f := newOpenFleet(4)
	crashes := 0
	for n := range 24 * 60 * 12 {
		if at := f.ids[n%len(f.ids)]; f.check(at, 7) == VerdictFree {
			f.failed(at, endpoint(crashes), 7)
			crashes++
		}
		f.advance(5 * time.Second)
	}
	is.True(crashes <= finalThreshold)
	is.True(f.rejectedEverywhere(7))
	f.step("r1", RunEnded{Fingerprint: 7, Finished: true}) // a run that was under way
	is.True(f.freeEverywhere(7))
}
