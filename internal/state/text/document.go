package text

import (
	"net/netip"
	"time"
)

// FormatVersion is the newest version of the operators' text that this
// program accepts. Rules that change between program versions are keyed by
// the version that the text itself states.
const FormatVersion = 1

// Document is the operators' text.
type Document struct {
	// FormatVersion selects the rules by which the text is judged.
	FormatVersion int
	// BasedOn is the revision that the operator had read when writing this
	// text; zero means that no text was in force.
	BasedOn uint64
	// Organisations share the capacity of the pools.
	Organisations []Organisation
	// Services are what callers and other services call.
	Services []Service
	// Pools are the sets of endpoints that serve the services.
	Pools []Pool
	// Models are what the engines of a pool can load.
	Models []Model
	// Rehearsals are failures brought about on purpose.
	Rehearsals []Rehearsal
}

// Organisation is one of the parties that share capacity.
type Organisation struct {
	// Name is unique within the document.
	Name string
	// Weight scales the organisation's share; it is above zero.
	Weight float64
	// KeyHashes are the SHA-256 sums of the caller keys, in hexadecimal.
	KeyHashes []string
	// MaxWaiting bounds the requests that wait on one router.
	MaxWaiting int
	// MaxWaitingBytes bounds the bodies that wait on one router, in bytes.
	MaxWaitingBytes int64
	// RetryRatio is the number of retries allowed for each first attempt.
	RetryRatio float64
}

// Kind tells how a service's endpoints are spoken to.
type Kind string

// The kinds of service.
const (
	// KindModel is an inference engine behind an OpenAI-style interface.
	KindModel Kind = "Model"
	// KindPlain is an HTTP service.
	KindPlain Kind = "Plain"
)

// Service is something that callers or other services call.
type Service struct {
	Name string
	Kind Kind
	// Pool names the pool whose endpoints serve this service.
	Pool string
	// DependsOn names the services without which this one cannot answer.
	DependsOn []string
	// Classes are the kinds of request, tried in order; the first match wins.
	Classes []Class
}

// Class is a kind of request to a service.
type Class struct {
	Name string
	// Methods and PathPrefix select the requests; empty matches every one.
	Methods    []string
	PathPrefix string
	// Urgency orders requests within one organisation; higher goes first.
	Urgency int
	// Idempotent requests may be run more than once.
	Idempotent bool
	// MayWait tells whether the request is queued when no endpoint has room.
	MayWait bool
	// EstimatedCost is the operators' rough hint, in units of service.
	EstimatedCost float64
}

// Pool is a set of endpoints that can stand in for each other.
type Pool struct {
	Name      string
	Endpoints []Endpoint
}

// Endpoint is one process that does work for callers.
type Endpoint struct {
	Name          string
	VM            string
	FailureDomain string
	Address       netip.AddrPort
	// ChecksFencing tells whether the endpoint refuses an order that carries
	// an old fencing number.
	ChecksFencing bool
	// Accelerators is the number of accelerators, for placement.
	Accelerators int
}

// Key names the endpoint within the document, as "vm-7/engine-0".
func (e *Endpoint) Key() string { return e.VM + "/" + e.Name }

// Model is a model with its adapters and versions.
type Model struct {
	Name     string
	Pool     string
	Version  string
	Adapters []string
	// SizeBytes is what loading costs the weight store.
	SizeBytes int64
	// MinReplicas is the number of endpoints that always hold the model.
	MinReplicas int
}

// Rehearsal is a failure brought about on purpose between two instants.
// Exactly one of FailureDomain, Router and Endpoint is set; it is cut off from
// everything outside itself.
type Rehearsal struct {
	Name          string
	FailureDomain string
	// Router is the name of a router's VM.
	Router string
	// Endpoint is an endpoint's key: its VM and name, as "vm-7/engine-0".
	Endpoint string
	// From and Until are both mandatory, so that a rehearsal ends even where
	// the cut prevents a later text from being read.
	From  time.Time
	Until time.Time
}
