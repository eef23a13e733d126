package granter

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// spareShare is the part of a bucket's remaining tokens that one request may take
	// beyond its need.
	spareShare = 0.25
	// layoutSettleTime is longer than a change of the manifest takes to reach every
	// holder. A change of the number of slots gives no slot a higher rate before it
	// has passed, so that the slots whose rate falls apply theirs first.
	layoutSettleTime = 10 * time.Second
)

// slotKey identifies one slot of one team.
type slotKey struct {
	team string
	slot int
}

// termStart is the instant at which a term was first observed to be active.
type termStart struct {
	term member.Term
	at   timer.Instant
}

// slotLayout is the division of a team's rate into slots.
type slotLayout struct {
	// slots is the number of slots in the manifest.
	slots int
	// previous is the largest number of slots that may be in force until settledAt;
	// stable is the number of slots that existed before the change, or before the
	// first of several that have not settled, and still exist.
	previous  int
	stable    int
	settledAt timer.Instant
}

// Allocator holds the token buckets of the slots that this VM grants and decides
// requests for tokens. It does no I/O and belongs to one goroutine at a time.
type Allocator struct {
	manifest *manifester.Manifest
	// starts has the latest term of each range that was observed to be active.
	starts  map[member.Range]termStart
	buckets map[slotKey]*bucket
	// layouts has every team since the process started, also removed ones. A team
	// that is added again must not get a second burst.
	layouts map[string]slotLayout
}

// NewAllocator returns an Allocator without buckets.
func NewAllocator() *Allocator {
	return &Allocator{
		manifest: manifester.Empty(),
		starts:   map[member.Range]termStart{},
		buckets:  map[slotKey]*bucket{},
		layouts:  map[string]slotLayout{},
	}
}

// Configure applies the manifest.
func (a *Allocator) Configure(now timer.Instant, m *manifester.Manifest) {
	if m == a.manifest {
		return
	}
	for _, t := range m.Teams() {
		a.layouts[t.Name()] = a.nextLayout(now, t)
	}
	a.manifest = m
}

func (a *Allocator) nextLayout(now timer.Instant, t *manifester.Team) slotLayout {
	slots := SlotLimitsOf(t).slots
	old, ok := a.layouts[t.Name()]
	if !ok {
		return slotLayout{
			slots:    slots,
			previous: slots,
			stable:   slots,
		}
	}
	if old.slots == slots {
		return old
	}
	next := slotLayout{
		slots:     slots,
		previous:  old.slots,
		stable:    min(old.slots, slots),
		settledAt: now.Add(layoutSettleTime),
	}
	if old.settledAt.After(now) {
		next.previous = max(old.previous, old.slots)
		next.stable = min(old.stable, slots)
	}

	return next
}

// Observe records that this VM was the active holder of the range in the term at the
// instant.
func (a *Allocator) Observe(now timer.Instant, r member.Range, term member.Term) {
	if s, ok := a.starts[r]; ok && s.term == term {
		return
	}
	a.starts[r] = termStart{
		term: term,
		at:   now,
	}
}

// Grant decides a request for tokens at an instant at which this VM was the active
// holder in the term.
func (a *Allocator) Grant(now timer.Instant, term member.Term, r TokenRequest) Reply {
	t, ok := a.manifest.Team(r.team)
	if !ok {
		return NewRejection(StateUnknownSlot)
	}
	l, ok := a.limits(now, t, r.slot)
	if !ok {
		return NewRejection(StateUnknownSlot)
	}

	return a.bucket(now, term, r, l).take(now, r.needed, r.spare)
}

// limits returns the rate limit of a slot, or false where the team has no such slot
// or does not have it yet.
func (a *Allocator) limits(now timer.Instant, t *manifester.Team, slot int) (SlotLimits, bool) {
	l := SlotLimitsOf(t)
	if slot < 0 || slot >= l.slots {
		return SlotLimits{}, false
	}
	y := a.layouts[t.Name()]
	if !y.settledAt.After(now) {
		return l, true
	}

	return limitsWith(t, max(y.previous, y.slots)), slot < y.stable
}

func (a *Allocator) bucket(now timer.Instant, term member.Term, r TokenRequest, l SlotLimits) *bucket {
	k := slotKey{
		team: r.team,
		slot: r.slot,
	}
	b, ok := a.buckets[k]
	if !ok || b.term != term {
		b = newBucket(term, l, a.emptyAt(now, term, k))
		a.buckets[k] = b
	}
	b.reconfigure(now, l)

	return b
}

// emptyAt returns the instant at which the slot's new bucket counts as empty: the
// start of the term, or the later settledAt for a slot that a change added.
func (a *Allocator) emptyAt(now timer.Instant, term member.Term, k slotKey) timer.Instant {
	r := SlotRange(k.team, k.slot)
	a.Observe(now, r, term)
	at := a.starts[r].at
	if y := a.layouts[k.team]; k.slot >= y.stable && y.settledAt.After(at) {
		return y.settledAt
	}

	return at
}
