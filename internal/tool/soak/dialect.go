package soak

import (
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Dialect adapts a soak to one platform: its settings, stored records, header
// fields and the answers that list the routers to callers.
type Dialect interface {
	HeaderNames() HeaderNames
	// Program returns the arguments and the environment of a router whose
	// settings file is at the path.
	Program(path string) (arguments, environment []string)
	// Settings returns a router's settings file.
	Settings(r *RouterSettings) ([]byte, error)
	// Configuration returns the configuration as the store holds it.
	Configuration(c *Configuration) string
	// Entry returns an endpoint's entry as the store holds it.
	Entry(e *EndpointEntry) string
	// ServeStore answers a read of the store, which holds the configuration
	// and the endpoints' entries by name.
	ServeStore(w http.ResponseWriter, r *http.Request, configuration string, entries map[string]string)
	// SetEpoch states the epoch of the store, which rises each time that the store
	// is restored from an older copy, in the header of an answer.
	SetEpoch(h http.Header, epoch uint64)
	// RouterListURL returns the URL at which callers look up the routers to use,
	// and ParseRouterList parses the answer.
	RouterListURL(directory netip.AddrPort) string
	ParseRouterList(r io.Reader) ([]netip.AddrPort, error)
	// AsksInstance reports whether a request only asks an endpoint which instance it is.
	AsksInstance(r *http.Request) bool
}

// HeaderNames holds the names of header fields.
type HeaderNames struct {
	// ID identifies a request and Key its caller's organisation. Deadline is
	// how many milliseconds the caller waits.
	ID, Key, Deadline string
	// Tokens holds the lengths of a prompt and of its answer, and Parts the parts of
	// the prompt.
	Tokens, Parts string
	// Stamp is set by the endpoint that produced an answer.
	Stamp string
	// LastEvent is the id of the last event that the caller has received.
	LastEvent string
	// Instance names the instance of an endpoint that a request is meant for;
	// any other one refuses it. NotRun states that the endpoint has not run the
	// request.
	Instance, NotRun string
	// Leaving marks the answers of an endpoint that leaves. RetryAfter is the number
	// of seconds for which an endpoint that turns a request away wants none.
	Leaving, RetryAfter string
}

// RouterSettings holds the values of a router's settings file.
type RouterSettings struct {
	Name, FailureDomain string
	// Callers, Directory, Peers and Ready are the addresses on which the router
	// listens: for requests, for look-ups of the routers to use, for other
	// routers and for readiness checks.
	Callers, Directory, Peers, Ready netip.AddrPort
	// Seeds are the peer addresses through which the router joins the fleet.
	Seeds []netip.AddrPort
	Store netip.AddrPort
	// RevokeTime is the time within which a removed key is rejected, DrainTime the
	// one within which a leaving endpoint ceases to get requests, and
	// StopTimeout the longest time of a planned stop. RetryRatio and RetryExtra
	// limit the retries within RetryWindow.
	Heartbeat, RevokeTime, DrainTime, StopTimeout, RetryWindow time.Duration
	MemoryMB, Descriptors                                      int
	RetryRatio, RetryExtra                                     float64
}

// Configuration holds the values of the operators' configuration.
type Configuration struct {
	Version int
	Service string
	// Keys are the keys of the only organisation.
	Keys []string
	// Once, Safe and Stream are the first path segments of non-idempotent
	// requests, of idempotent requests and of resumable streams.
	Once, Safe, Stream string
	Host               string
	// Timeout bounds the time of a request. Answers should begin within
	// AnswerObjective.
	Timeout, AnswerObjective time.Duration
}

// EndpointEntry holds the values that an endpoint publishes about itself.
type EndpointEntry struct {
	Service, FailureDomain string
	Address                netip.AddrPort
	Slots                  int
	Leaving                bool
	// Sequence increases with every entry.
	Sequence int64
}
