package filterer

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/estimator"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/placer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// maxNoTargetWait is the maximum Retry-After of a request for which no target is
// left; the minimum is half of it. The time for which all targets are paused is added.
const maxNoTargetWait = time.Second

type targetPlacer interface {
	// Begin chooses a target and starts an attempt. It returns false if no target
	// is left.
	Begin(now timer.Instant, s placer.AttemptSpec) (*placer.Attempt, bool)
	// End ends the attempt. It must be called once for each attempt.
	End(now timer.Instant, a *placer.Attempt, r placer.Result)
	// Wait returns the time until a target of the service may get an attempt again,
	// if all of them are paused; otherwise 0.
	Wait(now timer.Instant, service string) time.Duration
	// Evacuated returns the evacuated data centres that have targets of the service.
	Evacuated(service string) []string
}

// attemptMeter records the duration of attempts by target.
type attemptMeter interface {
	Attempted(target string, took time.Duration)
}

// Place chooses the target of an attempt from those that the platform lists, and
// reports how the attempt ended. It is the counterpart of Pick for VMs that run on
// the platform's store.
type Place struct {
	placer targetPlacer
	meter  attemptMeter
	clock  clock
}

// NewPlace returns the filter.
func NewPlace(p targetPlacer, m attemptMeter, c clock) *Place {
	return &Place{
		placer: p,
		meter:  m,
		clock:  c,
	}
}

// Name returns the filter's name.
func (p *Place) Name() string { return "place" }

// Handle chooses a target, passes the exchange on and reports how the attempt
// ended.
func (p *Place) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	begun := p.clock.Now()
	spec := AttemptSpec(x)
	spec.Abandon = func() { cancel(handler.ErrAbandoned) }
	a, ok := p.placer.Begin(begun, spec)
	if !ok {
		return p.noTarget(begun, x.Service().Name())
	}
	x.SetTarget(a.Member().Target())
	x.SetRiskAndTrial(a.Risk(), a.Trial())
	result := placer.Result{}
	defer func() { // Also after a panic, or the attempt would count as open for good.
		ended := p.clock.Now()
		p.placer.End(ended, a, result)
		p.meter.Attempted(a.Member().Target().Name(), ended.Sub(begun))
	}()
	previous := x.Attempt()
	err := next.Serve(ctx, x)
	if last := x.Attempt(); last != nil && last != previous {
		result = placementResult(last)
		result.Overtaken = last.Fault() == handler.FaultCanceled && errors.Is(context.Cause(ctx), handler.ErrOvertaken)
	}

	return err
}

// noTarget returns the refusal of a request for which no target is left.
func (p *Place) noTarget(now timer.Instant, service string) *handler.Refusal {
	jitter := maxNoTargetWait/2 + rand.N(maxNoTargetWait/2) //nolint:gosec // The jitter spreads callers' retries and needs no cryptographic randomness.
	refusal := handler.NewRefusal(handler.CodeNoTarget, "no target of the service can take the request").
		WithRetryAfter(p.placer.Wait(now, service) + jitter)
	if names := p.placer.Evacuated(service); len(names) > 0 {
		refusal = refusal.WithBasis(handler.EvacuatedBasis + strings.Join(names, ","))
	}

	return refusal
}

// placementResult returns what the result of an attempt implies about its target.
func placementResult(a *handler.Attempt) placer.Result {
	r := placer.Result{
		Leaving: a.Leaving(),
		Pause:   a.RetryAfter(),
		Shed:    a.Fault() == handler.FaultShed,
	}
	switch a.Fault() {
	case handler.FaultNone:
		r.Outcome = estimator.OutcomeServed
		if failedStatus(a.Status()) {
			r.Outcome = estimator.OutcomeFailed
		}
	case handler.FaultConnect:
		r.Outcome = estimator.OutcomeUnreachable
	case handler.FaultShed, handler.FaultDraining:
		r.Full = true
	case handler.FaultMisdirected:
		r.Outcome = estimator.OutcomeGone
	case handler.FaultSlow:
		r.Outcome = estimator.OutcomeSilent
	case handler.FaultReset, handler.FaultTruncated, handler.FaultMalformed:
		r.Outcome = estimator.OutcomeBroken
	case handler.FaultConnectionLimit, handler.FaultStale, handler.FaultCanceled, handler.FaultNoMemory:
	}

	return r
}
