package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Estimate is the risk of a target at an instant as one VM estimates it, in the form in
// which VMs exchange it.
type Estimate struct {
	target Key
	// risk is between 0 and 1.
	risk float64
	// age is the time since the last evidence.
	age time.Duration
	// failingFor is the time since the target's current episode of failures was
	// detected, at least age; 0 outside one.
	failingFor time.Duration
}

// NewEstimate returns the risk of a target, between 0 and 1, with the time since the last
// evidence and the time since the current episode of failures was detected, or 0.
func NewEstimate(target Key, risk float64, age, failingFor time.Duration) Estimate {
	return Estimate{
		target:     target,
		risk:       risk,
		age:        age,
		failingFor: failingFor,
	}
}

// Target returns the target.
func (e Estimate) Target() Key { return e.target }

// Risk returns the risk, between 0 and 1.
func (e Estimate) Risk() float64 { return e.risk }

// Age returns the time since the last evidence.
func (e Estimate) Age() time.Duration { return e.age }

// FailingFor returns the time since the target's current episode of failures was
// detected, or 0 outside one.
func (e Estimate) FailingFor() time.Duration { return e.failingFor }

// Estimates returns the risks of all targets with evidence, in the order of their keys.
// The risks of the paths from this VM are not included.
func (e *Estimator) Estimates(now timer.Instant) []Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Estimate, 0, len(e.targets))
	for k, t := range e.targets {
		failingFor := time.Duration(0)
		if t.shared.failingSince != 0 {
			failingFor = now.Sub(t.shared.failingSince)
		}
		list = append(list, NewEstimate(k, t.shared.riskAt(now, targetModel), now.Sub(t.shared.at), failingFor))
	}
	slices.SortFunc(list, func(a, b Estimate) int { return cmp.Compare(a.target, b.target) })

	return list
}

// Merge takes over the risks of another VM: a risk replaces that of this VM where its
// evidence is newer. A risk outside 0 to 1 is ignored.
func (e *Estimator) Merge(now timer.Instant, list []Estimate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range list {
		at := now.Add(-x.age)
		t := e.target(x.target)
		if t.shared.at >= at || x.risk < 0 || x.risk > 1 {
			continue
		}
		t.shared = x.restore(now, targetModel)
	}
}

// restore returns the posterior as of the last evidence. The risk that is exchanged
// has decayed since then; restore reverts that decay, as riskAt applies it again.
func (e Estimate) restore(now timer.Instant, m model) posterior {
	r := posterior{
		at: now.Add(-e.age),
	}
	if e.failingFor > 0 {
		r.failingSince = now.Add(-max(e.failingFor, e.age))
	}
	risk := m.baseline + (e.risk-m.baseline)/r.evidenceWeight(now, m)
	r.risk = math.Min(1-minRisk, math.Max(minRisk, risk))

	return r
}
