package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Belief is the risk of a target at an instant as one VM estimates it, in the form in
// which VMs exchange it.
type Belief struct {
	target Key
	// risk is between 0 and 1.
	risk float64
	// age is the time since the last evidence.
	age time.Duration
	// failing is the time since the target's current episode of failures was
	// detected, at least age; 0 outside one.
	failing time.Duration
}

// NewBelief returns the risk of a target, between 0 and 1, with the time since the last
// evidence and the time since the current episode of failures was detected, or 0.
func NewBelief(target Key, risk float64, age, failing time.Duration) Belief {
	return Belief{
		target:  target,
		risk:    risk,
		age:     age,
		failing: failing,
	}
}

// Target returns the target.
func (b Belief) Target() Key { return b.target }

// Risk returns the risk, between 0 and 1.
func (b Belief) Risk() float64 { return b.risk }

// Age returns the time since the last evidence.
func (b Belief) Age() time.Duration { return b.age }

// Failing returns the time since the target's current episode of failures was
// detected, or 0 outside one.
func (b Belief) Failing() time.Duration { return b.failing }

// Beliefs returns the risks of all targets with evidence, in the order of their keys.
// The risks of the paths from this VM are not included.
func (e *Estimator) Beliefs(now timer.Instant) []Belief {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Belief, 0, len(e.targets))
	for k, t := range e.targets {
		failing := time.Duration(0)
		if t.shared.failingSince != 0 {
			failing = now.Sub(t.shared.failingSince)
		}
		list = append(list, NewBelief(k, t.shared.riskAt(now, targetModel), now.Sub(t.shared.at), failing))
	}
	slices.SortFunc(list, func(a, b Belief) int { return cmp.Compare(a.target, b.target) })

	return list
}

// Adopt merges the risks of another VM: a risk replaces that of this VM where its
// evidence is newer. A risk outside 0 to 1 is ignored.
func (e *Estimator) Adopt(now timer.Instant, list []Belief) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range list {
		at := now.Add(-b.age)
		t := e.target(b.target)
		if t.shared.at >= at || b.risk < 0 || b.risk > 1 {
			continue
		}
		t.shared = b.restore(now, targetModel)
	}
}

// restore returns the posterior as of the last evidence. The risk that is exchanged
// has decayed since then; restore reverts that decay, as riskAt applies it again.
func (b Belief) restore(now timer.Instant, m model) posterior {
	r := posterior{
		at: now.Add(-b.age),
	}
	if b.failing > 0 {
		r.failingSince = now.Add(-max(b.failing, b.age))
	}
	risk := m.risk + (b.risk-m.risk)/r.evidenceWeight(now, m)
	r.risk = math.Min(1-minRisk, math.Max(minRisk, risk))

	return r
}
