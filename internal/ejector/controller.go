package ejector

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// stepPeriod is the time between two judgements.
	stepPeriod = 250 * time.Millisecond
	// shortSteps and longSteps are the windows of evidence, in steps.
	shortSteps = 4
	longSteps  = 20
	// reportLife is the age up to which a peer's report counts.
	reportLife = 2 * time.Second
	// warmTime is how long a new or returned target is cold.
	warmTime = 10 * time.Second
	// coldWeight is the weight at the start of the warm-up.
	coldWeight = 0.1
	// reducedWeight is the weight of a reduced target.
	reducedWeight = 0.3
	// trialEvery is the time between two trial requests to one ejected target:
	// of all VMs together, or of this VM where only its path failed.
	trialEvery = 250 * time.Millisecond
	// pathStreak is the number of connect faults in a row that close a path.
	pathStreak = 1
	// pathSteps is how long this VM's evidence against a target that is sound
	// elsewhere must last, in steps, so that peers have seen the same time.
	pathSteps = 2 * shortSteps
)

const (
	// fleetHold and pathHold are the first hold times.
	fleetHold = 5 * time.Second
	pathHold  = 2 * time.Second
	// maxFleetHold and maxPathHold bound the hold times.
	maxFleetHold = time.Minute
	maxPathHold  = 30 * time.Second
	// fleetTrials and pathTrials are the results that a return needs.
	fleetTrials = 8
	pathTrials  = 1
)

// fleetHolding applies to targets that all VMs keep off.
var fleetHolding = holding{
	base:    fleetHold,
	longest: maxFleetHold,
	trials:  fleetTrials,
}

// pathHolding applies to targets that this VM cannot reach.
var pathHolding = holding{
	base:    pathHold,
	longest: maxPathHold,
	trials:  pathTrials,
}

type manifests interface {
	Manifest() *manifester.Manifest
}

type leavers interface {
	// Leaving reports whether the target at the address must get no new work.
	Leaving(address string) bool
	// Draining lists the targets that said themselves that they are leaving.
	Draining(now timer.Instant) []Draining
}

type ticker interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

// received is the last report of one peer.
type received struct {
	at   timer.Instant
	sums map[TargetID]windows
	// medians maps services to the peer's medians.
	medians map[ServiceID]time.Duration
}

// Controller owns the grades of all targets. Step belongs to one goroutine;
// Receive, Verdicts and Report are safe for concurrent use.
type Controller struct {
	self      string
	manifests manifests
	leavers   leavers
	recorder  *Recorder
	timers    ticker
	logger    *logger.Logger
	// targets and services belong to the goroutine of Step.
	targets  map[Key]*tracked
	services map[string]*medianTracker
	// reports maps a peer's name to its *received.
	reports sync.Map
	// verdicts and report are swapped by each step; never nil.
	verdicts atomic.Pointer[Verdicts]
	report   atomic.Pointer[Report]
}

// New returns a controller on the VM self that has judged nothing yet.
func New(self string, m manifests, l leavers, r *Recorder, t ticker, lg *logger.Logger) *Controller {
	c := &Controller{
		self:      self,
		manifests: m,
		leavers:   l,
		recorder:  r,
		timers:    t,
		logger:    lg,
		targets:   map[Key]*tracked{},
		services:  map[string]*medianTracker{},
	}
	c.verdicts.Store(&Verdicts{})
	c.report.Store(NewReport(self, nil, nil, nil))

	return c
}

// Name returns the controller's name.
func (c *Controller) Name() string { return "ejector" }

// Verdicts returns the standings in force.
func (c *Controller) Verdicts() *Verdicts { return c.verdicts.Load() }

// Report returns what this VM has to tell its peers.
func (c *Controller) Report() *Report { return c.report.Load() }

// Run judges until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.timers.Every(stepPeriod).Each(ctx, c.Step)

	return nil
}

// Receive takes in the report of a peer.
func (c *Controller) Receive(now timer.Instant, r *Report) {
	if r.vm == c.self {
		return
	}
	in := &received{
		at:      now,
		sums:    make(map[TargetID]windows, len(r.sums)),
		medians: make(map[ServiceID]time.Duration, len(r.medians)),
	}
	for _, s := range r.sums {
		in.sums[s.id] = windows{
			short: s.short,
			long:  s.long,
		}
	}
	for _, m := range r.medians {
		in.medians[m.id] = m.median
	}
	c.reports.Store(r.vm, in)
}

// Step judges every target at the instant and publishes the verdicts.
func (c *Controller) Step(now timer.Instant) {
	m := c.manifests.Manifest()
	peers := c.fresh(now)
	next := &Verdicts{
		standings: make(map[Key]*Standing, len(c.targets)),
		healthy:   map[string]int{},
		typical:   map[string]time.Duration{},
	}
	sums := make([]TargetSum, 0, len(c.targets))
	var medians []ServiceMedian
	for _, s := range m.Services() {
		own := c.median(s.Name())
		if own > 0 {
			medians = append(medians, NewServiceMedian(ServiceIDOf(s.Name()), own))
		}
		next.typical[s.Name()] = c.shareMedian(s.Name(), own, peers)
		sums = append(sums, c.stepService(now, s, peers, next)...)
	}
	c.forget(next)
	c.verdicts.Store(next)
	c.report.Store(NewReport(c.self, sums, medians, c.leavers.Draining(now)))
}

// fresh returns the reports that are young enough, and drops the others.
func (c *Controller) fresh(now timer.Instant) []*received {
	var list []*received
	c.reports.Range(func(vm, v any) bool {
		in, ok := v.(*received)
		if !ok || now.Sub(in.at) > reportLife {
			c.reports.CompareAndDelete(vm, v)
		} else {
			list = append(list, in)
		}

		return true
	})

	return list
}

// median returns this VM's median of the service, or 0.
func (c *Controller) median(service string) time.Duration {
	t, ok := c.services[service]
	if !ok {
		t = &medianTracker{}
		c.services[service] = t
	}
	t.advance(c.recorder.latencies(service))

	return t.median()
}

// shareMedian sets the service's typical time to the median of all VMs'
// medians, and keeps the last one while none is known.
func (c *Controller) shareMedian(service string, own time.Duration, peers []*received) time.Duration {
	l := c.recorder.latencies(service)
	var known []time.Duration
	if own > 0 {
		known = append(known, own)
	}
	id := ServiceIDOf(service)
	for _, p := range peers {
		if d := p.medians[id]; d > 0 {
			known = append(known, d)
		}
	}
	if len(known) > 0 {
		slices.Sort(known)
		l.setTypical(known[(len(known)-1)/2])
	}

	return l.Typical()
}

// forget drops targets that are declared no more.
func (c *Controller) forget(v *Verdicts) {
	for k := range c.targets {
		if v.standings[k] == nil {
			delete(c.targets, k)
			c.recorder.forget(k) // Open attempts keep the samples alive.
		}
	}
}
