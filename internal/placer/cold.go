package placer

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// coldPacer decides when this VM may send a request to a cold target.
type coldPacer interface {
	// MaySend reports whether a request may be sent to the target now. It changes nothing.
	MaySend(now timer.Instant, service string, k estimator.Key) bool
	// Hold records that the target was left out of a choice for that reason, and Take that
	// a request is sent to it.
	Hold(now timer.Instant, service string, k estimator.Key)
	Take(now timer.Instant, service string, k estimator.Key)
	// Wait returns the time until a request may be sent to the target.
	Wait(now timer.Instant, service string, k estimator.Key) time.Duration
}

// cold reports whether the target gets requests only at the rate that its service declares
// for cold targets.
func cold(now timer.Instant, m *registrar.Member) bool {
	return m.WarmingUp(now) || m.Returned(now)
}

// paced reports whether the pacer decides about requests to the target.
func (p *Placer) paced(now timer.Instant, m *registrar.Member) bool {
	return cold(now, m) && p.spec.Pacer != nil
}

// mustHold reports whether the target is cold and may not get a request now.
func (p *Placer) mustHold(now timer.Instant, service string, m *registrar.Member) bool {
	return p.paced(now, m) && !p.spec.Pacer.MaySend(now, service, m.Key())
}

// holdAll records the cold targets that were left out of a choice.
func (p *Placer) holdAll(now timer.Instant, service string, held []*registrar.Member) {
	for _, m := range held {
		p.spec.Pacer.Hold(now, service, m.Key())
	}
}

// takeToken records a request to the target where it is cold.
func (p *Placer) takeToken(now timer.Instant, service string, m *registrar.Member) {
	if p.paced(now, m) {
		p.spec.Pacer.Take(now, service, m.Key())
	}
}

// firstUse returns the instant from which on the target may get an attempt; the lock must
// be held.
func (p *Placer) firstUse(now timer.Instant, service string, m *registrar.Member) timer.Instant {
	end := p.pauseEnd(m.Key())
	if !p.paced(now, m) {
		return end
	}

	return max(end, now.Add(p.spec.Pacer.Wait(now, service, m.Key())))
}
