package engine

import (
	"net/netip"
	"time"

	"hyssopreach/internal/protocol/platform"
)

// Settings holds the settings of an engine.
type Settings struct {
	// Name is the name that the engine reports.
	Name string
	// MaxBatch is the number of requests that run at once.
	MaxBatch int
	// StepTime is the duration of a step with one running request.
	StepTime time.Duration
	// StepTimePerRequest is added to a step for each further request.
	StepTimePerRequest time.Duration
	// PrefillTimePerToken is added to a step for each prompt token that is not
	// in the prefix cache, for the requests admitted in this step.
	PrefillTimePerToken time.Duration
	// CacheTokens bounds the prefix cache, in prompt tokens.
	CacheTokens int
	// MeanTokens is the mean number of generated tokens of a request that
	// doesn't state the number.
	MeanTokens int
	// LoadLag is the age of the load that the engine reports.
	LoadLag time.Duration
	// EventLag is the delay after which cache events are visible to readers.
	EventLag time.Duration
	// EventLossProbability is the probability that a cache event is lost.
	EventLossProbability float64
	// Models are the models that are loaded at the start. An engine without
	// any serves every model until it receives an order.
	Models []platform.LoadedModel
	// ChecksFencing makes the engine refuse an order whose fencing number is
	// lower than the highest received.
	ChecksFencing bool
	// WeightStore is the address of the weight store, where the engine reserves
	// the transfer of a model before it loads the model. The zero value means
	// that loading needs no reservation.
	WeightStore netip.AddrPort
	// ModelBytes is the size of every model.
	ModelBytes int64
	// LoadBytesPerSecond is the rate at which the engine loads a model.
	LoadBytesPerSecond float64
	// CrashOn is a text that crashes the engine if the body of a running request
	// contains it. If it is empty, no request crashes the engine.
	CrashOn string
	// RestartAfter is the time after which a crashed engine restarts on the
	// same address. Zero means that it doesn't restart.
	RestartAfter time.Duration
	// Seed seeds the random lengths of answers and the random loss of events.
	Seed uint64
}

// Default returns the settings of a fast engine for tests and demonstrations.
func Default(name string) Settings {
	return Settings{
		Name:                 name,
		MaxBatch:             8,
		StepTime:             2 * time.Millisecond,
		StepTimePerRequest:   100 * time.Microsecond,
		PrefillTimePerToken:  10 * time.Microsecond,
		CacheTokens:          1 << 16,
		MeanTokens:           40,
		LoadLag:              500 * time.Millisecond,
		EventLag:             500 * time.Millisecond,
		EventLossProbability: 0.01,
		ModelBytes:           1 << 30,
		LoadBytesPerSecond:   1 << 31,
		Seed:                 1,
	}
}
