package forecaster

import (
	"github.com/lagoonkeel/lagoonkeel/internal/filterer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/tallier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// addRetry adds what would follow an attempt that the target shed, or cut off.
func (f *Forecaster) addRetry(now timer.Instant, x *handler.Exchange, out *Forecast) {
	lost := filterer.RetryState(x, handler.NewFailedAttempt(nil, handler.FaultReset,
		handler.NewUnknownOutcome(handler.CodeUpstream, "the target closed the connection")))
	shed := filterer.RetryState(x, handler.NewFailedAttempt(nil, handler.FaultShed,
		handler.NewRefusal(handler.CodeShed, "the target rejected the request")))
	p := f.spec.Limits.Preview(now, tallier.RetryAccount(x.Service().Name()), f.spec.Retries.PreviewReserve(now, lost))
	out.retry = Retry{
		stop:       stopOf(now, lost, p),
		notRunStop: stopOf(now, shed, p),
		budget:     newBudget(p),
	}
	out.verdicts = append(out.verdicts, passed("repeat", ""))
}

// stopOf returns the reason why no retry follows, or handler.StopNone.
func stopOf(now timer.Instant, r retrier.RetryState, p tallier.Preview) handler.StopReason {
	if stop := retrier.PreviewRetry(now, r); stop != handler.StopNone || p.Allows() {
		return stop
	}

	return handler.StopBudget
}

// addHedge adds whether the first attempt would be hedged. The hedge must also be within
// the retry budget, without the reserve that only retries leave.
func (f *Forecaster) addHedge(now timer.Instant, x *handler.Exchange, out *Forecast) {
	if f.spec.Hedges == nil {
		return
	}
	after, may := f.spec.Hedges.Preview(now, filterer.HedgeRequest(x))
	p := f.spec.Limits.Preview(now, tallier.HedgeAccount(x.Service().Name()), tallier.Reserve{})
	retries := f.spec.Limits.Preview(now, tallier.RetryAccount(x.Service().Name()), tallier.Reserve{})
	out.hedge = &Hedge{
		budget: newBudget(p),
	}
	switch {
	case !may:
		out.hedge.reason = "the route, its latencies or the state of the service allow none"
	case !p.Allows():
		out.hedge.reason = "the limit of hedges is used up"
	case !retries.Allows():
		out.hedge.reason = "the retry budget is used up"
	default:
		out.hedge.after = after
	}
	out.verdicts = append(out.verdicts, passed("hedge", ""))
}

// addTargets adds the candidates, and the verdict of the filter that chooses among them.
func (f *Forecaster) addTargets(now timer.Instant, x *handler.Exchange, out *Forecast) {
	out.targets = f.spec.Targets.Preview(now, filterer.AttemptSpec(x))
	out.evacuated = f.spec.Registry.EvacuatedMembers(x.Service().Name())
	if len(out.targets.Options()) == 0 {
		out.verdicts = append(out.verdicts, refused("place",
			handler.NewRefusal(handler.CodeNoTarget, "no target of the service can take the request")))

		return
	}
	out.verdicts = append(out.verdicts, passed("place", ""))
}
