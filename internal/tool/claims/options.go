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
	// MaxSends is the maximum number of times that a caller sends one request.
	MaxSends int
	// Faults enables all faults.
	Faults bool
	// Retention is the time for which the log retains a record.
	Retention time.Duration
	// RecordHistory records the history of claims for a linearizability check.
	RecordHistory bool
}

// probability is a chance between 0 and 1.
type probability float64

// faults holds the probabilities of the faults of single steps, and the mean
// intervals between the faults of whole processes. A mean interval of 0
// disables the fault.
type faults struct {
	appendReplyLost   probability
	appendLate        probability
	readFailed        probability
	messageLost       probability
	messageDuplicated probability
	messageDelayed    probability
	answerLost        probability
	duplicateSend     probability
	// lateSend is the probability of one more send, up to maxLateSend after the
	// first one.
	lateSend probability
	// notScheduled is the probability that a request is refused after the wait
	// for capacity.
	notScheduled probability
	// Pauses, restarts and network cuts affect one router. A fault of the log
	// is an outage or a period of slow appends.
	pauseInterval      time.Duration
	restartInterval    time.Duration
	networkCutInterval time.Duration
	logFaultInterval   time.Duration
}

func (o Options) faults() faults {
	if !o.Faults {
		return faults{}
	}
	return faults{
		appendReplyLost: 0.05, appendLate: 0.05, readFailed: 0.02,
		messageLost: 0.03, messageDuplicated: 0.03, messageDelayed: 0.03,
		answerLost: 0.10, duplicateSend: 0.05, lateSend: 0.10, notScheduled: 0.03,
		pauseInterval: 7 * time.Second, restartInterval: 11 * time.Second,
		networkCutInterval: 9 * time.Second, logFaultInterval: 13 * time.Second,
	}
}

const (
	// logDelay and networkDelay are means; see world.jitter.
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
	viewDelay = time.Second
	// reclaimDelay is the time between the holder's report that it will not
	// send a request and the next claim of the key. It allows the holder's
	// release to be appended first.
	reclaimDelay = 200 * time.Millisecond
	maxPause     = 9 * time.Second
	maxOutage    = 6 * time.Second
	// settleTime is the time from the last arrival to the end of the
	// experiment. Faults continue during its first minute.
	settleTime = 10 * time.Minute
)
