package baseline

// tags computes the start tags of start-time fair queueing, with one virtual
// clock per pool.
type tags struct {
	virtual map[string]float64
	finish  map[flow]float64
}

type flow struct{ pool, organisation string }

func newTags() tags {
	return tags{virtual: map[string]float64{}, finish: map[flow]float64{}}
}

// next returns the start tag of the flow's next request and adds the request's
// cost to the flow's finish tag.
func (t *tags) next(pool, organisation string, cost, weight float64) float64 {
	if weight <= 0 {
		weight = 1
	}
	f := flow{pool, organisation}
	start := max(t.virtual[pool], t.finish[f])
	t.finish[f] = start + max(cost, 1)/weight
	return start
}

// started advances the pool's virtual time to the start tag of a request that
// has been started.
func (t *tags) started(pool string, tag float64) {
	t.virtual[pool] = max(t.virtual[pool], tag)
}
