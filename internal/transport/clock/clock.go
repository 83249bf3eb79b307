package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time on the clock of this VM; the zero Instant is its start.
// It means nothing on another VM, nor after a restart of this one.
type Instant struct{ sinceStart time.Duration }

// Now reads the clock.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux kernel that Go supports has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant{time.Duration(t.Nano())}
}

// Add returns the instant that is later by the given time.
func (i Instant) Add(d time.Duration) Instant { return Instant{i.sinceStart + d} }

// Sub returns the time from the other instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return i.sinceStart - other.sinceStart }

// Time returns the instant as a value for code that takes any clock. It must be
// compared only with others from here.
func (i Instant) Time() time.Time { return time.Unix(0, 0).Add(i.sinceStart) }

// After reports whether this instant is later than the other.
func (i Instant) After(other Instant) bool { return i.sinceStart > other.sinceStart }

// IsZero reports whether the instant was never set.
func (i Instant) IsZero() bool { return i.sinceStart == 0 }
