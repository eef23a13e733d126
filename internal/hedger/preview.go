package hedger

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Preview returns what Delay would return, and false where the service is unfit for hedges,
// since Allow then refuses. It keeps no estimate, knows no route afterwards that it did not
// know before, and says nothing of the limits of hedges and retries.
func (h *Hedger) Preview(now timer.Instant, r Request) (time.Duration, bool) {
	if r.final() || h.unfit(now, r.Service) {
		return 0, false
	}

	return h.peekLatency(r.Route).peek(now, h.counts).delay(now, r)
}

// peekLatency returns the latency of the route, which is not added.
func (h *Hedger) peekLatency(route string) *latency {
	v, _ := h.routes.Load(route)
	if l, ok := v.(*latency); ok {
		return l
	}

	return newLatency(route)
}
