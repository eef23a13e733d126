// Package drainer tracks which targets are leaving, according to the platform's VM
// list or to a draining signal of the target that this VM or a peer received. It
// does not read the manifest.
package drainer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/lister"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// stepPeriod is the time between two reads of the list.
	stepPeriod = 250 * time.Millisecond
	// signalTTL is how long a draining signal is valid after it was last received.
	signalTTL = 30 * time.Second
	// unlistedTTL is how long an upstream that was listed as leaving, and is no
	// longer listed, counts as leaving.
	unlistedTTL = 10 * time.Minute
	// maxSignals is the maximum number of targets whose signals are kept.
	maxSignals = 4096
)

type platform interface {
	PlatformVMs() []lister.VM
}

type ticker interface {
	Every(d time.Duration) *timer.Subscription
}

// Drainer is the controller of leaving targets. Its methods are safe for concurrent
// use, except that only one goroutine may call Step.
type Drainer struct {
	platform platform
	timers   ticker
	logger   *logger.Logger
	mu       sync.Mutex
	// signals maps the addresses of targets to the instant of their last draining
	// signal; guarded by mu.
	signals map[string]timer.Instant
	// listed maps the address of each upstream that was listed as leaving to the
	// instant at which it last was. One that is no longer listed is kept for unlistedTTL.
	// Only the goroutine of Step uses it.
	listed map[string]timer.Instant
	// leaving holds the addresses of the leaving targets. Each step replaces it as
	// a whole; never nil.
	leaving atomic.Pointer[map[string]bool]
}

// New returns a drainer without leaving targets.
func New(p platform, t ticker, l *logger.Logger) *Drainer {
	d := &Drainer{
		platform: p,
		timers:   t,
		logger:   l,
		signals:  map[string]timer.Instant{},
		listed:   map[string]timer.Instant{},
	}
	d.leaving.Store(&map[string]bool{})

	return d
}

// Name returns the controller's name.
func (d *Drainer) Name() string { return "drainer" }

// Leaving reports whether the target at the address must get no new work.
func (d *Drainer) Leaving(address string) bool {
	return (*d.leaving.Load())[address]
}

// NoteDraining records a draining signal of the target at the address.
func (d *Drainer) NoteDraining(now timer.Instant, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordSignal(now, address)
}

// Merge records the draining signals that a peer received, except those that are
// no longer valid.
func (d *Drainer) Merge(now timer.Instant, received []ejector.Draining) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range received {
		if s.Age() >= 0 && s.Age() < signalTTL {
			d.recordSignal(now.Add(-s.Age()), s.Address())
		}
	}
}

func (d *Drainer) recordSignal(at timer.Instant, address string) {
	last, ok := d.signals[address]
	if (!ok && len(d.signals) < maxSignals) || (ok && at.After(last)) {
		d.signals[address] = at
	}
}

// Draining lists the targets with a valid draining signal, with the signal's age.
func (d *Drainer) Draining(now timer.Instant) []ejector.Draining {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]ejector.Draining, 0, len(d.signals))
	for a, at := range d.signals {
		if now.Sub(at) < signalTTL {
			list = append(list, ejector.NewDraining(a, now.Sub(at)))
		}
	}

	return list
}

// Run reads the list every stepPeriod until ctx ends.
func (d *Drainer) Run(ctx context.Context) error {
	d.timers.Every(stepPeriod).Each(ctx, d.Step)

	return nil
}

// Step reads the list, drops expired signals and publishes the leaving targets.
func (d *Drainer) Step(now timer.Instant) {
	for _, v := range d.platform.PlatformVMs() {
		if v.Role() != lister.RoleUpstream {
			continue
		}
		if v.Leaving() {
			d.listed[v.Address()] = now
		} else {
			delete(d.listed, v.Address())
		}
	}
	next := d.liveSignals(now)
	for a, at := range d.listed {
		if now.Sub(at) >= unlistedTTL {
			delete(d.listed, a)

			continue
		}
		next[a] = true
	}
	d.publish(next)
}

// liveSignals drops the expired signals and returns the addresses of the others.
func (d *Drainer) liveSignals(now timer.Instant) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := map[string]bool{}
	for a, at := range d.signals {
		if now.Sub(at) >= signalTTL {
			delete(d.signals, a)

			continue
		}
		next[a] = true
	}

	return next
}

func (d *Drainer) publish(next map[string]bool) {
	last := *d.leaving.Load()
	for a := range next {
		if !last[a] {
			d.logger.Log(logger.TargetLeaving, logger.Text("address", a))
		}
	}
	d.leaving.Store(&next)
}
