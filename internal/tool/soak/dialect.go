package soak

import (
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Dialect is how a platform's routers, store, endpoints and callers speak.
type Dialect interface {
	Names() Names
	// Program returns the arguments and the environment of a router whose
	// settings file is at the path.
	Program(path string) (arguments, environment []string)
	// Settings returns a router's settings file.
	Settings(r *RouterSettings) ([]byte, error)
	// Configuration returns what the store holds as the configuration.
	Configuration(c *Configuration) string
	// Entry returns what the store holds of an endpoint.
	Entry(e *Entry) string
	// ServeStore answers a read of the store, which holds the configuration
	// and the endpoints' entries by name.
	ServeStore(w http.ResponseWriter, r *http.Request, configuration string, entries map[string]string)
	// EntryURL is where callers ask which routers to use, and ParseEntries
	// reads the answer.
	EntryURL(directory netip.AddrPort) string
	ParseEntries(r io.Reader) ([]netip.AddrPort, error)
}

// Names are those of header fields.
type Names struct {
	// ID names a request and Key its caller's organisation. Deadline is the
	// milliseconds that a caller waits.
	ID, Key, Deadline string
	// Stamp is set by the endpoint that made an answer.
	Stamp string
	// LastEvent is the id of the last event that a caller has.
	LastEvent string
	// Instance makes every endpoint but the named one refuse, and NotRun says
	// that an endpoint has not run a request.
	Instance, NotRun string
}

// RouterSettings are what a router must be told.
type RouterSettings struct {
	Name, FailureDomain                   string
	Callers, Directory, Peers, Ready      netip.AddrPort
	Seeds                                 []netip.AddrPort
	Store                                 netip.AddrPort
	Heartbeat, Revoke, StopWithin, Window time.Duration
	MemoryMB, Descriptors                 int
	RetryRatio, RetryExtra                float64
}

// Configuration is what the operators have set.
type Configuration struct {
	Version int
	Service string
	// Keys are those of the one organisation.
	Keys []string
	// Once, Safe and Stream are the first parts of the paths of requests that
	// may run once, that may be repeated, and of streams that may be resumed.
	Once, Safe, Stream string
	Host               string
	Timeout, Objective time.Duration
}

// Entry is what an endpoint says of itself.
type Entry struct {
	Service, FailureDomain string
	Address                netip.AddrPort
	Slots                  int
	Leaving                bool
	// Sequence grows with every entry.
	Sequence int64
}
