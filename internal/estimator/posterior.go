package estimator

import (
	"math"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// model holds the parameters by which a risk changes without new evidence.
type model struct {
	// baseline is the risk that evidence decays to, with the time constant decayTime.
	baseline  float64
	decayTime time.Duration
	// initial is the risk before the first evidence.
	initial float64
	// episode is the usual length of a series of failures; 0 where unknown. The risk
	// does not decay for that time from the first failure on, and then decays with the
	// time constant recoveryTime.
	episode      time.Duration
	recoveryTime time.Duration
}

// The models of targets and of the paths to them.
var (
	targetModel = model{
		baseline:  baselineRisk,
		decayTime: decayTime,
		initial:   initialRisk,

		episode:      episode,
		recoveryTime: recoveryTime,
	}
	pathModel = model{
		baseline:  baselinePathRisk,
		decayTime: pathDecayTime,
		initial:   baselinePathRisk,
	}
)

// posterior is a risk, given the evidence up to an instant.
type posterior struct {
	risk float64
	// at is the instant of the last evidence; 0 where there is none.
	at timer.Instant
	// failingSince is when the current episode of failures was detected; 0 outside
	// one.
	failingSince timer.Instant
}

// riskAt returns the risk at the instant, after decay towards the baseline.
func (p posterior) riskAt(t timer.Instant, m model) float64 {
	if p.at == 0 {
		return m.initial
	}

	return m.baseline + (p.risk-m.baseline)*p.evidenceWeight(t, m)
}

// evidenceWeight returns the weight, between 0 and 1, that the evidence still has
// at the instant.
func (p posterior) evidenceWeight(t timer.Instant, m model) float64 {
	since, decayTime := p.at, m.decayTime
	if p.failingSince != 0 && m.episode > 0 {
		since, decayTime = max(p.at, p.failingSince.Add(m.episode)), m.recoveryTime
	}

	return math.Exp(-float64(max(0, t.Sub(since))) / float64(decayTime))
}

// update returns the posterior after an outcome with the likelihood, by Bayes' rule.
func (p posterior) update(t timer.Instant, m model, l likelihood) posterior {
	r := p.riskAt(t, m)
	r = r * l.failing / (r*l.failing + (1-r)*l.working)

	return posterior{
		risk:         math.Min(1-minRisk, math.Max(minRisk, r)),
		at:           t,
		failingSince: p.episodeStart(t, m, r),
	}
}

// episodeStart returns the start of the episode of failures that a target with the
// risk is in at the instant; 0 outside one. Evidence of failure after the expected
// end of an episode starts a new one.
func (p posterior) episodeStart(t timer.Instant, m model, risk float64) timer.Instant {
	switch {
	case risk < suspectThreshold:
		return 0
	case p.failingSince != 0 && t.Before(p.failingSince.Add(m.episode)):
		return p.failingSince
	default:
		return t
	}
}
