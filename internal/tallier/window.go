package tallier

import (
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// slotsPerWindow is the number of time slots that a window is divided into.
	slotsPerWindow = 20
	// roundShares is the number of equal shares of what is left that one VM may use
	// in a round. It is above 1 because this use follows failures, which are spread
	// unevenly over the VMs.
	roundShares = 2
	// windowRetryAfter is the time after which a refused request may be sent again.
	windowRetryAfter = time.Second
)

// window is the limiter of a ratio. In any sliding window the fleet uses no more
// than perRequest for each request of the window, and extra on top of it.
type window struct {
	perRequest float64
	extra      float64
	// length is above 0.
	length time.Duration
	began  timer.Instant
	// requested and used are ring buffers with one entry for each slot; current is
	// the number of the newest slot.
	requested [slotsPerWindow + 1]float64
	used      [slotsPerWindow + 1]float64
	current   int64
	// age is the time since this VM began to count, as of the last advance.
	age time.Duration
	// usedInRound is what this VM used in the present round.
	usedInRound float64
}

func newWindow(l Limit, began timer.Instant) *window {
	w := &window{
		began: began,
	}
	w.setLimit(l)

	return w
}

func (w *window) setLimit(l Limit) {
	w.perRequest = l.perRequest
	w.extra = l.extra
	w.length = l.window
}

func (w *window) advance(now timer.Instant, _ fleet) {
	w.age = now.Sub(w.began)
	to := int64(time.Duration(now) / (w.length / slotsPerWindow))
	for i := max(w.current+1, to-slotsPerWindow); i <= to; i++ {
		w.requested[w.index(i)] = 0
		w.used[w.index(i)] = 0
	}
	w.current = max(w.current, to)
}

// index returns the index of a slot in the ring buffers.
func (*window) index(slot int64) int { return int(slot % (slotsPerWindow + 1)) }

func (w *window) addOwn(requested, used float64) {
	w.usedInRound += used
	w.addRemote(requested, used)
}

func (w *window) addRemote(requested, used float64) {
	w.requested[w.index(w.current)] += requested
	w.used[w.index(w.current)] += used
}

func (w *window) startRound() { w.usedInRound = 0 }

func (w *window) recent(span time.Duration) (requested, used float64) {
	slots := min(slotsPerWindow, int64(span/(w.length/slotsPerWindow)))
	for i := max(0, w.current-slots); i <= w.current; i++ {
		requested += w.requested[w.index(i)]
		used += w.used[w.index(i)]
	}

	return requested, used
}

// left returns what the fleet may still use. Use from before this VM began to
// count is not known, so for the length of a window most of the extra use counts as
// used. Only the heard fraction of what is allowed is left, because the VMs that
// are not heard may use the rest for the same requests. What is reserved is
// not counted as left.
func (w *window) left(f fleet, r Reserve) float64 {
	allowed, used := w.extra, 0.0
	if w.age < w.length {
		allowed *= initialFraction
	}
	for i := range w.requested {
		allowed += w.perRequest * w.requested[i]
		used += w.used[i]
	}

	return allowed*f.heardFraction()*(1-r.fraction) - used
}

func (w *window) remaining(f fleet, r Reserve) (left, part float64) {
	left = w.left(f, r)

	return left, math.Max(1, left*math.Min(1, r.shares()/float64(f.heard))) - w.usedInRound
}

func (*window) refuse(fleet) time.Duration { return windowRetryAfter }
