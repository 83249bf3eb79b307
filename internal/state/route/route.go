package route

import (
	"strings"
	"time"

	"hyssopreach/internal/state/text"
	"hyssopreach/internal/state/view"
)

// Route directs the requests of a host whose path begins with a prefix to one
// of its targets.
type Route struct {
	Host       string
	PathPrefix string
	// Class states whether the requests are idempotent, and their urgency.
	Class text.Class
	// Stream is set if the answers are event streams.
	Stream bool
	// Resumable is set if a stream may be resumed at another endpoint after the
	// last event received.
	Resumable bool
	// HasPrompt is set if the requests contain a prompt and are executed by a
	// model engine.
	HasPrompt bool
	// Anonymous is set if the requests need no caller key.
	Anonymous bool
	// MaxAttempts is the maximum number of endpoints to which one request is
	// sent.
	MaxAttempts int
	// Timeout is the maximum time that a request may take; zero if only the
	// caller's deadline applies.
	Timeout time.Duration
	// Objective is the time within which the answer should start.
	Objective time.Duration
	// Patience is the time without an event after which callers give up a stream;
	// zero if it is not known.
	Patience time.Duration
	// MaxPause is the longest pause between two events of a stream with which its
	// answer is still on time; zero if none is stated.
	MaxPause time.Duration
	// Targets are the services among which the requests are split by weight.
	Targets []Target
}

// Target is a service with the weight of its share of a route's requests.
type Target struct {
	Service *text.Service
	Weight  float64
}

// Limits are the maximum sizes of a caller's request.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
}

// Table is the routing table with the rest of the configuration in force.
type Table struct {
	// Version increases with each change.
	Version uint64
	Limits  Limits
	// Services are indexed by name.
	Services map[string]Service

	// keyless is set if requests need no caller key.
	keyless       bool
	hosts         map[string][]*Route
	organisations map[string]*text.Organisation
	byKey         map[string]*text.Organisation
}

// Service is the configured capacity of a service's endpoints.
type Service struct {
	// MaxConnections is the number of connections that each endpoint accepts
	// from all routers together; zero if unknown.
	MaxConnections int
	// Slots is the number of requests that each endpoint runs concurrently, and
	// MemoryTokens the capacity of its cache in tokens; zero if unknown.
	Slots        int
	MemoryTokens int64
	// TokensPerSecond is the throughput of all endpoints together; zero if
	// unknown.
	TokensPerSecond float64
	// TokensPerEvent is the number of tokens in one event of a stream; zero if
	// unknown.
	TokensPerEvent float64
	// ColdPerSecond is the number of requests per second that an endpoint tolerates while
	// it is cold, and ColdStart the time for which it is cold after its start; zero if
	// endpoints are never cold, and negative if what is stated is no such number.
	ColdPerSecond float64
	ColdStart     time.Duration
	// ProbePath is the path of a call by which an endpoint shows that it runs.
	ProbePath string
}

// Pool returns the scheduling parameters of the pool of the service's endpoints.
func (s *Service) Pool() view.Pool {
	p := view.Pool{TokensPerSecond: s.TokensPerSecond, TokensPerEvent: s.TokensPerEvent}
	if s.ColdPerSecond > 0 {
		p.ColdPerSecond, p.ColdStart = s.ColdPerSecond, max(s.ColdStart, 0)
	}
	return p
}

// Organisation is an organisation with its caller keys.
type Organisation struct {
	text.Organisation
	Keys []string
}

// NewKeyless builds a table by which requests need no caller key on any route.
func NewKeyless(version uint64, routes []Route, services map[string]Service, limits Limits) *Table {
	t := New(version, routes, services, nil, limits)
	t.keyless = true
	return t
}

// New builds a table by which requests need the key of an organisation on routes that
// are not anonymous, even if there is no organisation.
func New(version uint64, routes []Route, services map[string]Service, organisations []Organisation, limits Limits) *Table {
	t := &Table{
		Version: version, Limits: limits, Services: services, hosts: make(map[string][]*Route),
		organisations: make(map[string]*text.Organisation, len(organisations)),
		byKey:         make(map[string]*text.Organisation),
	}
	for i := range routes {
		r := &routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for i := range organisations {
		o := &organisations[i]
		t.organisations[o.Name] = &o.Organisation
		for _, key := range o.Keys {
			t.byKey[key] = &o.Organisation
		}
	}
	return t
}

// Match returns the route of the host with the longest matching path prefix;
// nil if there is none.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// RequiresKey reports whether requests need a caller key on routes that are not
// anonymous.
func (t *Table) RequiresKey() bool { return !t.keyless }

// Organisation returns the organisation that the caller key belongs to; nil if
// the key is unknown.
func (t *Table) Organisation(key string) *text.Organisation { return t.byKey[key] }

// Organisations returns all organisations by name.
func (t *Table) Organisations() map[string]*text.Organisation { return t.organisations }

// Pick selects a service by weight. The draw must be uniformly distributed over
// [0, 1). Pick returns nil for a route without targets.
func (r *Route) Pick(draw float64) *text.Service {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := draw * total
	for _, target := range r.Targets {
		if remaining < target.Weight {
			return target.Service
		}
		remaining -= target.Weight
	}
	if len(r.Targets) == 0 {
		return nil
	}
	return r.Targets[len(r.Targets)-1].Service
}
