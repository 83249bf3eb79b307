package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time on the clock of this VM; the zero Instant is the
// start of the VM. It is meaningless on another VM and after a restart of this
// one.
type Instant struct{ sinceStart time.Duration }

// Now returns the current time.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel that Go supports has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant{time.Duration(t.Nano())}
}

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return Instant{i.sinceStart + d} }

// Sub returns the duration from other to i.
func (i Instant) Sub(other Instant) time.Duration { return i.sinceStart - other.sinceStart }

// Time converts the instant to a time.Time, for code that works with any clock.
// The result must be compared only with other results of Time.
func (i Instant) Time() time.Time { return time.Unix(0, 0).Add(i.sinceStart) }

// After reports whether i is later than other.
func (i Instant) After(other Instant) bool { return i.sinceStart > other.sinceStart }

// IsZero reports whether i is the zero Instant, which stands for an instant that
// was never set.
func (i Instant) IsZero() bool { return i.sinceStart == 0 }
