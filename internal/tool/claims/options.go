package claims

import "time"

// Options describe one experiment.
type Options struct {
	Seed    uint64
	Routers int
	// Requests is the number of keys, Rate the number of them that are first
	// sent per second.
	Requests int
	Rate     float64
	// Sends is the maximum number of times that a caller sends one request.
	MaxSends int
	// Faults enables all faults.
	Faults bool
	// Retention is the time for which the log retains a record.
	Retention time.Duration
	// Record records the history of claims for a linearizability check.
	RecordHistory bool
}

// probability is a chance between 0 and 1.
type probability float64

// faults holds the probabilities of the faults of single steps, and the mean
// intervals between the faults of whole processes.
type faults struct {
	appendReplyLost probability
	appendLate      probability
	readFailed      probability
	messageLost     probability
	messageTwice    probability
	messageSlow     probability
	answerLost      probability
	callerTwice     probability
	callerLate      probability
	notScheduled    probability
	pauseEvery      time.Duration
	restartEvery    time.Duration
	cutEvery        time.Duration
	logEvery        time.Duration
}

func (o Options) faults() faults {
	if !o.Faults {
		return faults{}
	}
	return faults{
		appendReplyLost: 0.05, appendLate: 0.05, readFailed: 0.02,
		messageLost: 0.03, messageTwice: 0.03, messageSlow: 0.03,
		answerLost: 0.10, callerTwice: 0.05, callerLate: 0.10, notScheduled: 0.03,
		pauseEvery: 7 * time.Second, restartEvery: 11 * time.Second,
		cutEvery: 9 * time.Second, logEvery: 13 * time.Second,
	}
}

const (
	logDelay        = 2 * time.Millisecond
	appendTimeout   = time.Second
	maxLateAppend   = 8 * time.Second
	readWait        = 5 * time.Second
	networkDelay    = 300 * time.Microsecond
	maxMessageDelay = 3 * time.Second
	maxQueueTime    = 20 * time.Millisecond
	maxServiceTime  = 400 * time.Millisecond
	callerTimeout   = 4 * time.Second
	maxLateSend     = 90 * time.Second
	// The deadline of a request lies between minDeadline and
	// minDeadline+deadlineRange after its arrival at a router.
	minDeadline   = 500 * time.Millisecond
	deadlineRange = 6 * time.Second
	// viewDelay is the time from a router's stop or start to the publication
	// of a new view, and the longest time from there to its receipt.
	viewDelay    = time.Second
	reclaimDelay = 200 * time.Millisecond
	maxPause     = 9 * time.Second
	maxOutage    = 6 * time.Second
	settleTime   = 10 * time.Minute
)
