package bidding

const (
	// minLearnWeight is the least weight of a new cost in the mean.
	minLearnWeight = 0.005
	// minLearnSamples is the number of finished requests from which the mean
	// replaces the callers' estimates.
	minLearnSamples = 5
	// minCost is the smallest cost of a request, in units of service.
	minCost = 1e-6
)

// costEstimate estimates the cost of a request in one pool. It covers all
// organisations of the pool and changes slowly: if each organisation had its
// own estimate, the errors of these estimates, multiplied by the number of
// running requests, would appear as a lasting difference in the service that
// organisations receive.
type costEstimate struct {
	mean           float64 // units of service
	progressShare  float64 // mean share of the cost that is reported before the end
	samples        int
	callerEstimate float64
}

// estimate is the expected cost of one request.
func (c *costEstimate) estimate() float64 {
	if c.samples < minLearnSamples {
		return max(c.callerEstimate, minCost)
	}
	return max(c.mean, minCost)
}

// learn records the cost of a finished request and the part of it that was
// reported before the end, in units of service.
func (c *costEstimate) learn(cost, reportedBeforeEnd float64) {
	c.samples++
	weight := max(minLearnWeight, 1/float64(c.samples))
	c.mean += weight * (cost - c.mean)
	c.progressShare += weight * (reportedBeforeEnd/max(cost, minCost) - c.progressShare)
}
