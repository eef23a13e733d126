// Package picker chooses the target of each attempt from an immutable table, which
// a controller rebuilds and swaps, by atomic counters of the attempts in flight.
package picker

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/ejector"
	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// rebuildPeriod is the time between two rebuilds of the table.
	rebuildPeriod = 100 * time.Millisecond
	// drawAttempts bounds the random draws for one candidate.
	drawAttempts = 4
)

type manifests interface {
	Manifest() *manifester.Manifest
}

type statuses interface {
	Statuses() *ejector.TargetStatuses
}

type members interface {
	View() *member.View
}

type ticker interface {
	Every(d time.Duration) *timer.Subscription
}

// Balancer picks targets for one VM. Pick and Done are safe for concurrent use
// and take no lock; Rebuild must be called by one goroutine only.
type Balancer struct {
	manifests manifests
	statuses  statuses
	members   members
	timers    ticker
	states    *states
	random    func() float64
	// table is swapped by each rebuild; never nil.
	table atomic.Pointer[Table]
}

// New returns a balancer with an empty table. random returns numbers of at least
// 0 and below 1, and must be safe for concurrent use; nil means rand.Float64.
func New(m manifests, e statuses, v members, r *ejector.Recorder, t ticker, random func() float64) *Balancer {
	if random == nil {
		random = rand.Float64
	}
	b := &Balancer{
		manifests: m,
		statuses:  e,
		members:   v,
		timers:    t,
		states: &states{
			recorder: r,
		},
		random: random,
	}
	b.table.Store(&Table{})

	return b
}

// Name returns the controller's name.
func (b *Balancer) Name() string { return "picker" }

// Run rebuilds the table until ctx ends.
func (b *Balancer) Run(ctx context.Context) error {
	b.Rebuild()
	b.timers.Every(rebuildPeriod).Each(ctx, func(timer.Instant) { b.Rebuild() })

	return nil
}

// Rebuild builds a table of the current state and swaps it in.
func (b *Balancer) Rebuild() {
	m := b.manifests.Manifest()
	b.table.Store(b.builder().build(m))
	b.states.prune(m)
}

func (b *Balancer) builder() *builder {
	view := b.members.View()
	self := view.Self()
	build := &builder{
		self:       vmID(self.ID()),
		dataCentre: self.DataCentre(),
		local:      []vmID{vmID(self.ID())},
		all:        []vmID{vmID(self.ID())},
		statuses:   b.statuses.Statuses(),
		states:     b.states,
	}
	for _, p := range view.Peers() {
		build.all = append(build.all, vmID(p.ID()))
		if p.DataCentre() == self.DataCentre() {
			build.local = append(build.local, vmID(p.ID()))
		}
	}
	slices.Sort(build.local)
	slices.Sort(build.all)

	return build
}

// serviceTable returns the table of the service. For a service that was declared
// after the last rebuild, it builds one for this call only.
func (b *Balancer) serviceTable(s *manifester.Service) *serviceTable {
	if st := b.table.Load().services[s.Name()]; st != nil {
		return st
	}

	return b.builder().service(s)
}

// Pick returns a target for a new attempt, or false where no target that was not
// tried yet can take another attempt. Done must be called once for every target
// that was returned.
func (b *Balancer) Pick(now timer.Instant, service *manifester.Service, tried []string) (*manifester.Target, bool) {
	st := b.serviceTable(service)
	if len(tried) == 0 {
		if t, ok := b.pickTrial(now, st); ok {
			return t, true
		}
	}
	for i := range st.tiers {
		if t, ok := b.pickFrom(now, st, st.tiers[i], tried); ok {
			return t, true
		}
	}

	return nil, false
}

// pickTrial returns an ejected target whose next trial request is due.
func (b *Balancer) pickTrial(now timer.Instant, st *serviceTable) (*manifester.Target, bool) {
	for i := range st.trials {
		t := &st.trials[i]
		if t.state.claimTrial(now, t.interval, b.random()) {
			t.state.samples.Begin(now)

			return t.target, true
		}
	}

	return nil, false
}

// pickFrom returns the cheaper of two random candidates that are below their
// limits. If there is none, or it has reached its limit meanwhile, pickFrom returns
// the candidate that pickCheapest finds.
func (b *Balancer) pickFrom(now timer.Instant, st *serviceTable, list []candidate, tried []string) (*manifester.Target, bool) {
	if len(list) == 0 {
		return nil, false
	}
	first := b.draw(now, list, tried, nil)
	second := b.draw(now, list, tried, first)
	best := cheaper(first, second, st.median)
	if best != nil && best.state.begin(now) {
		return best.target, true
	}

	return pickCheapest(now, st, list, tried)
}

// draw returns a random candidate below its limit that is neither tried nor other,
// accepted with the probability of its weight, or nil if drawAttempts draws found
// none.
func (b *Balancer) draw(now timer.Instant, list []candidate, tried []string, other *candidate) *candidate {
	for range drawAttempts {
		c := &list[int(b.random()*float64(len(list)))%len(list)]
		if c == other || c.state.full(now) || slices.Contains(tried, c.target.Name()) {
			continue
		}
		if c.weight >= 1 || b.random() < c.weight {
			return c
		}
	}

	return nil
}

func cheaper(a, b *candidate, median time.Duration) *candidate {
	switch {
	case a == nil:
		return b
	case b == nil || a.state.cost(median) <= b.state.cost(median):
		return a
	default:
		return b
	}
}

// pickCheapest scans the whole list for the untried candidate below its limit that
// has the lowest cost relative to its weight.
func pickCheapest(now timer.Instant, st *serviceTable, list []candidate, tried []string) (*manifester.Target, bool) {
	var best *candidate
	lowest := 0.0
	for i := range list {
		c := &list[i]
		if c.state.full(now) || slices.Contains(tried, c.target.Name()) {
			continue
		}
		if cost := c.state.cost(st.median) / c.weight; best == nil || cost < lowest {
			best, lowest = c, cost
		}
	}
	if best == nil || !best.state.begin(now) {
		return nil, false
	}

	return best.target, true
}

// Done records the outcome of an attempt and adapts the limits to it.
func (b *Balancer) Done(now timer.Instant, service *manifester.Service, target *manifester.Target, o ejector.Outcome) {
	st := b.serviceTable(service)
	inFlight := st.inFlight()
	ts := b.states.target(ejector.KeyOf(service, target))
	switch ts.end(now, st, o) {
	case congestionHigh:
		st.state.limit.cut(now, max(o.Took(), st.median))
	case congestionLow:
		st.state.limit.grow(inFlight)
	case congestionUnknown:
	}
}

// Capacity returns how many attempts at the service this VM may have in flight:
// the adaptive limit of the service or this VM's share of the slots, whichever is
// larger, but not more than the sum of the targets' limits. It is at least 1.
func (b *Balancer) Capacity(service string) int {
	st := b.table.Load().services[service]
	if st == nil {
		return 1
	}

	return max(1, min(st.totalLimit(), max(st.share, int(st.state.limit.value()))))
}
