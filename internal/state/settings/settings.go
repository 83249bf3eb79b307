package settings

import (
	"errors"
	"net/netip"
	"strconv"
	"time"

	"hyssopreach/internal/state/problem"
	"hyssopreach/internal/state/view"
)

// MaxBytes bounds the size of the settings file.
const MaxBytes = 64 << 10

// Settings are the settings of one router.
type Settings struct {
	// Name is the name of the router's VM. It identifies the router.
	Name view.RouterID
	// FailureDomain is the failure domain of the VM.
	FailureDomain string
	// CallerAddress, PeerAddress and OperatorAddress are the addresses at which
	// the router listens for callers, for other routers, and for health checks,
	// metrics and status. Port 0 selects a free port. The IP address is
	// announced to others, so it must be one that they can reach.
	CallerAddress   netip.AddrPort
	PeerAddress     netip.AddrPort
	OperatorAddress netip.AddrPort
	// LogAddress, VMListAddress and WeightStoreAddress are the addresses of the
	// platform's services.
	LogAddress         netip.AddrPort
	VMListAddress      netip.AddrPort
	WeightStoreAddress netip.AddrPort
	// Peers are peer addresses of routers to contact at start. The list may be
	// outdated, because any router that answers sends the addresses of the
	// others.
	Peers []netip.AddrPort
	// EntryHold is how long callers may cache an answer that lists routers. A
	// planned stop of a router takes at least that long, so that no cached
	// answer still lists it when it stops. Default: 10 s.
	EntryHold Duration
	// LogRetention is how long the platform's log retains a record, as its
	// operators state it. Records that are needed for longer are appended again
	// before they are discarded. Default: 24 h.
	LogRetention Duration
	// Limits bound the memory that callers can make the router use.
	Limits Limits
}

// Limits bound the memory that callers can make the router use.
type Limits struct {
	// BodyBytes bounds the body of one request. Default: 4 MiB.
	BodyBytes int64
	// HeaderBytes bounds the headers of one request. Default: 32 KiB.
	HeaderBytes int64
	// WaitingBytes bounds the total size of the bodies of all waiting requests.
	// Default: 256 MiB.
	WaitingBytes int64
	// KeptAnswerBytes bounds the total size of the responses retained for
	// requests that callers resend. Default: 64 MiB.
	KeptAnswerBytes int64
}

// The defaults of the settings that the file may omit.
const (
	DefaultEntryHold       = 10 * time.Second
	DefaultLogRetention    = 24 * time.Hour
	DefaultBodyBytes       = 4 << 20
	DefaultHeaderBytes     = 32 << 10
	DefaultWaitingBytes    = 256 << 20
	DefaultKeptAnswerBytes = 64 << 20
)

// The minimum and maximum values of settings.
const (
	minEntryHold    = time.Second
	maxEntryHold    = 10 * time.Minute
	minLogRetention = time.Minute
	maxLogRetention = 365 * 24 * time.Hour
	minBodyBytes    = 1 << 10
	minHeaderBytes  = 4 << 10
	maxHeaderBytes  = 1 << 20
)

// Duration is a length of time, written as a string such as "30s".
type Duration time.Duration

// UnmarshalText parses a duration in the notation of time.ParseDuration.
func (d *Duration) UnmarshalText(data []byte) error {
	parsed, err := time.ParseDuration(string(data))
	if err != nil {
		return errors.New("not a duration")
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration in the notation of time.ParseDuration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// String formats the duration in the notation of time.ParseDuration.
func (d Duration) String() string { return time.Duration(d).String() }

// DescribeAllowed describes the notation of a duration in messages for
// operators.
func (d Duration) DescribeAllowed() string { return `a duration such as "30s" or "1m30s"` }

// Default returns settings with the default values of the settings that the
// file may omit.
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

// Parse parses and validates a settings file. The error is of type
// problem.Problems and lists every fault found.
func Parse(data []byte) (*Settings, error) {
	s := Default()
	ps := problem.Decode(data, MaxBytes, s)
	c := checker{settings: s, problems: &ps}
	c.checkAll()
	if err := ps.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// checker validates settings and collects the problems found.
type checker struct {
	settings *Settings
	problems *problem.Problems
}

func (c *checker) checkAll() {
	s := c.settings
	c.checkName("Name", string(s.Name))
	c.checkName("FailureDomain", s.FailureDomain)
	c.checkListenAddress("CallerAddress", s.CallerAddress)
	c.checkListenAddress("PeerAddress", s.PeerAddress)
	c.checkListenAddress("OperatorAddress", s.OperatorAddress)
	c.checkDistinctAddresses()
	c.checkDialAddress("LogAddress", s.LogAddress)
	c.checkDialAddress("VMListAddress", s.VMListAddress)
	c.checkDialAddress("WeightStoreAddress", s.WeightStoreAddress)
	for i, peer := range s.Peers {
		c.checkDialAddress(problem.Index("Peers", i), peer)
	}
	if hold := time.Duration(s.EntryHold); hold < minEntryHold || hold > maxEntryHold {
		c.problems.Add("EntryHold", s.EntryHold.String(), minEntryHold.String()+" to "+maxEntryHold.String())
	}
	if retention := time.Duration(s.LogRetention); retention < minLogRetention || retention > maxLogRetention {
		c.problems.Add("LogRetention", s.LogRetention.String(), minLogRetention.String()+" to "+maxLogRetention.String())
	}
	c.checkLimits()
}

func (c *checker) checkLimits() {
	l := c.settings.Limits
	c.checkRange("Limits.BodyBytes", l.BodyBytes, minBodyBytes, l.WaitingBytes)
	c.checkRange("Limits.HeaderBytes", l.HeaderBytes, minHeaderBytes, maxHeaderBytes)
	if l.WaitingBytes < minBodyBytes {
		c.problems.Add("Limits.WaitingBytes", formatBytes(l.WaitingBytes), "at least "+formatBytes(minBodyBytes))
	}
	if l.KeptAnswerBytes < 0 {
		c.problems.Add("Limits.KeptAnswerBytes", formatBytes(l.KeptAnswerBytes), "0 or more")
	}
}

func (c *checker) checkRange(path string, value, low, high int64) {
	if value < low || value > high {
		c.problems.Add(path, formatBytes(value), formatBytes(low)+" to "+formatBytes(high))
	}
}

func (c *checker) checkName(path, name string) {
	if !problem.IsName(name) {
		c.problems.Add(path, strconv.Quote(name), problem.AllowedName)
	}
}

// checkListenAddress checks an address at which the router listens and which it
// announces to others. Its port may be 0.
func (c *checker) checkListenAddress(path string, address netip.AddrPort) {
	if !address.IsValid() || address.Addr().IsUnspecified() {
		c.problems.Add(path, strconv.Quote(address.String()),
			`an IP address that others can reach, and a port, such as "10.0.0.1:8080"`)
	}
}

// checkDialAddress checks an address to which the router connects.
func (c *checker) checkDialAddress(path string, address netip.AddrPort) {
	if !address.IsValid() || address.Addr().IsUnspecified() || address.Port() == 0 {
		c.problems.Add(path, strconv.Quote(address.String()), `an IP address and port such as "10.0.0.1:8080"`)
	}
}

// checkDistinctAddresses checks that the router does not listen for two
// purposes at the same address.
func (c *checker) checkDistinctAddresses() {
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

func formatBytes(n int64) string { return strconv.FormatInt(n, 10) + " bytes" }
