package granter

import (
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/member"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

const (
	// spareShare is the part of a bucket that one ask may take beyond its need.
	spareShare = 0.25
	// settleTime is longer than a change of the manifest takes to reach every
	// holder. A slot that grows because the number of slots changed waits for
	// it, so that the slots that shrink have done so.
	settleTime = 10 * time.Second
)

// slotKey names one slot.
type slotKey struct {
	team string
	slot int
}

// start is when a term was first seen active.
type start struct {
	term member.Term
	at   timer.Instant
}

// layout is how a team's rate is divided into slots.
type layout struct {
	// slots is the number of slots in the manifest.
	slots int
	// before is the number of slots until the instant settled; fixed is the
	// number of slots that existed all the time.
	before  int
	fixed   int
	settled timer.Instant
}

// Ledger keeps the buckets of the slots that this VM grants. It does no I/O
// and belongs to one goroutine at a time.
type Ledger struct {
	manifest *manifester.Manifest
	// starts has the present term of each range seen active.
	starts  map[member.Range]start
	buckets map[slotKey]*bucket
	// layouts has every team seen since the process started, also removed
	// ones: a team that comes back must not get a second burst.
	layouts map[string]layout
}

// NewLedger returns a ledger without buckets.
func NewLedger() *Ledger {
	return &Ledger{
		manifest: manifester.Empty(),
		starts:   map[member.Range]start{},
		buckets:  map[slotKey]*bucket{},
		layouts:  map[string]layout{},
	}
}

// Configure puts the ledger under the manifest.
func (l *Ledger) Configure(now timer.Instant, m *manifester.Manifest) {
	if m == l.manifest {
		return
	}
	for _, t := range m.Teams() {
		l.layouts[t.Name()] = l.nextLayout(now, t)
	}
	l.manifest = m
}

func (l *Ledger) nextLayout(now timer.Instant, t *manifester.Team) layout {
	slots := PlanOf(t).slots
	old, ok := l.layouts[t.Name()]
	if !ok {
		return layout{
			slots:  slots,
			before: slots,
			fixed:  slots,
		}
	}
	if old.slots == slots {
		return old
	}
	next := layout{
		slots:   slots,
		before:  old.slots,
		fixed:   min(old.slots, slots),
		settled: now.Add(settleTime),
	}
	if old.settled.After(now) {
		next.before = max(old.before, old.slots)
		next.fixed = min(old.fixed, slots)
	}

	return next
}

// Observe notes that this VM was active in the term at the instant.
func (l *Ledger) Observe(now timer.Instant, r member.Range, term member.Term) {
	if s, ok := l.starts[r]; ok && s.term == term {
		return
	}
	l.starts[r] = start{
		term: term,
		at:   now,
	}
}

// Grant decides an ask at an instant at which this VM was active in the term.
func (l *Ledger) Grant(now timer.Instant, term member.Term, a Ask) Reply {
	t, ok := l.manifest.Team(a.team)
	if !ok {
		return NewRejection(StateUnknownSlot)
	}
	p, ok := l.plan(now, t, a.slot)
	if !ok {
		return NewRejection(StateUnknownSlot)
	}

	return l.bucket(now, term, a, p).take(now, a.needed, a.spare)
}

// plan returns the plan of a slot; false where the team has no such slot yet.
func (l *Ledger) plan(now timer.Instant, t *manifester.Team, slot int) (Plan, bool) {
	p := PlanOf(t)
	if slot < 0 || slot >= p.slots {
		return Plan{}, false
	}
	y := l.layouts[t.Name()]
	if !y.settled.After(now) {
		return p, true
	}

	return planWith(t, max(y.before, y.slots)), slot < y.fixed
}

func (l *Ledger) bucket(now timer.Instant, term member.Term, a Ask, p Plan) *bucket {
	k := slotKey{
		team: a.team,
		slot: a.slot,
	}
	b, ok := l.buckets[k]
	if !ok || b.term != term {
		b = newBucket(term, p, l.emptyAt(now, term, k))
		l.buckets[k] = b
	}
	b.change(now, p)

	return b
}

// emptyAt returns an instant at which the slot's bucket counts as empty: the
// start of the term, or when a slot that a change brought about may be used.
func (l *Ledger) emptyAt(now timer.Instant, term member.Term, k slotKey) timer.Instant {
	r := SlotRange(k.team, k.slot)
	l.Observe(now, r, term)
	at := l.starts[r].at
	if y := l.layouts[k.team]; k.slot >= y.fixed && y.settled.After(at) {
		return y.settled
	}

	return at
}
