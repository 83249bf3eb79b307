package admission

const (
	// prefillWeight is the weight of one request in the moving average of a class.
	prefillWeight = 0.01
	// maxClasses is the number of classes of a pool above which all averages begin
	// anew. The configuration adds and removes classes.
	maxClasses = 1024
)

// classPrefill is the mean number of prompt tokens that an engine has to process
// for a request of a class.
//
// Whether an engine has room for a request, and whether a request can still begin
// in time, is judged by the mean of its class. Judged by its own length, a long
// prompt would find room only at engines without a backlog, which shorter prompts
// of other callers prevent at any load above the capacity.
type classPrefill struct {
	mean  float64
	count int
}

// add adds a request. The first requests of a class have equal weights.
func (c *classPrefill) add(tokens int64) {
	c.count++
	c.mean += max(prefillWeight, 1/float64(c.count)) * (float64(tokens) - c.mean)
}

// tokens returns the mean, or the request's own prefill if no request of the class
// has been judged yet.
func (c *classPrefill) tokens(own int64) int64 {
	if c.count == 0 {
		return own
	}
	return int64(c.mean)
}

// class returns the mean prefill of the class in the pool.
func (l *pool) class(name string) *classPrefill {
	c := l.classes[name]
	if c == nil {
		if len(l.classes) >= maxClasses {
			clear(l.classes)
		}
		c = &classPrefill{}
		l.classes[name] = c
	}
	return c
}
