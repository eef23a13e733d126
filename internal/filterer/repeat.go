package filterer

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

type repeatPolicy interface {
	// Begin counts a caller's request to the service.
	Begin(now timer.Instant, service string)
	// DecideRetry decides whether another attempt follows. If so, it charges the retry
	// budget, unless the last attempt did not reach its target, and returns
	// StopNone. Otherwise it returns the reason why none follows.
	DecideRetry(now timer.Instant, r retrier.RetryState) handler.StopReason
}

// Repeat retries a request on another target if the retry budget of the fleet
// and the route allow it. A request that is not idempotent is retried only after
// attempts that did not run it. Repeat is the counterpart of Retry for VMs that run
// on the platform's store.
type Repeat struct {
	policy repeatPolicy
	spacer spacer
	clock  clock
}

// NewRepeat returns a filter that retries at once.
func NewRepeat(p repeatPolicy, c clock) *Repeat {
	return &Repeat{
		policy: p,
		spacer: &immediate{
			policy: p,
			clock:  c,
		},
		clock: c,
	}
}

// NewSpacedRepeat returns a filter that delays the retries of services under pressure, and
// tells callers whose requests were rejected when to return.
func NewSpacedRepeat(p spacingPolicy, w pauses, c spacingClock) *Repeat {
	return &Repeat{
		policy: p,
		spacer: &spaced{
			policy: p,
			pauses: w,
			clock:  c,
		},
		clock: c,
	}
}

// Name returns the filter's name.
func (r *Repeat) Name() string { return "repeat" }

// Handle makes attempts until the policy allows no further one, or until a later
// filter refuses the request before an attempt is made.
func (r *Repeat) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	r.policy.Begin(r.clock.Now(), x.Service().Name())
	r.spacer.begin(x)
	possibleRuns := 0
	var response *handler.Response
	var earlierErr error
	for {
		previous, known := x.Attempt(), len(x.History())
		err := next.Serve(ctx, x)
		a := x.Attempt()
		possibleRuns += countPossibleRuns(x.History()[known:])
		r.spacer.observe(x, x.History()[known:])
		if a == previous { // No attempt was made.
			return r.spacer.finish(x, combineAttempts(x, errors.CombineErrors(earlierErr, err), possibleRuns > 0, response))
		}
		otherRuns := possibleRuns
		if a.MayHaveRun() {
			otherRuns--
		}
		x.SetStop(r.spacer.decide(ctx, x, retryState(x, len(x.History()), possibleRuns, a)))
		if x.Stop() != handler.StopNone {
			return r.spacer.finish(x, combineAttempts(x, err, otherRuns > 0, response))
		}
		if a.Response() != nil {
			response = a.Response()
		}
		earlierErr = err
	}
}

// retryState returns the state by which a retry is decided after the last of the attempts,
// without the rank of the request.
func retryState(x *handler.Exchange, attempts, possibleRuns int, last *handler.Attempt) retrier.RetryState {
	return retrier.RetryState{
		Service:    x.Service().Name(),
		Deadline:   x.Deadline(),
		Idempotent: x.Idempotent(),
		Attempts:   attempts,
		MayHaveRun: possibleRuns,
		Limit:      x.Route().Attempts(),
		Last:       last,
	}
}

// countPossibleRuns returns the number of attempts that may have run the request. The filter
// Hedge makes up to two at once.
func countPossibleRuns(attempts []handler.AttemptRecord) int {
	n := 0
	for _, r := range attempts {
		if r.Attempt().MayHaveRun() {
			n++
		}
	}

	return n
}
