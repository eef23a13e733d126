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
	s := retrier.RetryState{
		Service:    x.Service().Name(),
		Deadline:   x.Deadline(),
		Idempotent: x.Idempotent(),
		Attempts:   1,
		Limit:      x.Route().Attempts(),
		Last:       a,
		Rank:       rankOf(x),
	}
	if a.MayHaveRun() {
		s.MayHaveRun = 1
	}

	return s
}
