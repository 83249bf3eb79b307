package settings

import (
	"errors"
	"net/netip"
	"strconv"
	"time"

	"hyssopreach/internal/state/problem"
	"hyssopreach/internal/state/view"
)

// MaxBytes bounds the settings file.
const MaxBytes = 64 << 10

// Settings are the settings of one router.
type Settings struct {
	// Name is the name of the router's VM; it is the router's identity.
	Name view.RouterID
	// FailureDomain is where the VM stands.
	FailureDomain string
	// CallerAddress, PeerAddress and OperatorAddress are where the router
	// listens for callers, for other routers, and for health checks, metrics
	// and status. Port 0 picks a free port. Others are told the IP number,
	// so it must be one that they can reach.
	CallerAddress   netip.AddrPort
	PeerAddress     netip.AddrPort
	OperatorAddress netip.AddrPort
	// LogAddress, VMListAddress and WeightStoreAddress are the platform's.
	LogAddress         netip.AddrPort
	VMListAddress      netip.AddrPort
	WeightStoreAddress netip.AddrPort
	// Peers are peer addresses of routers to start from; the list may be
	// old, since the others are learnt from any one that answers.
	Peers []netip.AddrPort
	// EntryHold is how long callers may keep an answer that names routers.
	// A planned stop takes at least that long. Default: 10 s.
	EntryHold Duration
	// LogRetention is how long the platform's log keeps a record, as its
	// operators state it. What must last longer is appended again in time.
	// Default: 24 h.
	LogRetention Duration
	// Limits bound what callers can make the router hold.
	Limits Limits
}

// Limits bound what callers can make the router hold.
type Limits struct {
	// BodyBytes bounds one request's body. Default: 4 MiB.
	BodyBytes int64
	// HeaderBytes bounds one request's headers. Default: 32 KiB.
	HeaderBytes int64
	// WaitingBytes bounds the bodies of all waiting requests together.
	// Default: 256 MiB.
	WaitingBytes int64
	// KeptAnswerBytes bounds the answers kept for resent requests. Default:
	// 64 MiB.
	KeptAnswerBytes int64
}

// The defaults of settings that the file leaves out.
const (
	DefaultEntryHold       = 10 * time.Second
	DefaultLogRetention    = 24 * time.Hour
	DefaultBodyBytes       = 4 << 20
	DefaultHeaderBytes     = 32 << 10
	DefaultWaitingBytes    = 256 << 20
	DefaultKeptAnswerBytes = 64 << 20
)

// The bounds of the settings.
const (
	minEntryHold = time.Second
	maxEntryHold = 10 * time.Minute
	minRetention = time.Minute
	maxRetention = 365 * 24 * time.Hour
	minBodyBytes = 1 << 10
	minHeader    = 4 << 10
	maxHeader    = 1 << 20
)

// Duration is a length of time, written as a string such as "30s".
type Duration time.Duration

// UnmarshalText reads a duration in Go's notation.
func (d *Duration) UnmarshalText(data []byte) error {
	parsed, err := time.ParseDuration(string(data))
	if err != nil {
		return errors.New("not a duration")
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String returns the duration in Go's notation.
func (d Duration) String() string { return time.Duration(d).String() }

// Allowed tells people how a duration is written.
func (d Duration) Allowed() string { return `a duration such as "30s" or "1m30s"` }

// Default returns settings in which all is set that a file may leave out.
func Default() *Settings {
	return &Settings{
		EntryHold:    Duration(DefaultEntryHold),
		LogRetention: Duration(DefaultLogRetention),
		Limits: Limits{
			BodyBytes:       DefaultBodyBytes,
			HeaderBytes:     DefaultHeaderBytes,
			WaitingBytes:    DefaultWaitingBytes,
			KeptAnswerBytes: DefaultKeptAnswerBytes,
		},
	}
}

// Parse reads and judges a settings file. The error is of type
// problem.Problems and tells everything that is wrong.
func Parse(data []byte) (*Settings, error) {
	s := Default()
	ps := problem.Decode(data, MaxBytes, s)
	c := checker{settings: s, problems: &ps}
	c.check()
	if err := ps.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

type checker struct {
	settings *Settings
	problems *problem.Problems
}

func (c *checker) check() {
	s := c.settings
	c.name("Name", string(s.Name))
	c.name("FailureDomain", s.FailureDomain)
	c.listen("CallerAddress", s.CallerAddress)
	c.listen("PeerAddress", s.PeerAddress)
	c.listen("OperatorAddress", s.OperatorAddress)
	c.distinct()
	c.dial("LogAddress", s.LogAddress)
	c.dial("VMListAddress", s.VMListAddress)
	c.dial("WeightStoreAddress", s.WeightStoreAddress)
	for i, peer := range s.Peers {
		c.dial(problem.Index("Peers", i), peer)
	}
	if hold := time.Duration(s.EntryHold); hold < minEntryHold || hold > maxEntryHold {
		c.problems.Add("EntryHold", s.EntryHold.String(), minEntryHold.String()+" to "+maxEntryHold.String())
	}
	if kept := time.Duration(s.LogRetention); kept < minRetention || kept > maxRetention {
		c.problems.Add("LogRetention", s.LogRetention.String(), minRetention.String()+" to "+maxRetention.String())
	}
	c.limits()
}

func (c *checker) limits() {
	l := c.settings.Limits
	c.between("Limits.BodyBytes", l.BodyBytes, minBodyBytes, l.WaitingBytes)
	c.between("Limits.HeaderBytes", l.HeaderBytes, minHeader, maxHeader)
	if l.WaitingBytes < minBodyBytes {
		c.problems.Add("Limits.WaitingBytes", bytes(l.WaitingBytes), "at least "+bytes(minBodyBytes))
	}
	if l.KeptAnswerBytes < 0 {
		c.problems.Add("Limits.KeptAnswerBytes", bytes(l.KeptAnswerBytes), "0 or more")
	}
}

func (c *checker) between(path string, value, low, high int64) {
	if value < low || value > high {
		c.problems.Add(path, bytes(value), bytes(low)+" to "+bytes(high))
	}
}

func (c *checker) name(path, name string) {
	if !problem.IsName(name) {
		c.problems.Add(path, strconv.Quote(name), problem.AllowedName)
	}
}

// listen checks an address that the router listens at and tells to others.
func (c *checker) listen(path string, address netip.AddrPort) {
	if !address.IsValid() || address.Addr().IsUnspecified() {
		c.problems.Add(path, strconv.Quote(address.String()),
			`an IP number that others can reach, and a port, such as "10.0.0.1:8080"`)
	}
}

func (c *checker) dial(path string, address netip.AddrPort) {
	if !address.IsValid() || address.Addr().IsUnspecified() || address.Port() == 0 {
		c.problems.Add(path, strconv.Quote(address.String()), `an IP number and port such as "10.0.0.1:8080"`)
	}
}

func (c *checker) distinct() {
	s := c.settings
	seen := make(map[netip.AddrPort]string)
	for _, own := range []struct {
		path    string
		address netip.AddrPort
	}{{"CallerAddress", s.CallerAddress}, {"PeerAddress", s.PeerAddress}, {"OperatorAddress", s.OperatorAddress}} {
		if !own.address.IsValid() || own.address.Port() == 0 {
			continue
		}
		if earlier, taken := seen[own.address]; taken {
			c.problems.Add(own.path, own.address.String()+", which is "+earlier+" too", "an address of its own")
		}
		seen[own.address] = own.path
	}
}

func bytes(n int64) string { return strconv.FormatInt(n, 10) + " bytes" }
