package driver

import "github.com/apex/log"

// LogDecision logs a decision of a state machine as one line. The pairs are
// alternating keys and values.
func LogDecision(logger log.Interface, event string, pairs []string) {
	fields := make(log.Fields, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fields[pairs[i]] = pairs[i+1]
	}
	logger.WithFields(fields).Info(event)
}
