package placer

import (
	"context"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// overduePeriod is the time between two checks for overdue attempts.
	overduePeriod = 100 * time.Millisecond
	// abandonRisk is the risk of the target above which an overdue attempt is
	// abandoned, where its request may be sent to another target.
	abandonRisk = 0.5
)

// Run checks for overdue attempts until ctx ends.
func (p *Placer) Run(ctx context.Context) error {
	p.spec.Clock.Every(overduePeriod).Each(ctx, p.checkOverdue)

	return nil
}

// checkOverdue reports attempts whose response is overdue, and abandons those whose target
// probably fails.
func (p *Placer) checkOverdue(now timer.Instant) {
	var silent []estimator.Key
	var abandonable []*Attempt
	p.mu.Lock()
	deletePast(now, p.fullUntil)
	deletePast(now, p.pausedUntil)
	for a := range p.open {
		if now.Before(a.overdue) {
			continue
		}
		if !a.reported {
			a.reported = true
			silent = append(silent, a.member.Key())
		}
		if a.abandon != nil && !p.spec.KeepOverdue() {
			abandonable = append(abandonable, a)
		}
	}
	p.mu.Unlock()
	for _, k := range silent {
		p.spec.Observer.Observe(now, k, estimator.OutcomeSilent)
		p.spec.Reporter.ReportOutcome(k, estimator.OutcomeSilent)
	}
	for _, a := range abandonable {
		if p.spec.Risks.Risk(now, a.member.Key()) > abandonRisk {
			a.abandon()
		}
	}
}
