package member

import "github.com/lagoonkeel/lagoonkeel/internal/timer"

// Tenure is an immutable statement of the ranges that a VM holds and of how
// long its lease lasts.
type Tenure struct {
	grant *grant
	// until is the end of the lease on the VM's own clock.
	until timer.Instant
}

// grant is what a tenure holds while the lease lasts.
type grant struct {
	epoch       uint64
	incarnation Incarnation
	// holdings has an entry for each range, or none at all.
	holdings []holding
}

// holding is the right to hold one range.
type holding struct {
	held bool
	// term is the epoch in which the right began.
	term uint64
	// from is the instant from which the holder may act.
	from timer.Instant
}

// noTenure holds nothing.
var noTenure = &Tenure{
	grant: &grant{},
}

// Active reports whether the VM may act as the holder of the range at the
// instant, and in which term.
func (t *Tenure) Active(r Range, now timer.Instant) (Term, bool) {
	if !now.Before(t.until) || len(t.grant.holdings) == 0 {
		return Term{}, false
	}
	h := t.grant.holdings[r]
	if !h.held || now.Before(h.from) {
		return Term{}, false
	}

	return NewTerm(h.term, t.grant.incarnation), true
}

// Leased reports whether the lease is valid at the instant.
func (t *Tenure) Leased(now timer.Instant) bool {
	return now.Before(t.until)
}

// Count returns the number of ranges on which the VM may act at the instant.
func (t *Tenure) Count(now timer.Instant) int {
	n := 0
	for r := range t.grant.holdings {
		if _, ok := t.Active(Range(r), now); ok {
			n++
		}
	}

	return n
}
