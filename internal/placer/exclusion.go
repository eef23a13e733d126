package placer

import (
	"slices"

	"github.com/lagoonkeel/lagoonkeel/internal/registrar"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// Exclusion is the reason why a target is no candidate for an attempt.
type Exclusion string

// The reasons.
const (
	// ExclusionNone means that the target is a candidate.
	ExclusionNone Exclusion = ""
	// ExclusionGone means that the store does not list the target any more.
	ExclusionGone Exclusion = "gone"
	// ExclusionTried means that the request had an attempt there.
	ExclusionTried Exclusion = "tried"
	// ExclusionPaused means that the target asked this VM for no attempts.
	ExclusionPaused Exclusion = "paused"
	// ExclusionFull means that the target had no capacity lately.
	ExclusionFull Exclusion = "full"
	// ExclusionCold means that the target is cold and this VM may not send a request now.
	ExclusionCold Exclusion = "cold"
)

// exclusion returns why a member of the service is no candidate; the lock must be held.
func (p *Placer) exclusion(now timer.Instant, c AttemptSpec, m *registrar.Member) Exclusion {
	switch {
	case !m.Listed(now):
		return ExclusionGone
	case slices.Contains(c.Tried, m.Target().Name()):
		return ExclusionTried
	case now.Before(p.pausedUntil[m.Key()]):
		return ExclusionPaused
	case now.Before(p.fullUntil[m.Key()]):
		return ExclusionFull
	case p.mustHold(now, c.Service, m):
		return ExclusionCold
	default:
		return ExclusionNone
	}
}
