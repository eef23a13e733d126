// Package timer provides the clock and the timers of a process. Components subscribe
// to ticks instead of sleeping or polling, so that a test can control the time.
package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of a monotonic clock, in nanoseconds from an arbitrary start.
// Instants of different processes cannot be compared.
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

// readBootClock reads a clock that advances while the machine is suspended, so that a
// lease also expires during a suspension. If that clock cannot be read, it returns the
// time since the start of the process.
func readBootClock() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}

	return Instant(ts.Nano())
}

var processStart = time.Now()
