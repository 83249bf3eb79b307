package bidding

const (
	// learnWeight is the least weight of a new cost in the learnt mean.
	learnWeight = 0.005
	// learnAfter is the number of costs from which the learnt mean replaces
	// the callers' hints.
	learnAfter = 5
	// leastCost is the smallest cost of a request, in units of service.
	leastCost = 1e-6
)

// costs is what requests of a pool cost. It is learnt for the pool as a whole
// and slowly: a reserve that differed between organisations by the error of
// their own estimates, times all that they run, would stand in their service
// as a gap.
type costs struct {
	mean    float64 // units of service
	early   float64 // the part that is told on the way
	samples int
	hint    float64
}

// estimate is the expected cost of one request.
func (c *costs) estimate() float64 {
	if c.samples < learnAfter {
		return max(c.hint, leastCost)
	}
	return max(c.mean, leastCost)
}

// learn takes the cost of a finished request and the part of it that was told
// on the way, in units of service.
func (c *costs) learn(cost, early float64) {
	c.samples++
	weight := max(learnWeight, 1/float64(c.samples))
	c.mean += weight * (cost - c.mean)
	c.early += weight * (early/max(cost, leastCost) - c.early)
}
