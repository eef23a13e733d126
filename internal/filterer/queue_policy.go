package filterer

import (
	"math/rand/v2"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
)

// ByClass ranks requests by the class of their service.
type ByClass struct{}

// Rank returns the rank of the class.
func (ByClass) Rank(x *handler.Exchange) ranker.Rank { return ranker.OfClass(x.Service().Class()) }

// RetryAfter returns the expected wait.
func (ByClass) RetryAfter(_ *handler.Exchange, wait time.Duration) time.Duration { return wait }

const (
	// minOverloadWait is the minimum of the wait that the Retry-After of a refused
	// request is derived from.
	minOverloadWait = 100 * time.Millisecond
	// minSpread is the fraction of that wait from which on callers return, so that they
	// do not return together.
	minSpread = 0.5
)

// ByPriority ranks requests by the priority of their team, then by that of their route.
type ByPriority struct {
	clock clock
}

// NewByPriority returns the policy.
func NewByPriority(c clock) *ByPriority {
	return &ByPriority{
		clock: c,
	}
}

// Rank returns the rank of the request. Where it has no team, the priority of the route
// takes the place of the team's, so that its order among the requests of teams follows the
// route; retries rank such requests last, see rankOf.
func (*ByPriority) Rank(x *handler.Exchange) ranker.Rank {
	route := x.Route().Priority()
	if x.Team() == nil {
		return ranker.New(route, route)
	}

	return ranker.New(x.Team().Priority(), route)
}

// RetryAfter returns a random part, at least minSpread, of the expected wait. Callers do
// not wait for longer than a third of the time that they have left.
func (p *ByPriority) RetryAfter(x *handler.Exchange, wait time.Duration) time.Duration {
	left := max(0, x.Deadline().Sub(p.clock.Now()))
	longest := min(max(wait, minOverloadWait), left/retryAfterDivisor)
	part := minSpread + (1-minSpread)*rand.Float64() //nolint:gosec // The jitter spreads callers' retries and needs no cryptographic randomness.

	return time.Duration(part * float64(longest))
}
