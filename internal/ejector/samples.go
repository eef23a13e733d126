package ejector

import (
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// startWidth is the width of one slot of start times.
	startWidth = 50 * time.Millisecond
	// startSlots times startWidth is the age up to which an open attempt is
	// told from a new one.
	startSlots = 256
	// timeoutPart divides the slow bound for attempts that were cut short: one
	// that the caller gave less time says nothing about the target.
	timeoutPart = 2
)

// Samples counts the attempts of this VM at one target. All counters only
// grow, but for those of open attempts. It is safe for concurrent use and
// takes no lock.
type Samples struct {
	key Key
	// latencies belongs to the service and is shared by its targets.
	latencies *Latencies
	// inFlight is the number of open attempts.
	inFlight atomic.Int64
	finished atomic.Uint64
	// failed and slow are disjoint parts of finished.
	failed atomic.Uint64
	slow   atomic.Uint64
	// connectStreak is the number of connect faults since the last attempt
	// that reached the target.
	connectStreak atomic.Int64
	// starts counts the open attempts by the time at which they began.
	starts [startSlots]atomic.Int32
}

// Key returns the target's key.
func (s *Samples) Key() Key { return s.key }

// InFlight returns the number of this VM's open attempts.
func (s *Samples) InFlight() int64 { return s.inFlight.Load() }

// Begin counts an attempt as open and returns the number of open attempts,
// this one included.
func (s *Samples) Begin(now timer.Instant) int64 {
	s.starts[startSlot(now)].Add(1)

	return s.inFlight.Add(1)
}

// End closes an attempt.
func (s *Samples) End(o Outcome) {
	s.starts[startSlot(o.started)].Add(-1)
	s.inFlight.Add(-1)
	bound := s.latencies.SlowBound()
	switch o.result {
	case ResultConnect:
		s.connectStreak.Add(1)
	case ResultFailed:
		s.finish(&s.failed)
	case ResultOK:
		s.latencies.observe(o.took)
		if o.took >= bound {
			s.finish(&s.slow)
		} else {
			s.finish(nil)
		}
	case ResultTimeout:
		if o.took >= bound/timeoutPart {
			s.finish(&s.slow)
		}
	case ResultShed, ResultDraining:
		s.connectStreak.Store(0)
	case ResultNone:
	}
}

// finish counts an attempt that reached the target, and its fault if any.
func (s *Samples) finish(fault *atomic.Uint64) {
	s.connectStreak.Store(0)
	if fault != nil {
		fault.Add(1)
	}
	s.finished.Add(1)
}

// overdue returns the number of open attempts that are older than the bound.
func (s *Samples) overdue(now timer.Instant, bound time.Duration) uint64 {
	open := s.inFlight.Load()
	slots := min(int(bound/startWidth)+1, startSlots)
	for i := range slots {
		open -= int64(s.starts[startSlot(now.Add(-time.Duration(i)*startWidth))].Load())
	}

	return uint64(max(0, open)) //nolint:gosec // Not below 0.
}

func (s *Samples) counters() counters {
	return counters{
		finished: s.finished.Load(),
		failed:   s.failed.Load(),
		slow:     s.slow.Load(),
	}
}

func startSlot(t timer.Instant) int {
	n := int(time.Duration(t)/startWidth) % startSlots
	if n < 0 {
		n += startSlots
	}

	return n
}

// counters is one reading of the samples.
type counters struct {
	finished uint64
	failed   uint64
	slow     uint64
}

// since returns the sum of what was counted after the earlier reading.
func (c counters) since(earlier counters) Sum {
	return Sum{
		requests: c.finished - earlier.finished,
		failed:   c.failed - earlier.failed,
		slow:     c.slow - earlier.slow,
	}
}
