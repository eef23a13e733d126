// Package estimator estimates the risk of each target: the probability that it
// fails, given the outcomes of attempts that all VMs observe. Each outcome updates
// the risk by Bayes' rule. Without new outcomes the risk decays towards a baseline,
// since a target may start or stop failing at any time. It does no I/O.
package estimator

import (
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Key identifies one start of a target; a restarted target has another key.
type Key uint32

const (
	// baselineRisk is the risk of a target once the evidence about it has decayed.
	baselineRisk = 0.3
	// baselinePathRisk is the same for the path from this VM to a target. It also
	// holds without any evidence.
	baselinePathRisk = 0.02
	// initialRisk is the risk of a target without any evidence.
	initialRisk = 0.1
	// decayTime and pathDecayTime are the time constants with which evidence about a
	// target and about the path to it decays. They are long because targets fail for
	// many seconds at a time.
	decayTime     = 8 * time.Second
	pathDecayTime = 5 * time.Second
	// episode is the usual length of a series of failures of a target, and
	// recoveryTime is the time constant with which its risk decays after that.
	episode      = 8 * time.Second
	recoveryTime = 2 * time.Second
	// minRisk and 1-minRisk bound the risk, so that new evidence can always change it.
	minRisk = 0.002
	// suspectThreshold is the lowest risk at which a target is suspect.
	suspectThreshold = 0.5
	// retention is how long the state of a target is kept without new evidence.
	retention = time.Minute
)

// target is the state of one target.
type target struct {
	// shared is the risk of the target itself, by the evidence of every VM.
	shared posterior
	// path is the risk of the network path from this VM to the target, by the evidence
	// of this VM alone.
	path posterior
}

// risk returns the probability that a request of this VM to the target fails.
func (t *target) risk(now timer.Instant) float64 {
	return 1 - (1-t.shared.riskAt(now, targetModel))*(1-t.path.riskAt(now, pathModel))
}

// Estimator holds the risks of all targets. It is safe for concurrent use.
type Estimator struct {
	// mu guards targets; it is held for one update or query.
	mu       sync.Mutex
	targets  map[Key]*target
	listener listener
}

// listener is notified when an outcome takes the shared risk of a target over or below
// suspectThreshold. Decay, Merge and Forget do not notify it. It is called with the
// estimator's lock held.
type listener interface {
	SuspicionChanged(c SuspicionChange)
}

// New returns an estimator without evidence.
func New(l listener) *Estimator {
	return &Estimator{
		listener: l,
		targets:  map[Key]*target{},
	}
}

// Observe updates the risks with the outcome of an attempt of this VM.
func (e *Estimator) Observe(now timer.Instant, k Key, o Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.target(k)
	e.update(now, k, t, o, likelihoods[o], true)
	if aboutPath(o) {
		t.path = t.path.update(now, pathModel, likelihoods[o])
	}
}

// ObserveRemote updates the risk with the outcome of an attempt of another VM. An
// outcome that may be due to the path from that VM counts as weaker evidence about the
// target.
func (e *Estimator) ObserveRemote(now timer.Instant, k Key, o Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := likelihoods[o]
	if aboutPath(o) && o != OutcomeServed {
		l = weaken(l)
	}
	e.update(now, k, e.target(k), o, l, false)
}

// update updates the risk of the target itself; the lock must be held.
func (e *Estimator) update(now timer.Instant, k Key, t *target, o Outcome, l likelihood, own bool) {
	before := t.shared.riskAt(now, targetModel)
	t.shared = t.shared.update(now, targetModel, l)
	if (before >= suspectThreshold) != (t.shared.risk >= suspectThreshold) {
		e.listener.SuspicionChanged(SuspicionChange{
			target:  k,
			outcome: o,
			before:  before,
			after:   t.shared.risk,
			own:     own,
		})
	}
}

// weaken returns the likelihood of an outcome that has a cause outside the target
// half of the time.
func weaken(l likelihood) likelihood {
	return likelihood{
		working: (l.working + l.failing) / 2,
		failing: l.failing,
	}
}

// aboutPath reports whether the outcome is evidence about the path.
func aboutPath(o Outcome) bool {
	return o == OutcomeServed || o == OutcomeSilent || o == OutcomeUnreachable
}

// Risk returns the probability, between 0 and 1, that the next request of this VM to
// the target fails because of the target or of the path to it.
func (e *Estimator) Risk(now timer.Instant, k Key) float64 {
	risk, _, _ := e.Assess(now, k)

	return risk
}

// Assess returns the risk of the target, between 0 and 1, and the time since the last
// evidence about it; known is false where there is none.
func (e *Estimator) Assess(now timer.Instant, k Key) (risk float64, age time.Duration, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.targets[k]
	if !ok {
		return initialRisk, 0, false
	}

	return t.risk(now), now.Sub(t.shared.at), true
}

// SuspectCount returns the number of targets that are suspect to this VM: their risk
// includes the risk of the path.
func (e *Estimator) SuspectCount(now timer.Instant) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, t := range e.targets {
		if t.risk(now) >= suspectThreshold {
			n++
		}
	}

	return n
}

// Forget removes targets without evidence for longer than the retention time.
func (e *Estimator) Forget(now timer.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for k, t := range e.targets {
		if now.Sub(t.shared.at) > retention {
			delete(e.targets, k)
		}
	}
}

// target returns the state of the target, which may be new; the lock must be held.
func (e *Estimator) target(k Key) *target {
	t, ok := e.targets[k]
	if !ok {
		t = &target{}
		e.targets[k] = t
	}

	return t
}
