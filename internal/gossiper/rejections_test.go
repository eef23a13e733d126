package gossiper

import (
	"testing"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// TestRejectionsApartFromRisk checks that rejections which other VMs report change the
// rejection rate of a target and not its risk, and that a VM which does not use rejection
// rates ignores them. A rejection has no likelihood, so a risk updated with one is no
// number.
func TestRejectionsApartFromRisk(t *testing.T) {
	const target = estimator.Key(7)
	now := timer.Instant(time.Hour)
	for _, used := range []bool{true, false} {
		risks, rejections := estimator.New(discardChanges{}), estimator.NewRejections()
		s := Spec{
			Clock:     timer.NewManual(now),
			Estimator: risks,
			Logger:    logger.Discard(),
		}
		if used {
			s.Rejections = rejections
		}
		g := New(s)
		before := risks.Risk(now, target)
		g.applyEvidence(now, NewEvidence(target, estimator.OutcomeShed))
		if after := risks.Risk(now, target); after != before {
			t.Errorf("rates used: %v: the risk changed from %.3f to %.3f", used, before, after)
		}
		if _, _, known := risks.Assess(now, target); known {
			t.Errorf("rates used: %v: the rejection counts as evidence about the risk", used)
		}
		if got := rejections.Rate(now, target) > 0; got != used {
			t.Errorf("rates used: %v: the rejection rate is above 0: %v", used, got)
		}
	}
}

// TestRejectionsWaitForRegularReport checks that a rejection is not sent at once: a service
// whose targets reject half of the requests would cause a report for each of them.
func TestRejectionsWaitForRegularReport(t *testing.T) {
	g := New(Spec{
		Clock:  timer.NewManual(timer.Instant(time.Hour)),
		Logger: logger.Discard(),
	})
	g.ReportOutcome(1, estimator.OutcomeShed)
	if g.sequence != 0 || len(g.pendingEvidence) != 1 {
		t.Errorf("%d reports were made and %d attempts wait; want none and one", g.sequence, len(g.pendingEvidence))
	}
}
