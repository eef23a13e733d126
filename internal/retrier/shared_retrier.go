package retrier

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// maxTotalAttempts bounds the attempts of one request, including those that
	// did not run.
	maxTotalAttempts = 4
	// minSharedTimeLeft is the time to the deadline below which SharedRetrier allows no
	// retry.
	minSharedTimeLeft = 50 * time.Millisecond
)

// fleetBudget is the retry budget of the whole fleet.
type fleetBudget interface {
	// AddRequest counts a caller's request.
	AddRequest(now timer.Instant, a tallier.Account)
	// Use withdraws one retry if the budget allows it.
	Use(now timer.Instant, a tallier.Account) tallier.Verdict
}

// RetryState is a finished attempt with the state of its request.
type RetryState struct {
	Service  string
	Deadline timer.Instant
	// Idempotent requests may run more than once.
	Idempotent bool
	// Attempts counts all attempts at the request, and MayHaveRun those that
	// may have run it.
	Attempts   int
	MayHaveRun int
	// Limit is the route's bound on MayHaveRun; 0 where only maxAttempts applies.
	Limit int
	Last  *handler.Attempt
	// Rank is that of the request; only SpacedRetrier uses it.
	Rank ranker.Rank
}

// SharedRetrier decides about retries with a budget that all VMs share. It is safe for
// concurrent use.
type SharedRetrier struct {
	budget fleetBudget
	// allowed and refused count the retries that were requested from the budget.
	allowed metrics.Counter
	refused metrics.Counter
}

// NewSharedRetrier returns a retrier that uses the budget.
func NewSharedRetrier(b fleetBudget) *SharedRetrier {
	return &SharedRetrier{
		budget:  b,
		allowed: metrics.NewCounter(),
		refused: metrics.NewCounter(),
	}
}

// Each calls f with the name and the value of each counter.
func (s *SharedRetrier) Each(f func(name string, c metrics.Counter)) {
	f("retries.allowed", s.allowed)
	f("retries.refused", s.refused)
}

// Begin counts a caller's request to the service.
func (s *SharedRetrier) Begin(now timer.Instant, service string) {
	s.budget.AddRequest(now, tallier.RetryAccount(service))
}

// DecideRetry decides whether a retry follows the attempt, and charges it to the
// budget, unless the attempt did not reach its target. It returns handler.StopNone
// for a retry, and otherwise the reason why none follows.
func (s *SharedRetrier) DecideRetry(now timer.Instant, r RetryState) handler.StopReason {
	if stop := judge(now, r); stop != handler.StopNone || neverReached(r.Last) {
		return stop
	}
	if !s.budget.Use(now, tallier.RetryAccount(r.Service)).Granted() {
		s.refused.Inc(1)

		return handler.StopBudget
	}
	s.allowed.Inc(1)

	return handler.StopNone
}

// judge returns the reason why no retry follows the attempt, or handler.StopNone if the
// budget decides.
func judge(now timer.Instant, r RetryState) handler.StopReason {
	switch {
	case !retryable(true, r.Last):
		return handler.StopFinal
	case !retryable(r.Idempotent, r.Last):
		return handler.StopMayHaveRun
	case Exhausted(r.Attempts, r.MayHaveRun, r.Limit):
		return handler.StopAttempts
	case r.Deadline.Sub(now) < minSharedTimeLeft:
		return handler.StopTime
	default:
		return handler.StopNone
	}
}
