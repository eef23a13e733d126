package placer

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Result is how an attempt ended.
type Result struct {
	// Outcome is the evidence about the target; 0 where there is none.
	Outcome estimator.Outcome
	// Full is set where the target had no capacity for the request.
	Full bool
	// Shed is set where the target rejected the request, which it did not run.
	Shed bool
	// Leaving is set where the target stated that it is about to stop.
	Leaving bool
	// Pause is for how long the target asked this VM for no attempts; 0 where it did not.
	Pause time.Duration
	// Overtaken is set where the attempt was aborted because another attempt at the same
	// request got a response. It is evidence only where the response was overdue.
	Overtaken bool
}

// End closes the attempt and reports its outcome, unless checkOverdue has reported the
// same one.
func (p *Placer) End(now timer.Instant, a *Attempt, r Result) {
	k := a.member.Key()
	p.mu.Lock()
	delete(p.open, a)
	decrement(p.openPerTarget, k)
	p.updateFull(now, k, r)
	if r.Pause > 0 {
		p.pausedUntil[k] = max(p.pausedUntil[k], now.Add(r.Pause))
	}
	took, l := now.Sub(a.started), latencyOf(p.routeLatencies, a.route)
	switch {
	case r.Outcome == estimator.OutcomeServed:
		l.observe(took)
		latencyOf(p.serviceLatencies, a.service).observe(took)
	case r.Outcome == estimator.OutcomeFailed && l.processed(took):
		r.Outcome = estimator.OutcomeErred
	}
	if r.Overtaken && !now.Before(a.overdue) {
		r.Outcome = estimator.OutcomeSilent
	}
	alreadyReported := a.reported && r.Outcome == estimator.OutcomeSilent
	p.mu.Unlock()
	if c, ok := p.outcomes[r.Outcome]; ok {
		c.Inc(1)
	}
	if r.Outcome.Valid() && !alreadyReported {
		p.spec.Observer.Observe(now, k, r.Outcome)
		p.spec.Reporter.ReportOutcome(k, r.Outcome)
	}
	p.observeRejection(now, k, r)
	p.reportNotices(now, k, r)
}

// reportNotices tells the other VMs what the target stated about itself.
func (p *Placer) reportNotices(now timer.Instant, k estimator.Key, r Result) {
	if r.Leaving && p.spec.Leaving.MarkLeaving(now, k) {
		p.spec.Reporter.ReportOutcome(k, estimator.OutcomeLeaving)
	}
	if r.Pause > 0 {
		p.spec.Reporter.ReportOutcome(k, estimator.OutcomeFull)
	}
}
