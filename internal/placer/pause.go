package placer

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// fullBackoff is how long a target that had no capacity gets no attempts.
const fullBackoff = 250 * time.Millisecond

// pauseEnd returns the instant until which the target gets no attempts; the lock must be
// held.
func (p *Placer) pauseEnd(k estimator.Key) timer.Instant {
	return max(p.fullUntil[k], p.pausedUntil[k])
}

// Wait returns the time until the first target of the service may get an attempt again;
// 0 where one may now or where the service has no target.
func (p *Placer) Wait(now timer.Instant, service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := timer.Instant(0)
	for _, m := range p.spec.Targets.Members(service) {
		end := p.firstUse(now, service, m)
		if !m.Listed(now) {
			continue
		}
		if !now.Before(end) {
			return 0
		}
		if first == 0 || end.Before(first) {
			first = end
		}
	}
	if first == 0 {
		return 0
	}

	return first.Sub(now)
}

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
