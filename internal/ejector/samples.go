package ejector

import (
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// startBucketWidth is the width of one bucket of start times.
	startBucketWidth = 50 * time.Millisecond
	// startBuckets times startBucketWidth is the age up to which an open attempt is
	// distinguished from a new one.
	startBuckets = 256
	// timeoutDivisor divides the slow threshold for attempts that ended without a
	// response. One that ended sooner, because its caller allowed no more time, says
	// nothing about the target.
	timeoutDivisor = 2
)

// Samples counts the attempts of this VM at one target. The counters of finished,
// failed and slow attempts only grow. It is safe for concurrent use and takes no
// lock.
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
	// connectFailures is the number of connect failures since the last attempt that
	// reached the target.
	connectFailures atomic.Int64
	// starts counts the open attempts by the time at which they began.
	starts [startBuckets]atomic.Int32
}

// Key returns the target's key.
func (s *Samples) Key() Key { return s.key }

// InFlight returns the number of this VM's open attempts.
func (s *Samples) InFlight() int64 { return s.inFlight.Load() }

// Begin counts an attempt as open and returns the number of open attempts,
// this one included.
func (s *Samples) Begin(now timer.Instant) int64 {
	s.starts[startBucket(now)].Add(1)

	return s.inFlight.Add(1)
}

// End closes an attempt.
func (s *Samples) End(o Outcome) {
	s.starts[startBucket(o.started)].Add(-1)
	s.inFlight.Add(-1)
	threshold := s.latencies.SlowThreshold()
	switch o.result {
	case ResultConnect:
		s.connectFailures.Add(1)
	case ResultFailed:
		s.finish(&s.failed)
	case ResultOK:
		s.latencies.observe(o.took)
		if o.took >= threshold {
			s.finish(&s.slow)
		} else {
			s.finish(nil)
		}
	case ResultTimeout:
		if o.took >= threshold/timeoutDivisor {
			s.finish(&s.slow)
		}
	case ResultShed, ResultDraining:
		s.connectFailures.Store(0)
	case ResultNone:
	}
}

// finish counts an attempt that reached the target; if bad is not nil, it counts the
// attempt there too.
func (s *Samples) finish(bad *atomic.Uint64) {
	s.connectFailures.Store(0)
	if bad != nil {
		bad.Add(1)
	}
	s.finished.Add(1)
}

// overdue returns the number of open attempts that are older than the threshold.
func (s *Samples) overdue(now timer.Instant, threshold time.Duration) uint64 {
	open := s.inFlight.Load()
	recent := min(int(threshold/startBucketWidth)+1, startBuckets)
	for i := range recent {
		open -= int64(s.starts[startBucket(now.Add(-time.Duration(i)*startBucketWidth))].Load())
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

func startBucket(t timer.Instant) int {
	n := int(time.Duration(t)/startBucketWidth) % startBuckets
	if n < 0 {
		n += startBuckets
	}

	return n
}

// counters is a reading of the counters of Samples at one instant.
type counters struct {
	finished uint64
	failed   uint64
	slow     uint64
}

// since returns what was counted after the earlier reading.
func (c counters) since(earlier counters) Sum {
	return Sum{
		requests: c.finished - earlier.finished,
		failed:   c.failed - earlier.failed,
		slow:     c.slow - earlier.slow,
	}
}
