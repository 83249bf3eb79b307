package route

import (
	"strings"
	"time"

	"hyssopreach/internal/state/text"
)

// Route leads the requests of a host whose path begins with a prefix to one
// of its targets.
type Route struct {
	Host       string
	PathPrefix string
	// Class tells whether the requests are idempotent, and their urgency.
	Class text.Class
	// Stream is set if the answers are series of events.
	Stream bool
	// Resumable streams may be continued at another endpoint after the last
	// event that came.
	Resumable bool
	// Prompted requests state their prompt and run on a model engine.
	Prompted bool
	// Anonymous requests need no key.
	Anonymous bool
	// MaxAttempts is the number of endpoints that one request may be sent to.
	MaxAttempts int
	// Timeout is the longest time that a request may be kept; zero if only
	// the caller's deadline counts.
	Timeout time.Duration
	// Objective is the time within which an answer should begin.
	Objective time.Duration
	// Targets are the services that share the requests by weight.
	Targets []Target
}

// Target is a service with its part of a route's requests.
type Target struct {
	Service *text.Service
	Weight  float64
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
}

// Table is the configuration in force.
type Table struct {
	// Version grows with each change.
	Version uint64
	Limits  Limits
	// Services are indexed by name.
	Services map[string]Service

	hosts         map[string][]*Route
	organisations map[string]*text.Organisation
	byKey         map[string]*text.Organisation
}

// Service is what is configured of the endpoints of a service.
type Service struct {
	// MaxConnections is the number of connections that each endpoint accepts
	// from all routers together; zero if it isn't known.
	MaxConnections int
	// Slots and MemoryTokens are those of each endpoint; zero if they aren't
	// known.
	Slots        int
	MemoryTokens int64
	// TokensPerSecond is the work of all endpoints together; zero if it
	// isn't known.
	TokensPerSecond float64
	// TokensPerEvent is the number of tokens in one event of a stream; zero
	// if it isn't known.
	TokensPerEvent float64
}

// Organisation is an organisation with its keys.
type Organisation struct {
	text.Organisation
	Keys []string
}

// New builds a table.
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

// Match returns the route of the host with the longest prefix of the path; nil
// if there is none.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Keyed reports whether requests need a key on routes that aren't anonymous.
func (t *Table) Keyed() bool { return len(t.organisations) > 0 }

// Organisation returns the organisation that holds the key; nil if none does.
func (t *Table) Organisation(key string) *text.Organisation { return t.byKey[key] }

// Organisations returns all organisations by name.
func (t *Table) Organisations() map[string]*text.Organisation { return t.organisations }

// Pick returns the service for a draw that is evenly spread over 0 to 1; nil
// for a route without targets.
func (r *Route) Pick(draw float64) *text.Service {
	total := 0.0
	for _, target := range r.Targets {
		total += target.Weight
	}
	at := draw * total
	for _, target := range r.Targets {
		if at < target.Weight {
			return target.Service
		}
		at -= target.Weight
	}
	if len(r.Targets) == 0 {
		return nil
	}
	return r.Targets[len(r.Targets)-1].Service
}
