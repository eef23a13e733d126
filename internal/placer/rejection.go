package placer

import (
	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// rejectionRates holds the share of requests that each target rejects.
type rejectionRates interface {
	// Observe adds the outcome of an attempt of this VM.
	Observe(now timer.Instant, k estimator.Key, o estimator.Outcome)
	// Rate returns the rejection rate of the target, between 0 and 1.
	Rate(now timer.Instant, k estimator.Key) float64
}

// rejectionRate returns the rejection rate of the target, or 0 where it is not used.
func (p *Placer) rejectionRate(now timer.Instant, k estimator.Key) float64 {
	if p.spec.Rejections == nil {
		return 0
	}

	return p.spec.Rejections.Rate(now, k)
}

// observeRejection updates the rejection rate of the target with an attempt, and reports a
// rejection to the other VMs. Any other outcome is reported as evidence about the risk.
func (p *Placer) observeRejection(now timer.Instant, k estimator.Key, r Result) {
	if p.spec.Rejections == nil {
		return
	}
	if !r.Shed {
		p.spec.Rejections.Observe(now, k, r.Outcome)

		return
	}
	p.outcomes[estimator.OutcomeShed].Inc(1)
	p.spec.Rejections.Observe(now, k, estimator.OutcomeShed)
	p.spec.Reporter.ReportOutcome(k, estimator.OutcomeShed)
}
