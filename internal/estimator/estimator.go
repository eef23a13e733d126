// Package estimator holds, for each target, how likely it is that it fails, by
// the evidence of the whole fleet. A target changes between working and failing
// by itself; each answer shifts the likelihood, and time draws it back to what
// is usual. It does no I/O.
package estimator

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Key is the number of one start of a target.
type Key uint32

// Outcome is what one attempt says about a target.
type Outcome uint8

// The outcomes.
const (
	// OutcomeServed is an answer in time that is no failure.
	OutcomeServed Outcome = iota + 1
	// OutcomeFailed is a failure that the target itself answered.
	OutcomeFailed
	// OutcomeBroken is a connection that ended inside or before an answer, or an
	// answer that is not valid.
	OutcomeBroken
	// OutcomeSilent is an answer that did not come in the usual time.
	OutcomeSilent
	// OutcomeUnreachable is a connection that could not be opened.
	OutcomeUnreachable
	// OutcomeGone is an address at which another target answers.
	OutcomeGone
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case OutcomeServed:
		return "served"
	case OutcomeFailed:
		return "failed"
	case OutcomeBroken:
		return "broken"
	case OutcomeSilent:
		return "silent"
	case OutcomeUnreachable:
		return "unreachable"
	case OutcomeGone:
		return "gone"
	default:
		return "none"
	}
}

// Valid reports whether the outcome is known.
func (o Outcome) Valid() bool { return o >= OutcomeServed && o <= OutcomeGone }

// likelihood holds how often a working and a failing target have an outcome.
type likelihood struct {
	working float64
	failing float64
}

// likelihoods of the outcomes. A working target fails about one request in
// eighty.
var likelihoods = map[Outcome]likelihood{
	OutcomeServed:      {working: 0.985, failing: 0.15},
	OutcomeFailed:      {working: 0.012, failing: 0.8},
	OutcomeBroken:      {working: 0.004, failing: 0.4},
	OutcomeSilent:      {working: 0.02, failing: 0.4},
	OutcomeUnreachable: {working: 0.001, failing: 0.4},
	OutcomeGone:        {working: 0.0001, failing: 0.9},
}

const (
	// usualRisk is the likelihood of failing of a target of which nothing is
	// known.
	usualRisk = 0.3
	// usualPathRisk is that of the path from this VM to a target.
	usualPathRisk = 0.02
	// newRisk is the risk of a target without any evidence.
	newRisk = 0.1
	// memory and pathMemory are the time constants by which evidence about a
	// target and about the path to it lose their weight: targets fail for many
	// seconds at a time.
	memory     = 8 * time.Second
	pathMemory = 5 * time.Second
	// leastRisk keeps a target from being trusted or condemned for ever.
	leastRisk = 0.002
	// forgetTime is how long a target without evidence is remembered.
	forgetTime = time.Minute
)

// usual is what holds without evidence.
type usual struct {
	// risk is what evidence decays to, with the time constant memory.
	risk   float64
	memory time.Duration
	// first is the risk before the first evidence.
	first float64
}

// What is usual of targets and of the paths to them.
var (
	usualTarget = usual{
		risk:   usualRisk,
		memory: memory,
		first:  newRisk,
	}
	usualPath = usual{
		risk:   usualPathRisk,
		memory: pathMemory,
		first:  usualPathRisk,
	}
)

// belief is one likelihood at an instant.
type belief struct {
	risk float64
	at   timer.Instant
}

// now returns the likelihood at the instant, drawn towards what is usual.
func (b belief) now(t timer.Instant, u usual) float64 {
	age := t.Sub(b.at)
	if b.at == 0 {
		return u.first
	}
	if age <= 0 {
		return b.risk
	}

	return u.risk + (b.risk-u.risk)*math.Exp(-float64(age)/float64(u.memory))
}

// update returns the likelihood after the outcome.
func (b belief) update(t timer.Instant, u usual, l likelihood) belief {
	r := b.now(t, u)
	r = r * l.failing / (r*l.failing + (1-r)*l.working)

	return belief{
		risk: math.Min(1-leastRisk, math.Max(leastRisk, r)),
		at:   t,
	}
}

// target is what is known of one target.
type target struct {
	// whole is about the target, by the evidence of every VM.
	whole belief
	// path is about the way from this VM to the target, by its own evidence.
	path belief
}

// Estimator holds the likelihoods. It is safe for concurrent use.
type Estimator struct {
	// mu guards targets; it is held for one calculation.
	mu      sync.Mutex
	targets map[Key]*target
}

// New returns an estimator that knows nothing.
func New() *Estimator {
	return &Estimator{
		targets: map[Key]*target{},
	}
}

// Observe takes in an attempt of this VM.
func (e *Estimator) Observe(now timer.Instant, k Key, o Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.target(k)
	t.whole = t.whole.update(now, usualTarget, likelihoods[o])
	if aboutPath(o) {
		t.path = t.path.update(now, usualPath, likelihoods[o])
	}
}

// Hear takes in an attempt of another VM. What may be due to that VM's path
// says little about the target.
func (e *Estimator) Hear(now timer.Instant, k Key, o Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := likelihoods[o]
	if aboutPath(o) && o != OutcomeServed {
		l = weaken(l)
	}
	t := e.target(k)
	t.whole = t.whole.update(now, usualTarget, l)
}

// weaken returns the likelihood of an outcome that has another cause half of
// the time.
func weaken(l likelihood) likelihood {
	return likelihood{
		working: (l.working + l.failing) / 2,
		failing: l.failing,
	}
}

// aboutPath reports whether the outcome says something about the path.
func aboutPath(o Outcome) bool {
	return o == OutcomeServed || o == OutcomeSilent || o == OutcomeUnreachable
}

// Age returns the time since the last evidence about the target, or false where
// there is none.
func (e *Estimator) Age(now timer.Instant, k Key) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.targets[k]
	if !ok {
		return 0, false
	}

	return now.Sub(t.whole.at), true
}

// Risk returns the likelihood that the next request of this VM to the target
// fails for a reason that lies in the target or the path.
func (e *Estimator) Risk(now timer.Instant, k Key) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.targets[k]
	if !ok {
		return newRisk
	}

	return 1 - (1-t.whole.now(now, usualTarget))*(1-t.path.now(now, usualPath))
}

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

// Forget drops targets that have had no evidence for long.
func (e *Estimator) Forget(now timer.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, t := range e.targets {
		if now.Sub(t.whole.at) > forgetTime {
			delete(e.targets, k)
		}
	}
}

// target returns what is known of the target; the lock must be held.
func (e *Estimator) target(k Key) *target {
	t, ok := e.targets[k]
	if !ok {
		t = &target{}
		e.targets[k] = t
	}

	return t
}
