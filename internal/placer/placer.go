// Package placer chooses the target of each attempt, by the risk of failure, the load
// and the data centre of the targets. It also finds attempts whose response is overdue.
// It does no I/O.
package placer

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

type targetList interface {
	Members(service string) []*registrar.Member
	// Evacuated returns the evacuated data centres that have targets of the service.
	Evacuated(service string) []string
}

type riskSource interface {
	// Risk returns the probability that a request to the target fails. Assess also
	// returns the time since the last evidence; known is false where there is none.
	Risk(now timer.Instant, k estimator.Key) float64
	Assess(now timer.Instant, k estimator.Key) (risk float64, age time.Duration, known bool)
}

// outcomeObserver receives the outcomes of the attempts of this VM.
type outcomeObserver interface {
	Observe(now timer.Instant, k estimator.Key, o estimator.Outcome)
}

// outcomeReporter reports the outcomes of the attempts of this VM to the other VMs.
type outcomeReporter interface {
	ReportOutcome(k estimator.Key, o estimator.Outcome)
}

// leavingMarker removes targets that are about to stop from the list.
type leavingMarker interface {
	// MarkLeaving reports whether the target was not marked before.
	MarkLeaving(now timer.Instant, k estimator.Key) bool
}

// remoteLoad holds the load that the other VMs put on targets.
type remoteLoad interface {
	// OpenRequests returns the number of open attempts of the other VMs at the target.
	OpenRequests(k estimator.Key) int
}

type clock interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

// Spec lists the dependencies of a placer.
type Spec struct {
	DataCentre string
	Targets    targetList
	Risks      riskSource
	Observer   outcomeObserver
	Reporter   outcomeReporter
	// Rejections is nil where rejections by targets are neither used nor reported.
	Rejections rejectionRates
	Leaving    leavingMarker
	RemoteLoad remoteLoad
	// Assignment is nil if this VM prefers no targets.
	Assignment Assignment
	// Pacer is nil where cold targets are not paced.
	Pacer coldPacer
	Clock clock
	// Degraded reports whether too many of the service's requests are not served.
	Degraded func(now timer.Instant, service string) bool
	// KeepOverdue reports whether overdue attempts must not be abandoned.
	KeepOverdue func() bool
	// Random returns a number from 0 up to 1 by which a target is chosen; nil for
	// unpredictable ones.
	Random func() float64
}

// Placer chooses targets. It is also the controller that finds overdue attempts. It
// is safe for concurrent use.
type Placer struct {
	spec Spec
	// mu guards what follows; it is held for one choice.
	mu   sync.Mutex
	open map[*Attempt]struct{}
	// openPerTarget counts the open attempts of this VM at each target.
	openPerTarget map[estimator.Key]int
	// fullUntil holds the instants until which targets without capacity get no
	// attempts.
	fullUntil map[estimator.Key]timer.Instant
	// pausedUntil holds the instants until which targets asked this VM for no attempts.
	pausedUntil map[estimator.Key]timer.Instant
	// routeLatencies are keyed by route, and serviceLatencies by service.
	routeLatencies   map[string]*latency
	serviceLatencies map[string]*latency
	// outcomes counts the attempts of each outcome; it is never written after
	// New.
	outcomes map[estimator.Outcome]metrics.Counter
}

// New returns a placer without open attempts.
func New(s Spec) *Placer {
	if s.Random == nil {
		s.Random = rand.Float64
	}

	return &Placer{
		outcomes:         newOutcomeCounters(s),
		spec:             s,
		open:             map[*Attempt]struct{}{},
		openPerTarget:    map[estimator.Key]int{},
		fullUntil:        map[estimator.Key]timer.Instant{},
		pausedUntil:      map[estimator.Key]timer.Instant{},
		routeLatencies:   map[string]*latency{},
		serviceLatencies: map[string]*latency{},
	}
}

// Name returns the controller's name.
func (p *Placer) Name() string { return "placer" }

// Begin chooses a target and counts the attempt as open. It returns false where no
// target is left. End must be called for each attempt.
func (p *Placer) Begin(now timer.Instant, c AttemptSpec) (*Attempt, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := latencyOf(p.routeLatencies, c.Route)
	l.latencyGoal = cmp.Or(c.LatencyGoal, l.latencyGoal)
	list, held := p.candidates(now, c)
	p.holdAll(now, c.Service, held)
	f := p.profile(now, c, l, latencyOf(p.serviceLatencies, c.Service))
	p.prefer(list, f)
	i := choose(list, p.spec.Random(), f)
	if i < 0 {
		return nil, false
	}
	a := &Attempt{
		member:  list[i].member,
		route:   c.Route,
		service: c.Service,
		risk:    list[i].risk,
		trial:   list[i].trial,
		started: now,
		overdue: now.Add(l.overdueAfter()),
	}
	if c.Repeatable {
		a.abandon = c.Abandon
	}
	p.open[a] = struct{}{}
	p.openPerTarget[a.member.Key()]++
	p.takeToken(now, c.Service, a.member)

	return a, true
}

// Evacuated returns the evacuated data centres that have targets of the service.
func (p *Placer) Evacuated(service string) []string { return p.spec.Targets.Evacuated(service) }

// Each calls f with the name and the counter of each outcome of attempts.
func (p *Placer) Each(f func(name string, c metrics.Counter)) {
	for o, c := range p.outcomes {
		f("attempts."+o.String(), c)
	}
}

// OpenAttempts calls f with the number of open attempts at each target that has some.
func (p *Placer) OpenAttempts(f func(k estimator.Key, open int)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, n := range p.openPerTarget {
		f(k, n)
	}
}
