// Package assigner assigns the targets of each data centre to the VMs there. A VM prefers
// the targets assigned to it, so that it knows most of the open requests at a target from
// its own and reuses connections. Every VM computes the assignment by itself from the VMs
// that it hears and the targets listed; VMs that disagree for a moment only share a target
// with more or fewer others. The package does no I/O.
package assigner

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/hasher"
	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// period is the time between two checks for changes of the VMs heard or the targets.
	period = 500 * time.Millisecond
	// minPerVM is the average number of targets of a service that a VM is assigned, at
	// least. It is more than one, since a target may fail or have no free slot.
	minPerVM = 2
)

type clock interface {
	Every(d time.Duration) *timer.Subscription
}

// fleet knows the other VMs.
type fleet interface {
	// HeardIn returns the addresses of the other VMs in the data centre whose reports
	// arrive, in no particular order. The caller may change the slice.
	HeardIn(dataCentre string) []string
}

// targetList holds the targets by service.
type targetList interface {
	// Generation returns a number that changes with the targets that EachService passes to
	// f, except where only their entries change.
	Generation() uint64
	// EachService calls f with each service and its targets.
	EachService(f func(service string, members []*registrar.Member))
}

// Spec lists the dependencies and settings of an assigner.
type Spec struct {
	// Self is the address of this VM as the others know it, and DataCentre where it runs.
	Self       string
	DataCentre string
	Fleet      fleet
	Targets    targetList
	Clock      clock
}

// Assigner is the controller that keeps the assignment of this VM up to date. Requests
// read it through an atomic pointer.
type Assigner struct {
	spec Spec
	// assigned holds the targets assigned to this VM; it is replaced and never changed.
	assigned atomic.Pointer[map[estimator.Key]struct{}]
	// heard holds the other VMs, sorted, and generation that of the targets which the
	// assignment was computed from. Only the goroutine that calls Update uses them.
	heard      []string
	generation uint64
}

// New returns an assigner without targets.
func New(s Spec) *Assigner {
	a := &Assigner{
		spec: s,
	}
	a.assigned.Store(&map[estimator.Key]struct{}{})

	return a
}

// Name returns the controller's name.
func (a *Assigner) Name() string { return "assigner" }

// Run updates the assignment once per period until ctx ends.
func (a *Assigner) Run(ctx context.Context) error {
	a.spec.Clock.Every(period).Each(ctx, func(timer.Instant) { a.Update() })

	return nil
}

// Assigned reports whether the target is assigned to this VM.
func (a *Assigner) Assigned(k estimator.Key) bool {
	_, ok := (*a.assigned.Load())[k]

	return ok
}

// Size returns the number of targets assigned to this VM.
func (a *Assigner) Size() int { return len(*a.assigned.Load()) }

// Update computes the assignment from the VMs heard and the targets listed at present, if
// these have changed. It must be called by one goroutine at a time.
func (a *Assigner) Update() {
	heard := a.spec.Fleet.HeardIn(a.spec.DataCentre)
	slices.Sort(heard)
	// The generation is read before the targets: if they change in between, the next call
	// computes again.
	generation := a.spec.Targets.Generation()
	if generation == a.generation && slices.Equal(heard, a.heard) {
		return
	}
	a.heard, a.generation = heard, generation
	a.compute(heard)
}

// compute computes the assignment; others are the other VMs heard.
func (a *Assigner) compute(others []string) {
	next := map[estimator.Key]struct{}{}
	a.spec.Targets.EachService(func(_ string, members []*registrar.Member) {
		local := a.local(members)
		n := vmsPerTarget(len(others)+1, len(local))
		for _, m := range local {
			if precedes(a.spec.Self, others, m.Target().Name(), n) {
				next[m.Key()] = struct{}{}
			}
		}
	})
	a.assigned.Store(&next)
}

// local returns the targets in the data centre of this VM.
func (a *Assigner) local(members []*registrar.Member) []*registrar.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m *registrar.Member) bool {
		return m.Target().DataCentre() != a.spec.DataCentre
	})
}

// vmsPerTarget returns to how many VMs each target is assigned, so that a VM gets minPerVM
// targets on average, at least.
func vmsPerTarget(vms, targets int) int {
	if targets == 0 {
		return 0
	}

	return max(1, int(math.Ceil(float64(minPerVM*vms)/float64(targets))))
}

// precedes reports whether the VM is one of the first n in the order of the VMs for the
// target, by rendezvous hashing: a VM that comes or goes changes only the assignment of
// the targets that it gets or had.
func precedes(self string, others []string, target string, n int) bool {
	own := hasher.Sum(target, self)
	before := 0
	for _, v := range others {
		if c := cmp.Compare(hasher.Sum(target, v), own); c < 0 || c == 0 && v < self {
			before++
		}
		if before >= n {
			return false
		}
	}

	return n > 0
}
