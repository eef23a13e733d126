// Package timer is the clock and the timer service of a process. Parts
// subscribe to it instead of sleeping or polling, so that a test can move time
// by hand.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment on a clock that never steps back. It counts nanoseconds
// from an arbitrary start and means nothing outside its own process.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}

// Before reports whether i comes before j.
func (i Instant) Before(j Instant) bool {
	return i < j
}

// After reports whether i comes after j.
func (i Instant) After(j Instant) bool {
	return i > j
}

// readBootClock reads a clock that goes on while the machine is suspended, so
// that a lease runs out during a suspension too.
func readBootClock() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}

	return Instant(ts.Nano())
}

var processStart = time.Now()
