package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Belief is the risk of a target by the evidence of one VM, at a moment.
type Belief struct {
	target Key
	// risk is between 0 and 1.
	risk float64
	// age is the time since the last evidence.
	age time.Duration
}

// NewBelief returns a belief.
func NewBelief(target Key, risk float64, age time.Duration) Belief {
	return Belief{
		target: target,
		risk:   risk,
		age:    age,
	}
}

// Target returns the target.
func (b Belief) Target() Key { return b.target }

// Risk returns the risk, between 0 and 1.
func (b Belief) Risk() float64 { return b.risk }

// Age returns the time since the last evidence.
func (b Belief) Age() time.Duration { return b.age }

// Beliefs returns the risks of all targets that there is evidence about.
func (e *Estimator) Beliefs(now timer.Instant) []Belief {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Belief, 0, len(e.targets))
	for k, t := range e.targets {
		list = append(list, NewBelief(k, t.whole.now(now, usualTarget), now.Sub(t.whole.at)))
	}
	slices.SortFunc(list, func(a, b Belief) int { return cmp.Compare(a.target, b.target) })

	return list
}

// Adopt takes over the beliefs of another VM about targets that there is no
// newer evidence about.
func (e *Estimator) Adopt(now timer.Instant, list []Belief) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range list {
		at := now.Add(-b.age)
		t := e.target(b.target)
		if t.whole.at >= at || b.risk < 0 || b.risk > 1 {
			continue
		}
		// The risk is that of this moment: what it was when the evidence came
		// follows from its decay, which this VM goes on with.
		t.whole = belief{
			risk: usualRisk + (b.risk-usualRisk)*math.Exp(float64(b.age)/float64(memory)),
			at:   at,
		}
		t.whole.risk = math.Min(1-leastRisk, math.Max(leastRisk, t.whole.risk))
	}
}
