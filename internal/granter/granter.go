package granter

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// observePeriod is the time between two looks at which ranges are active. A
// new holder's buckets fill from the first look that finds them active.
const observePeriod = 250 * time.Millisecond

type clock interface {
	Now() timer.Instant
	Every(d time.Duration) *timer.Subscription
}

type manifestSource interface {
	Manifest() *manifester.Manifest
}

type holding interface {
	// Active reports whether this VM may act as the holder of the range at
	// this moment, and in which term.
	Active(r member.Range) (member.Term, bool)
}

// Granter is the controller of the ledger.
type Granter struct {
	holding holding
	source  manifestSource
	clock   clock
	// mu guards ledger; it is held for one decision.
	mu     sync.Mutex
	ledger *Ledger
}

// New returns a granter for the ranges that this VM holds.
func New(h holding, s manifestSource, c clock) *Granter {
	return &Granter{
		holding: h,
		source:  s,
		clock:   c,
		ledger:  NewLedger(),
	}
}

// Name returns the controller's name.
func (g *Granter) Name() string { return "granter" }

// Run notes when ranges become active until ctx ends.
func (g *Granter) Run(ctx context.Context) error {
	g.clock.Every(observePeriod).Each(ctx, func(timer.Instant) { g.observe() })

	return nil
}

func (g *Granter) observe() {
	for r := range member.Range(member.RangeCount) {
		g.mu.Lock()
		if now, term, ok := g.active(r); ok {
			g.ledger.Observe(now, r, term)
		}
		g.mu.Unlock()
	}
}

// active returns an instant at which this VM was the active holder, and the
// term. The clock is read between two checks of the lease: were it read before
// or after a single one, a VM frozen in between would charge tokens at an
// instant at which another VM was active.
func (g *Granter) active(r member.Range) (timer.Instant, member.Term, bool) {
	before, ok := g.holding.Active(r)
	if !ok {
		return 0, before, false
	}
	now := g.clock.Now()
	after, ok := g.holding.Active(r)

	return now, after, ok && before == after
}

// Grant decides one ask.
func (g *Granter) Grant(a Ask) Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, term, ok := g.active(SlotRange(a.team, a.slot))
	if !ok {
		return NewRejection(StateNotHolder)
	}
	g.ledger.Configure(now, g.source.Manifest())

	return g.ledger.Grant(now, term, a)
}
