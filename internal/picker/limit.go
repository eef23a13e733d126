package picker

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// cutFactor is the factor by which a shed request or a congested response
	// reduces a limit.
	cutFactor = 0.75
	// growthPerRound is what a round of successful responses, as many as the limit
	// allows in flight, adds to the limit.
	growthPerRound = 1.0
	// congestedFactor is the multiple of the unloaded first-byte time above which
	// requests are assumed to wait in a queue at the target.
	congestedFactor = 3
	// congestedMargin is the least excess over the unloaded first-byte time that
	// counts as queueing.
	congestedMargin = 20 * time.Millisecond
	// minLimit is the lowest limit.
	minLimit = 1
)

// limit is an adaptive concurrency limit by additive increase and multiplicative
// decrease. It grows by one for each round of successful responses while at least
// half of it is in use, and is cut by shed requests and by queueing at the target.
// It is safe for concurrent use and takes no lock.
type limit struct {
	// bits holds the limit as a float64; at least minLimit.
	bits atomic.Uint64
	// maximum is the highest value of the limit.
	maximum atomic.Int64
	// lastCut is the instant of the last cut, so that the responses of one interval
	// cut the limit only once.
	lastCut atomic.Int64
}

// init sets the maximum, and at the first call also the limit.
func (l *limit) init(initial, maximum float64) {
	l.maximum.Store(int64(maximum))
	l.bits.CompareAndSwap(0, math.Float64bits(max(minLimit, min(initial, maximum))))
}

func (l *limit) value() float64 {
	return math.Float64frombits(l.bits.Load())
}

// grow increases the limit if at least half of it was in use.
func (l *limit) grow(inFlight int64) {
	v := l.value()
	if float64(inFlight)*2 < v {
		return
	}
	next := min(float64(l.maximum.Load()), v+growthPerRound/v)
	l.bits.CompareAndSwap(math.Float64bits(v), math.Float64bits(next)) // A concurrent update drops this step.
}

// cut reduces the limit, at most once per interval.
func (l *limit) cut(now timer.Instant, interval time.Duration) {
	last := l.lastCut.Load()
	if now.Sub(timer.Instant(last)) < interval || !l.lastCut.CompareAndSwap(last, int64(now)) {
		return
	}
	v := l.value()
	l.bits.CompareAndSwap(math.Float64bits(v), math.Float64bits(max(minLimit, v*cutFactor)))
}

// congested reports whether a response took so much longer than the service's
// unloaded first-byte time that requests queue at the target.
func congested(took, unloaded time.Duration) bool {
	return unloaded > 0 && took > max(congestedFactor*unloaded, unloaded+congestedMargin)
}
