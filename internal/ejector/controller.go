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
	// evaluationPeriod is the time between two evaluations of the targets, called
	// steps.
	evaluationPeriod = 250 * time.Millisecond
	// shortSteps and longSteps are the lengths of the evidence windows, in steps.
	shortSteps = 4
	longSteps  = 20
	// reportTTL is the age after which a peer's report is dropped.
	reportTTL = 2 * time.Second
	// warmUpTime is how long a new or returned target is warming up.
	warmUpTime = 10 * time.Second
	// initialWeight is the weight at the start of the warm-up.
	initialWeight = 0.1
	// reducedWeight is the weight of a reduced target.
	reducedWeight = 0.3
	// trialInterval is the time between two trial requests to one ejected target,
	// counted over all VMs, or over this VM alone where only its path failed.
	trialInterval = 250 * time.Millisecond
	// connectFailureThreshold is the number of consecutive connect failures at which
	// this VM ejects a target because of its path.
	connectFailureThreshold = 1
	// pathDebounceSteps is how long, in steps, this VM's evidence against a target
	// that other VMs find healthy must last before it counts, so that the peers'
	// reports cover the same period.
	pathDebounceSteps = 2 * shortSteps
)

const (
	// fleetBaseEjection and pathBaseEjection are the durations of a first ejection.
	fleetBaseEjection = 5 * time.Second
	pathBaseEjection  = 2 * time.Second
	// fleetMaxEjection and pathMaxEjection bound the durations of later ejections.
	fleetMaxEjection = time.Minute
	pathMaxEjection  = 30 * time.Second
	// fleetTrials and pathTrials are the numbers of trial results that a return
	// needs.
	fleetTrials = 8
	pathTrials  = 1
)

// fleetPolicy applies to targets that all VMs eject.
var fleetPolicy = policy{
	baseTime:       fleetBaseEjection,
	maxTime:        fleetMaxEjection,
	requiredTrials: fleetTrials,
}

// pathPolicy applies to targets that only this VM ejects, because of its path to
// them.
var pathPolicy = policy{
	baseTime:       pathBaseEjection,
	maxTime:        pathMaxEjection,
	requiredTrials: pathTrials,
}

type manifests interface {
	Manifest() *manifester.Manifest
}

type drainTracker interface {
	// Leaving reports whether the target at the address must get no new requests.
	Leaving(address string) bool
	// Draining lists the targets with a valid draining signal.
	Draining(now timer.Instant) []Draining
}

type ticker interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

// peerReport is the latest report of one peer.
type peerReport struct {
	receivedAt timer.Instant
	sums       map[TargetID]windows
	// medians maps services to the peer's median first-byte times.
	medians map[ServiceID]time.Duration
}

// Controller owns the grades of all targets. Step belongs to one goroutine, that of
// Run; the other methods are safe for concurrent use.
type Controller struct {
	self         string
	manifests    manifests
	drainTracker drainTracker
	recorder     *Recorder
	clock        ticker
	logger       *logger.Logger
	// targets and medianTrackers are used only by the goroutine of Step.
	targets        map[Key]*targetState
	medianTrackers map[string]*medianTracker
	// reports maps a peer's name to its *peerReport.
	reports sync.Map
	// statuses and report are replaced in each step; never nil.
	statuses atomic.Pointer[TargetStatuses]
	report   atomic.Pointer[Report]
}

// New returns a controller for the VM named self that has evaluated no target yet.
func New(self string, m manifests, l drainTracker, r *Recorder, t ticker, lg *logger.Logger) *Controller {
	c := &Controller{
		self:           self,
		manifests:      m,
		drainTracker:   l,
		recorder:       r,
		clock:          t,
		logger:         lg,
		targets:        map[Key]*targetState{},
		medianTrackers: map[string]*medianTracker{},
	}
	c.statuses.Store(&TargetStatuses{})
	c.report.Store(NewReport(self, nil, nil, nil))

	return c
}

// Name returns the controller's name.
func (c *Controller) Name() string { return "ejector" }

// Statuses returns the statuses in force.
func (c *Controller) Statuses() *TargetStatuses { return c.statuses.Load() }

// Report returns this VM's present report to its peers.
func (c *Controller) Report() *Report { return c.report.Load() }

// Run evaluates the targets until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.clock.Every(evaluationPeriod).Each(ctx, c.Step)

	return nil
}

// Receive stores the report of a peer and replaces the peer's previous one.
func (c *Controller) Receive(now timer.Instant, r *Report) {
	if r.vm == c.self {
		return
	}
	in := &peerReport{
		receivedAt: now,
		sums:       make(map[TargetID]windows, len(r.sums)),
		medians:    make(map[ServiceID]time.Duration, len(r.medians)),
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

// Step evaluates every target at the instant and publishes the statuses and this
// VM's report.
func (c *Controller) Step(now timer.Instant) {
	m := c.manifests.Manifest()
	peers := c.freshReports(now)
	next := &TargetStatuses{
		statuses:        make(map[Key]*TargetStatus, len(c.targets)),
		healthySlots:    map[string]int{},
		medianLatencies: map[string]time.Duration{},
	}
	sums := make([]TargetSum, 0, len(c.targets))
	var medians []ServiceMedian
	for _, s := range m.Services() {
		own := c.median(s.Name())
		if own > 0 {
			medians = append(medians, NewServiceMedian(ServiceIDOf(s.Name()), own))
		}
		next.medianLatencies[s.Name()] = c.updateFleetMedian(s.Name(), own, peers)
		sums = append(sums, c.stepService(now, s, peers, next)...)
	}
	c.prune(next)
	c.statuses.Store(next)
	c.report.Store(NewReport(c.self, sums, medians, c.drainTracker.Draining(now)))
}

// freshReports returns the reports within reportTTL and deletes the others.
func (c *Controller) freshReports(now timer.Instant) []*peerReport {
	var list []*peerReport
	c.reports.Range(func(vm, v any) bool {
		in, ok := v.(*peerReport)
		if !ok || now.Sub(in.receivedAt) > reportTTL {
			c.reports.CompareAndDelete(vm, v)
		} else {
			list = append(list, in)
		}

		return true
	})

	return list
}

// median returns this VM's median first-byte time of the service, or 0 while
// it is unknown.
func (c *Controller) median(service string) time.Duration {
	t, ok := c.medianTrackers[service]
	if !ok {
		t = &medianTracker{}
		c.medianTrackers[service] = t
	}
	t.advance(c.recorder.latencies(service))

	return t.median()
}

// updateFleetMedian sets the service's fleet median to the median of all VMs'
// medians and returns it. The last one stays while no VM knows a median.
func (c *Controller) updateFleetMedian(service string, own time.Duration, peers []*peerReport) time.Duration {
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
		l.setFleetMedian(known[(len(known)-1)/2])
	}

	return l.FleetMedian()
}

// prune drops targets that are no longer in the manifest.
func (c *Controller) prune(next *TargetStatuses) {
	for k := range c.targets {
		if next.statuses[k] == nil {
			delete(c.targets, k)
			c.recorder.prune(k) // Open attempts keep the samples alive.
		}
	}
}
