// Package pacer decides when this VM may send a request to a cold target, so that the
// fleet sends no more than the target can handle. VMs do not coordinate for it: each uses
// its own share of the rate. The package does no I/O.
package pacer

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/hasher"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// settleTime is the time after the list of the VMs was read during which nothing is
	// sent to cold targets: VMs that start at the same time learn of each other by reports.
	settleTime = 3 * time.Second
	// tickInterval is the time between two updates of the buckets.
	tickInterval = time.Second
	// vmDecay is the factor by which the number of VMs falls at most in each tick. VMs that
	// a network fault keeps silent count as gone after some seconds, and still send.
	vmDecay = 0.98
	// retention is how long the bucket of a target for which there are no requests is kept.
	retention = time.Minute
	// maxWait bounds the time that Wait returns: callers return to any VM, and another one
	// may get its token earlier.
	maxWait = time.Second
)

// fleet tells how many VMs share a rate.
type fleet interface {
	// VMCounts returns how many VMs, this one included, are heard and known.
	VMCounts() (heard, known int)
	// ListRead reports whether the list of the VMs has been read up to this VM's own entry.
	ListRead() bool
}

type clock interface {
	Every(d time.Duration) *timer.Subscription
}

// Spec lists the dependencies of a pacer.
type Spec struct {
	// Self identifies this VM in the fleet.
	Self  string
	Fleet fleet
	// Rate returns the requests per second that a cold target of the service can handle;
	// 0 where the service declares no rate, and its cold targets are not paced.
	Rate  func(service string) float64
	Clock clock
}

// Pacer holds a bucket of tokens for each cold target. It is also the controller that
// updates and removes them. It is safe for concurrent use.
type Pacer struct {
	spec Spec
	sent metrics.Counter
	held metrics.Counter
	// mu guards what follows; it is held for one decision.
	mu      sync.Mutex
	buckets map[estimator.Key]*bucket
	// vms is the number of VMs that share the rates, as of the last tick.
	vms float64
	// listReadAt is when the list of the VMs was first found to be read; 0 before.
	listReadAt timer.Instant
}

// New returns a pacer that sends nothing until the list of the VMs has been read.
func New(s Spec) *Pacer {
	return &Pacer{
		spec:    s,
		sent:    metrics.NewCounter(),
		held:    metrics.NewCounter(),
		buckets: map[estimator.Key]*bucket{},
	}
}

// Name returns the controller's name.
func (p *Pacer) Name() string { return "pacer" }

// Run updates the buckets until ctx ends.
func (p *Pacer) Run(ctx context.Context) error {
	p.spec.Clock.Every(tickInterval).Each(ctx, p.tick)

	return nil
}

// Each calls f with the name and the value of each counter: the requests that were sent to
// cold targets, and the choices from which a cold target was left out.
func (p *Pacer) Each(f func(name string, c metrics.Counter)) {
	f("coldtargets.sent", p.sent)
	f("coldtargets.held", p.held)
}

// MaySend reports whether a request may be sent to the cold target now. It changes nothing.
func (p *Pacer) MaySend(now timer.Instant, service string, k estimator.Key) bool {
	rate := p.spec.Rate(service)
	if rate <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b, known := p.buckets[k]

	return known && p.settled(now) && b.at(now, p.pace(rate)).full()
}

// Hold records that a cold target was left out of a choice because no request may be sent
// to it. The first call for a target begins its bucket.
func (p *Pacer) Hold(now timer.Instant, service string, k estimator.Key) {
	p.held.Inc(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.settled(now) {
		return
	}
	b, known := p.buckets[k]
	if !known {
		b = newBucket(now, service, p.initialLevel(k))
		p.buckets[k] = b
	}
	b.asked = now
}

// Take uses the token for a request to the cold target. MaySend must have returned true.
func (p *Pacer) Take(now timer.Instant, service string, k estimator.Key) {
	rate := p.spec.Rate(service)
	if rate <= 0 {
		return
	}
	p.sent.Inc(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, known := p.buckets[k]; known {
		*b = b.at(now, p.pace(rate))
		b.filledAt = 0
		b.asked = now
	}
}

// Wait returns the time until a request may be sent to the cold target, at most maxWait.
func (p *Pacer) Wait(now timer.Instant, service string, k estimator.Key) time.Duration {
	rate := p.spec.Rate(service)
	if rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b, known := p.buckets[k]
	if !known || !p.settled(now) {
		return maxWait
	}
	current := p.pace(rate)

	return min(maxWait, b.at(now, current).wait(current))
}

// tick updates the number of VMs and the buckets, and removes those of targets for which
// there are no requests.
func (p *Pacer) tick(now timer.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listReadAt == 0 && p.spec.Fleet.ListRead() {
		p.listReadAt = now
	}
	p.vms = max(p.vms*vmDecay, p.knownVMs())
	for k, b := range p.buckets {
		rate := p.spec.Rate(b.service)
		if rate <= 0 || now.Sub(b.asked) > retention {
			delete(p.buckets, k)

			continue
		}
		*b = b.at(now, p.pace(rate))
	}
}

// settled reports whether the number of VMs is known; the lock must be held.
func (p *Pacer) settled(now timer.Instant) bool {
	return p.listReadAt != 0 && now.Sub(p.listReadAt) >= settleTime
}

// pace returns the pace of this VM for a rate; the lock must be held.
func (p *Pacer) pace(rate float64) pace { return newPace(rate, max(p.vms, p.knownVMs())) }

func (p *Pacer) knownVMs() float64 {
	_, known := p.spec.Fleet.VMCounts()

	return float64(known)
}

// initialLevel returns the level, from 0 to 1, at which the bucket of a target begins. The
// levels are spread over the VMs, so that the VMs get their tokens at different times.
func (p *Pacer) initialLevel(k estimator.Key) float64 {
	source := rand.NewPCG(uint64(hasher.Sum(p.spec.Self)), uint64(k))

	return rand.New(source).Float64() //nolint:gosec // Spreads load; not used for secrets.
}

// seconds converts a number of seconds, which may be too large for a duration.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, maxPeriod.Seconds()) * float64(time.Second))
}
