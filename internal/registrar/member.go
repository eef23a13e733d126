package registrar

import (
	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// Member is a target that may get requests.
type Member struct {
	entry *Entry
	// key identifies this start of the target.
	key estimator.Key
	// warmUpEnd is the instant at which the target ends its warm-up.
	warmUpEnd timer.Instant
	// returnEnd is the instant from which on the target does not count as returned; 0 where
	// its data centre was not evacuated lately.
	returnEnd timer.Instant
	// listedUntil is the instant from which on the target does not count as listed; 0
	// while the store lists it.
	listedUntil timer.Instant
}

// Target returns the target.
func (m *Member) Target() *manifester.Target { return m.entry.target }

// Key returns the key that identifies this start of the target.
func (m *Member) Key() estimator.Key { return m.key }

// WarmingUp reports whether the target is still warming up at the instant.
func (m *Member) WarmingUp(now timer.Instant) bool { return now.Before(m.warmUpEnd) }

// Returned reports whether the evacuation of the target's data centre ended so shortly
// before the instant that the target may be cold although its entry does not say so.
func (m *Member) Returned(now timer.Instant) bool { return now.Before(m.returnEnd) }

// Listed reports whether the target counts as listed at the instant.
func (m *Member) Listed(now timer.Instant) bool {
	return m.listedUntil == 0 || now.Before(m.listedUntil)
}
