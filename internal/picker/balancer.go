// Package picker chooses the target of each attempt: from an immutable table
// that a controller builds and swaps, by in-flight counters that are atomics.
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
	// rebuildPeriod is the time between two tables.
	rebuildPeriod = 100 * time.Millisecond
	// drawAttempts bounds the random draws of one choice.
	drawAttempts = 4
)

type manifests interface {
	Manifest() *manifester.Manifest
}

type judge interface {
	Verdicts() *ejector.Verdicts
}

type members interface {
	View() *member.View
}

type ticker interface {
	Every(d time.Duration) *timer.Subscription
}

// Balancer picks targets for one VM. Pick and Done are safe for concurrent use
// and take no lock; Rebuild belongs to one goroutine.
type Balancer struct {
	manifests manifests
	judge     judge
	members   members
	timers    ticker
	gauges    *gauges
	random    func() float64
	// table is swapped by each rebuild; never nil.
	table atomic.Pointer[Table]
}

// New returns a balancer with an empty table. The random numbers are drawn from
// 0 to 1, and safe for concurrent use; nil takes the usual source.
func New(m manifests, j judge, v members, r *ejector.Recorder, t ticker, random func() float64) *Balancer {
	if random == nil {
		random = rand.Float64
	}
	b := &Balancer{
		manifests: m,
		judge:     j,
		members:   v,
		timers:    t,
		gauges: &gauges{
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

// Rebuild builds the table of the present state and swaps it in.
func (b *Balancer) Rebuild() {
	m := b.manifests.Manifest()
	b.table.Store(b.builder().build(m))
	b.gauges.keep(m)
}

func (b *Balancer) builder() *builder {
	view := b.members.View()
	self := view.Self()
	build := &builder{
		self:       vmID(self.ID()),
		dataCentre: self.DataCentre(),
		near:       []vmID{vmID(self.ID())},
		all:        []vmID{vmID(self.ID())},
		verdicts:   b.judge.Verdicts(),
		gauges:     b.gauges,
	}
	for _, p := range view.Peers() {
		build.all = append(build.all, vmID(p.ID()))
		if p.DataCentre() == self.DataCentre() {
			build.near = append(build.near, vmID(p.ID()))
		}
	}
	slices.Sort(build.near)
	slices.Sort(build.all)

	return build
}

// serviceTable returns the service's part of the table. A service that was
// declared after the last rebuild gets a part of its own for the request.
func (b *Balancer) serviceTable(s *manifester.Service) *serviceTable {
	if st := b.table.Load().services[s.Name()]; st != nil {
		return st
	}

	return b.builder().service(s)
}

// Pick returns a target for a new attempt, or false where every target that may
// be used has as many attempts in flight as it can take. Done must be called
// once with every target returned.
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

// pickTrial returns an ejected target that is due for a trial request.
func (b *Balancer) pickTrial(now timer.Instant, st *serviceTable) (*manifester.Target, bool) {
	for i := range st.trials {
		t := &st.trials[i]
		if t.gauge.takeTrial(now, t.every, b.random()) {
			t.gauge.samples.Begin(now)

			return t.target, true
		}
	}

	return nil, false
}

// pickFrom returns the better of two random candidates with room, or, if the
// draws found none, the cheapest of all.
func (b *Balancer) pickFrom(now timer.Instant, st *serviceTable, list []candidate, tried []string) (*manifester.Target, bool) {
	if len(list) == 0 {
		return nil, false
	}
	first := b.draw(now, list, tried, nil)
	second := b.draw(now, list, tried, first)
	best := cheaper(first, second, st.typical)
	if best != nil && best.gauge.begin(now) {
		return best.target, true
	}

	return pickCheapest(now, st, list, tried)
}

// draw returns a random candidate with room, accepted by its weight, or nil.
func (b *Balancer) draw(now timer.Instant, list []candidate, tried []string, other *candidate) *candidate {
	for range drawAttempts {
		c := &list[int(b.random()*float64(len(list)))%len(list)]
		if c == other || c.gauge.full(now) || slices.Contains(tried, c.target.Name()) {
			continue
		}
		if c.weight >= 1 || b.random() < c.weight {
			return c
		}
	}

	return nil
}

func cheaper(a, b *candidate, typical time.Duration) *candidate {
	switch {
	case a == nil:
		return b
	case b == nil || a.gauge.cost(typical) <= b.gauge.cost(typical):
		return a
	default:
		return b
	}
}

// pickCheapest looks at every candidate.
func pickCheapest(now timer.Instant, st *serviceTable, list []candidate, tried []string) (*manifester.Target, bool) {
	var best *candidate
	lowest := 0.0
	for i := range list {
		c := &list[i]
		if c.gauge.full(now) || slices.Contains(tried, c.target.Name()) {
			continue
		}
		if cost := c.gauge.cost(st.typical) / c.weight; best == nil || cost < lowest {
			best, lowest = c, cost
		}
	}
	if best == nil || !best.gauge.begin(now) {
		return nil, false
	}

	return best.target, true
}

// Done reports how an attempt ended.
func (b *Balancer) Done(now timer.Instant, service *manifester.Service, target *manifester.Target, o ejector.Outcome) {
	st := b.serviceTable(service)
	inFlight := st.inFlight()
	g := b.gauges.gauge(ejector.KeyOf(service, target))
	switch g.end(now, st, o) {
	case pressureHigh:
		st.gauge.limit.cut(now, max(o.Took(), st.typical))
	case pressureLow:
		st.gauge.limit.grow(inFlight)
	case pressureUnknown:
	}
}

// Capacity returns how many attempts at the service this VM may have in flight:
// its adaptive limit, and never more than the targets' bounds leave room for.
func (b *Balancer) Capacity(service string) int {
	st := b.table.Load().services[service]
	if st == nil {
		return 1
	}

	return max(1, min(st.room(), max(st.share, int(st.gauge.limit.value()))))
}
