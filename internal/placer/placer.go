// Package placer chooses the target of each attempt, by the risk of failure, the load
// and the data centre of the targets. It also finds attempts whose response is overdue.
// It does no I/O.
package placer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// warmUpFactor is the fraction of its slots that a target has while it warms up
	// after a start.
	warmUpFactor = 0.5
	// fullBackoff is how long a target that had no capacity gets no attempts.
	fullBackoff = 250 * time.Millisecond
	// overduePeriod is the time between two checks for overdue attempts.
	overduePeriod = 100 * time.Millisecond
	// abandonRisk is the risk of the target above which an overdue attempt is
	// abandoned, where its request may be sent to another target.
	abandonRisk = 0.5
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

// Attempt is one open attempt at a target.
type Attempt struct {
	member  *registrar.Member
	route   string
	service string
	risk    float64
	trial   bool
	started timer.Instant
	// overdue is the instant from which on the response is overdue; reported is set once
	// that has been reported as an outcome.
	overdue  timer.Instant
	reported bool
	// abandon cancels the attempt; nil where its request must not be sent again.
	abandon func()
}

// Member returns the target.
func (a *Attempt) Member() *registrar.Member { return a.member }

// Risk returns the risk, between 0 and 1, of the target at the time of the choice.
func (a *Attempt) Risk() float64 { return a.risk }

// Trial reports whether the weight of the target was raised because it was idle.
func (a *Attempt) Trial() bool { return a.trial }

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

// Run checks for overdue attempts until ctx ends.
func (p *Placer) Run(ctx context.Context) error {
	p.spec.Clock.Every(overduePeriod).Each(ctx, p.checkOverdue)

	return nil
}

// AttemptSpec lists the properties of an attempt that the choice of its target depends on.
type AttemptSpec struct {
	// Service and Route are the names of the service and of the route.
	Service string
	Route   string
	// LatencyGoal is the time within which a response should come; 0 where unknown.
	LatencyGoal time.Duration
	// Tried are the names of the targets of earlier attempts.
	Tried []string
	// Repeatable is set where the request may be sent to another target after a
	// failure.
	Repeatable bool
	// Abandon cancels the attempt. It is called for repeatable requests only.
	Abandon func()
}

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

// candidates returns the targets that may be chosen: those that are listed, have not
// been tried, were not without capacity lately and did not ask for a pause. It also returns
// the cold targets that it left out.
func (p *Placer) candidates(now timer.Instant, c AttemptSpec) (list []candidate, held []*registrar.Member) {
	members := p.spec.Targets.Members(c.Service)
	list = make([]candidate, 0, len(members))
	for _, m := range members {
		switch p.exclusion(now, c, m) {
		case ExclusionNone:
		case ExclusionCold:
			held = append(held, m)

			continue
		default:
			continue
		}
		risk, age, known := p.spec.Risks.Assess(now, m.Key())
		if !known {
			age = maxAge
		}
		list = append(list, candidate{
			member: m,
			risk:   risk,
			age:    min(age, maxAge),
			slots:  slotsOf(now, m),
			open:   float64(p.openPerTarget[m.Key()] + p.spec.RemoteLoad.OpenRequests(m.Key())),
			local:  m.Target().DataCentre() == p.spec.DataCentre,

			rejectionRate: p.rejectionRate(now, m.Key()),
		})
	}

	return list, held
}

// pauseEnd returns the instant until which the target gets no attempts; the lock must be
// held.
func (p *Placer) pauseEnd(k estimator.Key) timer.Instant {
	return max(p.fullUntil[k], p.pausedUntil[k])
}

// Wait returns the time until the first target of the service may get an attempt again;
// 0 where one may now or where the service has no target.
func (p *Placer) Wait(now timer.Instant, service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := timer.Instant(0)
	for _, m := range p.spec.Targets.Members(service) {
		end := p.firstUse(now, service, m)
		if !m.Listed(now) {
			continue
		}
		if !now.Before(end) {
			return 0
		}
		if first == 0 || end.Before(first) {
			first = end
		}
	}
	if first == 0 {
		return 0
	}

	return first.Sub(now)
}

// Evacuated returns the evacuated data centres that have targets of the service.
func (p *Placer) Evacuated(service string) []string { return p.spec.Targets.Evacuated(service) }

// NoteFull records that a target had no capacity for a request of another VM.
func (p *Placer) NoteFull(now timer.Instant, k estimator.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fullUntil[k] = now.Add(fullBackoff)
}

// Each calls f with the name and the counter of each outcome of attempts.
func (p *Placer) Each(f func(name string, c metrics.Counter)) {
	for o, c := range p.outcomes {
		f("attempts."+o.String(), c)
	}
}

// Result is how an attempt ended.
type Result struct {
	// Outcome is the evidence about the target; 0 where there is none.
	Outcome estimator.Outcome
	// Full is set where the target had no capacity for the request.
	Full bool
	// Shed is set where the target rejected the request, which it did not run.
	Shed bool
	// Leaving is set where the target stated that it is about to stop.
	Leaving bool
	// Pause is for how long the target asked this VM for no attempts; 0 where it did not.
	Pause time.Duration
	// Overtaken is set where the attempt was aborted because another attempt at the same
	// request got a response. It is evidence only where the response was overdue.
	Overtaken bool
}

// End closes the attempt and reports its outcome, unless checkOverdue has reported the
// same one.
func (p *Placer) End(now timer.Instant, a *Attempt, r Result) {
	k := a.member.Key()
	p.mu.Lock()
	delete(p.open, a)
	decrement(p.openPerTarget, k)
	if r.Full {
		p.fullUntil[k] = now.Add(fullBackoff)
	} else {
		delete(p.fullUntil, k)
	}
	if r.Pause > 0 {
		p.pausedUntil[k] = max(p.pausedUntil[k], now.Add(r.Pause))
	}
	took, l := now.Sub(a.started), latencyOf(p.routeLatencies, a.route)
	switch {
	case r.Outcome == estimator.OutcomeServed:
		l.observe(took)
		latencyOf(p.serviceLatencies, a.service).observe(took)
	case r.Outcome == estimator.OutcomeFailed && l.processed(took):
		r.Outcome = estimator.OutcomeErred
	}
	if r.Overtaken && !now.Before(a.overdue) {
		r.Outcome = estimator.OutcomeSilent
	}
	alreadyReported := a.reported && r.Outcome == estimator.OutcomeSilent
	p.mu.Unlock()
	if c, ok := p.outcomes[r.Outcome]; ok {
		c.Inc(1)
	}
	if r.Outcome.Valid() && !alreadyReported {
		p.spec.Observer.Observe(now, k, r.Outcome)
		p.spec.Reporter.ReportOutcome(k, r.Outcome)
	}
	p.observeRejection(now, k, r)
	p.reportNotices(now, k, r)
}

// reportNotices tells the other VMs what the target stated about itself.
func (p *Placer) reportNotices(now timer.Instant, k estimator.Key, r Result) {
	if r.Leaving && p.spec.Leaving.MarkLeaving(now, k) {
		p.spec.Reporter.ReportOutcome(k, estimator.OutcomeLeaving)
	}
	if r.Pause > 0 {
		p.spec.Reporter.ReportOutcome(k, estimator.OutcomeFull)
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
