package claims

import "time"

// Options describe one experiment.
type Options struct {
	Seed    uint64
	Routers int
	// Requests is the number of keys; Rate is how many start a second.
	Requests int
	Rate     float64
	// Sends is the most times that a caller sends one request.
	Sends int
	// Faults switches all faults on.
	Faults bool
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// Record keeps the history of claims for a linearizability check.
	Record bool
}

// probability is a chance between 0 and 1.
type probability float64

// faults are the chances of the faults that strike single steps, and the
// mean time between those that strike a whole process.
type faults struct {
	appendLost   probability
	appendLate   probability
	readFailed   probability
	messageLost  probability
	messageTwice probability
	messageSlow  probability
	answerLost   probability
	callerTwice  probability
	callerLate   probability
	unscheduled  probability
	pauseEvery   time.Duration
	restartEvery time.Duration
	cutEvery     time.Duration
	logEvery     time.Duration
}

func (o Options) faults() faults {
	if !o.Faults {
		return faults{}
	}
	return faults{
		appendLost: 0.05, appendLate: 0.05, readFailed: 0.02,
		messageLost: 0.03, messageTwice: 0.03, messageSlow: 0.03,
		answerLost: 0.10, callerTwice: 0.05, callerLate: 0.10, unscheduled: 0.03,
		pauseEvery: 7 * time.Second, restartEvery: 11 * time.Second,
		cutEvery: 9 * time.Second, logEvery: 13 * time.Second,
	}
}

const (
	logDelay       = 2 * time.Millisecond
	appendTimeout  = time.Second
	lateMost       = 8 * time.Second
	readWait       = 5 * time.Second
	networkDelay   = 300 * time.Microsecond
	slowMost       = 3 * time.Second
	queueMost      = 20 * time.Millisecond
	workMost       = 400 * time.Millisecond
	callerTimeout  = 4 * time.Second
	callerLateMost = 90 * time.Second
	requestLeast   = 500 * time.Millisecond
	requestMost    = 6 * time.Second
	viewDelay      = time.Second
	joinPause      = 200 * time.Millisecond
	pauseMost      = 9 * time.Second
	outageMost     = 6 * time.Second
	settleTime     = 10 * time.Minute
)
