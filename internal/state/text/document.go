package text

import (
	"net/netip"
	"time"
)

// FormatVersion is the newest format version of the operators' text that this
// program accepts. If the rules change, the format version stated in the text
// selects the rules by which it is validated.
const FormatVersion = 1

// Document is the operators' text.
type Document struct {
	// FormatVersion selects the rules by which the text is validated.
	FormatVersion int
	// BasedOn is the revision from which the operator derived this text; zero
	// if no text was in force.
	BasedOn uint64
	// Organisations share the capacity of the pools.
	Organisations []Organisation
	// Services are the services that callers and other services can call.
	Services []Service
	// Pools are the sets of endpoints that serve the services.
	Pools []Pool
	// Models are the models that the engines of a pool can load.
	Models []Model
	// Rehearsals are scheduled fault injections.
	Rehearsals []Rehearsal
}

// Organisation is one of the organisations that share the capacity of the
// pools.
type Organisation struct {
	// Name is unique within the document.
	Name string
	// Weight scales the organisation's share of the capacity; it is above zero.
	Weight float64
	// KeyHashes are the SHA-256 sums of the organisation's caller keys, in
	// hexadecimal.
	KeyHashes []string
	// MaxWaiting bounds the number of the organisation's requests that wait on
	// one router; zero means that only the router's own limits apply.
	MaxWaiting int
	// MaxWaitingBytes bounds the total size of the bodies of these requests;
	// zero means that only the router's own limits apply.
	MaxWaitingBytes int64
	// RetryRatio is the number of retries allowed for each first attempt.
	RetryRatio float64
}

// Kind is the interface of a service's endpoints.
type Kind string

// The kinds of service.
const (
	// KindModel is an inference engine behind an OpenAI-style interface.
	KindModel Kind = "Model"
	// KindPlain is an HTTP service.
	KindPlain Kind = "Plain"
)

// Service is a service that callers or other services can call.
type Service struct {
	Name string
	Kind Kind
	// Pool names the pool whose endpoints serve this service.
	Pool string
	// DependsOn names the services that this service needs to answer requests.
	DependsOn []string
	// Classes are the classes of requests, matched in order; the first match
	// applies.
	Classes []Class
}

// Class is a class of requests to a service.
type Class struct {
	Name string
	// Methods and PathPrefix select the requests of the class. An empty value
	// matches every method or path.
	Methods    []string
	PathPrefix string
	// Urgency is the priority of the requests within one organisation; requests
	// of higher urgency are scheduled first.
	Urgency int
	// Idempotent is set if the requests may be executed more than once.
	Idempotent bool
	// MayWait is set if the requests are queued when no endpoint has free
	// capacity.
	MayWait bool
	// EstimatedCost is the operators' rough estimate of the cost of one
	// request, in units of service: generated tokens for a model, milliseconds
	// for a plain service.
	EstimatedCost float64
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	Name      string
	Endpoints []Endpoint
}

// Endpoint is one process that executes requests.
type Endpoint struct {
	Name          string
	VM            string
	FailureDomain string
	Address       netip.AddrPort
	// ChecksFencing is set if the endpoint refuses placement orders that carry
	// an outdated fencing number.
	ChecksFencing bool
	// Accelerators is the number of the endpoint's accelerators. Placement uses
	// it.
	Accelerators int
}

// Key returns the unique name of the endpoint within the document, such as
// "vm-7/engine-0".
func (e *Endpoint) Key() string { return e.VM + "/" + e.Name }

// Model is one version of a model with its adapters.
type Model struct {
	Name     string
	Pool     string
	Version  string
	Adapters []string
	// SizeBytes is the number of bytes that loading the model reads from the
	// weight store.
	SizeBytes int64
	// MinReplicas is the minimum number of endpoints that have the model
	// loaded.
	MinReplicas int
}

// Rehearsal is a fault injection with a start and an end time: a network
// partition of a failure domain, a router or an endpoint from everything else.
// Exactly one of FailureDomain, Router and Endpoint is set.
type Rehearsal struct {
	Name          string
	FailureDomain string
	// Router is the name of a router's VM.
	Router string
	// Endpoint is the key of an endpoint: its VM and name, such as
	// "vm-7/engine-0".
	Endpoint string
	// From and Until are both mandatory, so that a rehearsal ends even on
	// routers that cannot read a later text because of the partition.
	From  time.Time
	Until time.Time
}
