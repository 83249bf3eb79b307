package engine

import (
	"net/netip"
	"time"

	"hyssopreach/internal/protocol/platform"
)

// Settings of an engine.
type Settings struct {
	// Name is what the engine calls itself.
	Name string
	// MaxBatch is the number of requests that run at once.
	MaxBatch int
	// StepTime is the time of a step with one running request.
	StepTime time.Duration
	// StepTimePerRequest is added to a step for each further request.
	StepTimePerRequest time.Duration
	// PrefillTimePerToken is added to a step for each prompt token of a
	// request admitted in it that the prefix cache doesn't hold.
	PrefillTimePerToken time.Duration
	// CacheTokens bounds the prefix cache, in prompt tokens.
	CacheTokens int
	// MeanTokens is the mean number of generated tokens of a request that
	// doesn't state its own.
	MeanTokens int
	// LoadLag is how far the load report is behind the truth.
	LoadLag time.Duration
	// EventLag is how late cache events are published.
	EventLag time.Duration
	// EventLoss is the chance that a cache event is lost.
	EventLoss float64
	// Models are held from the start. An engine that holds none and has no
	// weight store serves every model.
	Models []platform.LoadedModel
	// ChecksFencing makes the engine refuse an order older than the last.
	ChecksFencing bool
	// WeightStore is asked before a model is loaded; the zero value means
	// that loading needs no reservation.
	WeightStore netip.AddrPort
	// ModelBytes is the size of every model.
	ModelBytes int64
	// LoadBytesPerSecond is the rate at which the engine loads a model.
	LoadBytesPerSecond float64
	// KillOn makes a request whose body contains it crash the engine; empty
	// means that no request does.
	KillOn string
	// RestartAfter is the time after which a crashed engine starts again on
	// its address; zero means never.
	RestartAfter time.Duration
	// Seed feeds the lengths of answers and the loss of events.
	Seed uint64
}

// Default returns the settings of a fast engine for tests and demonstrations.
func Default(name string) Settings {
	return Settings{
		Name:                name,
		MaxBatch:            8,
		StepTime:            2 * time.Millisecond,
		StepTimePerRequest:  100 * time.Microsecond,
		PrefillTimePerToken: 10 * time.Microsecond,
		CacheTokens:         1 << 16,
		MeanTokens:          40,
		LoadLag:             500 * time.Millisecond,
		EventLag:            500 * time.Millisecond,
		EventLoss:           0.01,
		ModelBytes:          1 << 30,
		LoadBytesPerSecond:  1 << 31,
		Seed:                1,
	}
}
