package granter

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// observePeriod is the time between two checks of which ranges this VM holds. A new
// holder's buckets fill from the first check that finds it active.
const observePeriod = 250 * time.Millisecond

type clock interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

type manifestSource interface {
	Manifest() *manifester.Manifest
}

type leases interface {
	// Active reports whether this VM may act as the holder of the range now, and in
	// which term.
	Active(r member.Range) (member.Term, bool)
}

// Granter is the controller that decides requests for tokens of the ranges that this
// VM holds.
type Granter struct {
	leases leases
	source manifestSource
	clock  clock
	// mu guards allocator; it is held for one decision or one observation.
	mu        sync.Mutex
	allocator *Allocator
}

// New returns a granter for the ranges that this VM holds.
func New(l leases, s manifestSource, c clock) *Granter {
	return &Granter{
		leases:    l,
		source:    s,
		clock:     c,
		allocator: NewAllocator(),
	}
}

// Name returns the controller's name.
func (g *Granter) Name() string { return "granter" }

// Run records when this VM becomes the active holder of a range, until ctx ends.
func (g *Granter) Run(ctx context.Context) error {
	g.clock.Every(observePeriod).Each(ctx, func(timer.Instant) { g.observe() })

	return nil
}

func (g *Granter) observe() {
	for r := range member.Range(member.RangeCount) {
		g.mu.Lock()
		if now, term, ok := g.active(r); ok {
			g.allocator.Observe(now, r, term)
		}
		g.mu.Unlock()
	}
}

// active returns an instant at which this VM was the active holder, and the
// term. The clock is read between two checks of the lease: were it read before
// or after a single one, a VM frozen in between would charge tokens at an
// instant at which another VM was the active holder.
func (g *Granter) active(r member.Range) (timer.Instant, member.Term, bool) {
	before, ok := g.leases.Active(r)
	if !ok {
		return 0, before, false
	}
	now := g.clock.Now()
	after, ok := g.leases.Active(r)

	return now, after, ok && before == after
}

// Grant decides one request for tokens.
func (g *Granter) Grant(r TokenRequest) Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, term, ok := g.active(SlotRange(r.team, r.slot))
	if !ok {
		return NewRejection(StateNotHolder)
	}
	g.allocator.Configure(now, g.source.Manifest())

	return g.allocator.Grant(now, term, r)
}
