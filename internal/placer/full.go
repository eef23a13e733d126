package placer

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// fullBackoff is how long a target that had no capacity gets no attempts.
const fullBackoff = 250 * time.Millisecond

// updateFull begins or ends the time for which the target gets no attempts because it had no
// capacity; the lock must be held. An attempt without an outcome, as one that was canceled,
// says nothing about capacity.
func (p *Placer) updateFull(now timer.Instant, k estimator.Key, r Result) {
	switch {
	case r.Full:
		p.fullUntil[k] = now.Add(fullBackoff)
	case r.Outcome.Valid():
		delete(p.fullUntil, k)
	}
}

// NoteFull records that a target had no capacity for a request of another VM.
func (p *Placer) NoteFull(now timer.Instant, k estimator.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fullUntil[k] = now.Add(fullBackoff)
}
