package filterer

import (
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/hedger"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
)

// AttemptSpec returns the properties of the next attempt by which its target is chosen,
// without the function that cancels the attempt.
func AttemptSpec(x *handler.Exchange) placer.AttemptSpec {
	return placer.AttemptSpec{
		Service:     x.Service().Name(),
		Route:       x.Route().Name(),
		LatencyGoal: x.Route().LatencyGoal(),
		Tried:       x.Tried(),
		Repeatable:  x.Idempotent() && len(x.Tried()) == 0,
	}
}

// HedgeRequest returns the state by which a hedge of the next attempt is decided.
func HedgeRequest(x *handler.Exchange) hedger.Request { return hedgeRequest(x) }

// RetryState returns the state by which a retry is decided after a first attempt with the
// given result.
func RetryState(x *handler.Exchange, a *handler.Attempt) retrier.RetryState {
	possibleRuns := 0
	if a.MayHaveRun() {
		possibleRuns = 1
	}
	s := retryState(x, 1, possibleRuns, a)
	s.Rank = rankOf(x)

	return s
}
