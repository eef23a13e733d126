package picker

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// latencyGain is the weight of a new sample in the moving average.
	latencyGain = 0.2
	// failurePenalty is the multiple of the service's median first-byte time that
	// a failure counts as, so that a target that fails fast attracts no requests.
	failurePenalty = 8
	// drainHold is how long this VM sends nothing to a target after the target
	// answered that it is draining; by then the tables leave the target out.
	drainHold = 2 * time.Second
	// latencyDecay is the fraction of the distance between the average and the
	// service's median that each rebuild leaves, so that a target that was slow
	// once is tried again.
	latencyDecay = 0.97
)

// targetState is what this VM has observed of one target. It outlives the tables,
// is safe for concurrent use and takes no lock.
type targetState struct {
	samples *ejector.Samples
	limit   limit
	// latency is the moving average in nanoseconds; 0 before the first sample.
	latency atomic.Int64
	// drainingUntil is the instant up to which the target gets no attempts, because
	// it answered that it is draining and the table may still contain it.
	drainingUntil atomic.Int64
	// nextTrial is the instant of the next trial request while the target is
	// ejected.
	nextTrial atomic.Int64
}

// full reports whether the target can take no more attempts at the instant.
func (s *targetState) full(now timer.Instant) bool {
	return int64(now) < s.drainingUntil.Load() || float64(s.samples.InFlight()) >= math.Floor(s.limit.value())
}

// begin counts an attempt unless the target is full.
func (s *targetState) begin(now timer.Instant) bool {
	if s.full(now) {
		return false
	}
	s.samples.Begin(now) // Two concurrent calls may exceed the limit by one.

	return true
}

// congestion is what the outcome of an attempt shows about the load of a service.
type congestion int

const (
	congestionUnknown congestion = iota
	congestionLow
	congestionHigh
)

// end records the outcome of an attempt and adapts the target's limit to it.
func (s *targetState) end(now timer.Instant, st *serviceTable, o ejector.Outcome) congestion {
	inFlight := s.samples.InFlight()
	s.samples.End(o)
	switch o.Result() {
	case ejector.ResultOK:
		s.recordLatency(o.Took())
		average := time.Duration(s.latency.Load())
		if congested(average, st.state.unloaded()) {
			s.limit.cut(now, average)

			return congestionHigh
		}
		s.limit.grow(inFlight)

		return congestionLow
	case ejector.ResultShed:
		s.limit.cut(now, max(st.median, time.Millisecond))
		s.recordLatency(max(o.Took(), 2*st.median))

		return congestionHigh
	case ejector.ResultTimeout, ejector.ResultFailed, ejector.ResultConnect:
		s.recordLatency(max(o.Took(), failurePenalty*st.median))
	case ejector.ResultDraining:
		s.drainingUntil.Store(int64(now.Add(drainHold)))
	case ejector.ResultNone:
	}

	return congestionUnknown
}

// recordLatency updates the moving average. A sample is dropped if another update
// is made at the same time.
func (s *targetState) recordLatency(took time.Duration) {
	old := s.latency.Load()
	next := int64(took)
	if old > 0 {
		next = old + int64(latencyGain*float64(next-old))
	}
	s.latency.CompareAndSwap(old, max(1, next))
}

// decayLatency moves the average one step towards the service's median.
func (s *targetState) decayLatency(median time.Duration) {
	old := s.latency.Load()
	if old == 0 || median == 0 {
		return
	}
	next := int64(median) + int64(latencyDecay*float64(old-int64(median)))
	s.latency.CompareAndSwap(old, max(1, next))
}

// cost returns the expected time of one more attempt, by which targets are
// compared.
func (s *targetState) cost(median time.Duration) float64 {
	latency := s.latency.Load()
	if latency == 0 {
		latency = max(1, int64(median))
	}

	return float64(s.samples.InFlight()+1) * float64(latency)
}

// claimTrial reports whether a trial request is due, and if so schedules the next
// one, so that only one caller gets it. random is at least 0 and below 1.
func (s *targetState) claimTrial(now timer.Instant, interval time.Duration, random float64) bool {
	due := s.nextTrial.Load()
	if int64(now) < due || s.samples.InFlight() > 0 {
		return false
	}
	next := now.Add(time.Duration((1 - trialJitter/2 + trialJitter*random) * float64(interval)))

	return s.nextTrial.CompareAndSwap(due, int64(next))
}

// trialJitter is the fraction of the trial interval that is random, so that VMs do
// not send their trial requests at the same time.
const trialJitter = 0.5
