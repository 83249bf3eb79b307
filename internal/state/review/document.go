package review

import "time"

// Document is a configuration as its operators state it.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Keyless is set if requests need no key on any route.
	Keyless       bool
	Organisations []Organisation
	// HeaderBytes and BodyBytes limit requests, and TokensPerSecond is the throughput of
	// all engines together; zero if not stated.
	HeaderBytes, BodyBytes int64
	TokensPerSecond        float64
}

// Route is a route of the configuration.
type Route struct {
	Name, Host, PathPrefix string
	// Type is the stated type, and KnownType whether it is one that routers know.
	Type      string
	KnownType bool
	Stream    bool
	Resumable bool
	// HasPrompt is set if requests describe their prompt.
	HasPrompt bool
	Anonymous bool
	// Split is set if the targets are a split and not one service.
	Split                        bool
	Targets                      []Target
	Timeout, Objective, MaxPause time.Duration
	MaxAttempts                  int
	Priority                     int
}

// Target is a service with its weight in a split.
type Target struct {
	Service string
	Weight  float64
}

// Service is a service of the configuration.
type Service struct {
	Name           string
	MaxConnections int
	// Engine is set for a service of model engines; the fields up to TokensPerEvent
	// describe an engine.
	Engine         bool
	Slots          int
	MemoryTokens   int64
	TokensPerEvent float64
	// ColdPerSecond and ColdStart are the permitted rate of a cold endpoint and how long
	// it is cold; zero if not stated. ColdUnreadable is set if one of them is no number.
	ColdUnreadable bool
	ColdPerSecond  float64
	ColdStart      time.Duration
}

// Organisation is an organisation with its callers' keys.
type Organisation struct {
	Name string
	Keys []string
}
