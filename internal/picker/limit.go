package picker

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// limitCut is what a refusal or a slow answer leaves of a limit.
	limitCut = 0.75
	// limitGrowth is what one round of good answers at the limit adds to it.
	limitGrowth = 1.0
	// congestedFactor times the time without load shows a queue at the target.
	congestedFactor = 3
	// congestedMargin above the time without load is the least that does.
	congestedMargin = 20 * time.Millisecond
	// minLimit is the least number of attempts in flight.
	minLimit = 1
)

// limit is an adaptive bound of attempts in flight: it grows by one for each
// round of good answers while it is in use, and is cut by sheds and queueing.
// It is safe for concurrent use and takes no lock.
type limit struct {
	// bits holds the limit as a float64; at least minLimit.
	bits atomic.Uint64
	// longest is the largest value in attempts.
	longest atomic.Int64
	// lastCut is the instant of the last cut, so that the answers of one round
	// cut once.
	lastCut atomic.Int64
}

// init sets the largest value, and the present one at the first call.
func (l *limit) init(start, longest float64) {
	l.longest.Store(int64(longest))
	l.bits.CompareAndSwap(0, math.Float64bits(max(minLimit, min(start, longest))))
}

func (l *limit) value() float64 {
	return math.Float64frombits(l.bits.Load())
}

// grow adds to a limit that was in use.
func (l *limit) grow(inFlight int64) {
	v := l.value()
	if float64(inFlight)*2 < v {
		return
	}
	next := min(float64(l.longest.Load()), v+limitGrowth/v)
	l.bits.CompareAndSwap(math.Float64bits(v), math.Float64bits(next)) // A lost race loses one step.
}

// cut lowers the limit, at most once per round of the given length.
func (l *limit) cut(now timer.Instant, round time.Duration) {
	last := l.lastCut.Load()
	if now.Sub(timer.Instant(last)) < round || !l.lastCut.CompareAndSwap(last, int64(now)) {
		return
	}
	v := l.value()
	l.bits.CompareAndSwap(math.Float64bits(v), math.Float64bits(max(minLimit, v*limitCut)))
}

// congested reports whether a time shows a queue at the target, against the
// service's time without load.
func congested(took, unloaded time.Duration) bool {
	return unloaded > 0 && took > max(congestedFactor*unloaded, unloaded+congestedMargin)
}
