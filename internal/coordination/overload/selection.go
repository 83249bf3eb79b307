package overload

import (
	"math"
	"math/bits"
)

const (
	// sizeClasses is the number of classes of requests by the engine time that they
	// ask for. Each class holds requests of up to twice the time of the class below.
	sizeClasses = 16
	// minSizePart is the part of the mean proportion in which requests of the smallest
	// sizes are accepted at least, so that no kind of request starves. Operators
	// tolerate that a kind of request is served a quarter as often as others.
	minSizePart = 0.35
	// selectionSteps is the number of bisections after which the acceptance of the
	// size classes is known to a few parts in a thousand.
	selectionSteps = 12
)

// selection decides which requests of an organisation are accepted while a part of
// its connections is rejected.
//
// A request costs the router about the same, whatever it asks of an engine, while
// callers gain the more the longer the engine works for them. So the processor time of
// a router that lacks it yields most if the requests that ask for most engine time are
// accepted first.
type selection struct {
	// arrived is the number of requests of each class since the last sample, and
	// offered the mean number between two samples.
	arrived, offered [sizeClasses]float64
	// rejected is the part of each class that is rejected, and remainder the part of a
	// request that is still to be rejected.
	rejected, remainder [sizeClasses]float64
}

// sizeClass returns the class of a request that asks for the given engine time, in
// milliseconds.
func sizeClass(engineMillis float64) int {
	return min(bits.Len64(uint64(max(engineMillis, 0))), sizeClasses-1)
}

// takeSample updates the mean numbers of requests.
func (s *selection) takeSample() {
	for i := range s.offered {
		s.offered[i] += offeredWeight * (s.arrived[i] - s.offered[i])
		s.arrived[i] = 0
	}
}

// divide sets the part of each class that is rejected so that the given part of all
// requests is.
func (s *selection) divide(fraction float64) {
	total := 0.0
	for _, n := range s.offered {
		total += n
	}
	if total < minOffered || fraction <= 0 {
		for i := range s.rejected {
			s.rejected[i] = max(fraction, 0)
		}
		return
	}
	kept := 1 - fraction
	// scale is the part of the smallest class that is accepted if minSizePart does not count.
	accepted := func(scale float64, class int) float64 {
		return min(max(scale*float64(uint64(1)<<class), minSizePart*kept), 1)
	}
	// At low all classes are accepted in the smallest part, and at high all of them entirely.
	// These differ by a factor of up to 2^23, so the bisection is one of the logarithm.
	low, high := minSizePart*kept/float64(uint64(1)<<(sizeClasses-1)), 1.0
	for range selectionSteps {
		scale, sum := math.Sqrt(low*high), 0.0
		for i, n := range s.offered {
			sum += n * accepted(scale, i)
		}
		if sum > kept*total {
			high = scale
		} else {
			low = scale
		}
	}
	for i := range s.rejected {
		s.rejected[i] = 1 - accepted(low, i)
	}
}

// reject counts a request and reports whether to reject it.
func (s *selection) reject(engineMillis float64) bool {
	class := sizeClass(engineMillis)
	s.arrived[class]++
	return rejectNext(s.rejected[class], &s.remainder[class])
}
