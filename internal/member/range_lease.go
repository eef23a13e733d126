package member

import "github.com/lagoonkeel/lagoonkeel/internal/timer"

// Lease is an immutable record of the ranges that a VM holds and of the time
// until which it may act for them.
type Lease struct {
	assignment *assignment
	// until is the end of the lease on the VM's own clock.
	until timer.Instant
}

// assignment lists the ranges that a VM holds while its lease is valid.
type assignment struct {
	epoch       uint64
	incarnation Incarnation
	// holdings has an entry for each range, or is empty.
	holdings []holding
}

// holding is the right of a VM to act for one range.
type holding struct {
	held bool
	// termEpoch is the epoch in which the right began.
	termEpoch uint64
	// from is the time from which the holder may act.
	from timer.Instant
}

// noLease is an expired lease without ranges.
var noLease = &Lease{
	assignment: &assignment{},
}

// Active reports whether the VM may act as the holder of the range at now, and
// in which term.
func (l *Lease) Active(r Range, now timer.Instant) (Term, bool) {
	if !now.Before(l.until) || len(l.assignment.holdings) == 0 {
		return Term{}, false
	}
	h := l.assignment.holdings[r]
	if !h.held || now.Before(h.from) {
		return Term{}, false
	}

	return NewTerm(h.termEpoch, l.assignment.incarnation), true
}

// Valid reports whether the lease has not expired at now.
func (l *Lease) Valid(now timer.Instant) bool {
	return now.Before(l.until)
}

// Count returns the number of ranges for which the VM may act at now.
func (l *Lease) Count(now timer.Instant) int {
	n := 0
	for r := range l.assignment.holdings {
		if _, ok := l.Active(Range(r), now); ok {
			n++
		}
	}

	return n
}
