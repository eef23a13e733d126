package picker

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// latencyGain is the weight of a new answer in the moving average.
	latencyGain = 0.2
	// failurePenalty times the typical time is what a failure counts as, so
	// that a target that fails fast draws no work.
	failurePenalty = 8
	// shutTime is how long a target that said that it is leaving gets nothing by
	// this VM's own picture; by then the tables know.
	shutTime = 2 * time.Second
	// idleDecay is what each rebuild leaves of the distance between the average
	// and the service's typical time, so that a target that once was slow is
	// tried again.
	idleDecay = 0.97
)

// gauge is this VM's picture of one target. It outlives the tables, is safe
// for concurrent use and takes no lock.
type gauge struct {
	samples *ejector.Samples
	limit   limit
	// latency is the moving average in nanoseconds; 0 before the first answer.
	latency atomic.Int64
	// shutUntil is the instant up to which the target gets nothing, because it
	// said that it is leaving and the next table does not show it yet.
	shutUntil atomic.Int64
	// nextTrial is the instant of the next trial request while ejected.
	nextTrial atomic.Int64
}

// full reports whether the target can take no more at the instant.
func (g *gauge) full(now timer.Instant) bool {
	return int64(now) < g.shutUntil.Load() || float64(g.samples.InFlight()) >= math.Floor(g.limit.value())
}

// begin counts an attempt unless the bound leaves no room.
func (g *gauge) begin(now timer.Instant) bool {
	if g.full(now) {
		return false
	}
	g.samples.Begin(now) // A race of two may exceed the bound by one.

	return true
}

// pressure is what an attempt tells about the load of a service.
type pressure int

const (
	pressureUnknown pressure = iota
	pressureLow
	pressureHigh
)

// end takes in how an attempt ended.
func (g *gauge) end(now timer.Instant, st *serviceTable, o ejector.Outcome) pressure {
	inFlight := g.samples.InFlight()
	g.samples.End(o)
	switch o.Result() {
	case ejector.ResultOK:
		g.observe(o.Took())
		average := time.Duration(g.latency.Load())
		if congested(average, st.gauge.unloaded()) {
			g.limit.cut(now, average)

			return pressureHigh
		}
		g.limit.grow(inFlight)

		return pressureLow
	case ejector.ResultShed:
		g.limit.cut(now, max(st.typical, time.Millisecond))
		g.observe(max(o.Took(), 2*st.typical))

		return pressureHigh
	case ejector.ResultTimeout, ejector.ResultFailed, ejector.ResultConnect:
		g.observe(max(o.Took(), failurePenalty*st.typical))
	case ejector.ResultDraining:
		g.shutUntil.Store(int64(now.Add(shutTime)))
	case ejector.ResultNone:
	}

	return pressureUnknown
}

// observe moves the average; a lost race loses one answer.
func (g *gauge) observe(took time.Duration) {
	old := g.latency.Load()
	next := int64(took)
	if old > 0 {
		next = old + int64(latencyGain*float64(next-old))
	}
	g.latency.CompareAndSwap(old, max(1, next))
}

// relax moves the average a step towards the service's typical time.
func (g *gauge) relax(typical time.Duration) {
	old := g.latency.Load()
	if old == 0 || typical == 0 {
		return
	}
	next := int64(typical) + int64(idleDecay*float64(old-int64(typical)))
	g.latency.CompareAndSwap(old, max(1, next))
}

// cost orders targets: the expected wait of one more attempt.
func (g *gauge) cost(typical time.Duration) float64 {
	latency := g.latency.Load()
	if latency == 0 {
		latency = max(1, int64(typical))
	}

	return float64(g.samples.InFlight()+1) * float64(latency)
}

// takeTrial reports whether a trial request is due and claims it.
func (g *gauge) takeTrial(now timer.Instant, every time.Duration, spread float64) bool {
	due := g.nextTrial.Load()
	if int64(now) < due || g.samples.InFlight() > 0 {
		return false
	}
	next := now.Add(time.Duration((1 - trialSpread/2 + trialSpread*spread) * float64(every)))

	return g.nextTrial.CompareAndSwap(due, int64(next))
}

// trialSpread is the part of the time between trials that is drawn, so that
// VMs do not try together.
const trialSpread = 0.5
