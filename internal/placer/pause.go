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

// NoteFull records that a target had no capacity for a request of another VM.
func (p *Placer) NoteFull(now timer.Instant, k estimator.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fullUntil[k] = now.Add(fullBackoff)
}
