package filterer

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/logger"
	"github.com/lagoonkeel/lagoonkeel/internal/ranker"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// spacer decides about retries, and may delay them.
type spacer interface {
	// begin notes a request before its first attempt.
	begin(x *handler.Exchange)
	// observe notes attempts at the request that have ended.
	observe(x *handler.Exchange, attempts []handler.AttemptRecord)
	// decide decides whether a retry follows the last attempt, and returns once it is
	// due, or once the caller leaves.
	decide(ctx context.Context, x *handler.Exchange, s retrier.RetryState) handler.StopReason
	// finish returns the result of the request, which is an error if it is refused.
	finish(x *handler.Exchange, err error) error
}

// immediate makes every retry at once.
type immediate struct {
	policy repeatPolicy
	clock  clock
}

func (*immediate) begin(*handler.Exchange) {}

func (*immediate) observe(*handler.Exchange, []handler.AttemptRecord) {}

func (m *immediate) decide(_ context.Context, _ *handler.Exchange, s retrier.RetryState) handler.StopReason {
	return m.policy.DecideRetry(m.clock.Now(), s)
}

func (*immediate) finish(_ *handler.Exchange, err error) error { return err }

type spacingPolicy interface {
	repeatPolicy

	// NoteRank notes the rank of a request to the service.
	NoteRank(now timer.Instant, service string, r ranker.Rank)
	// ObserveAttempt counts an attempt at the service.
	ObserveAttempt(now timer.Instant, service string, a *handler.Attempt)
	// PlanRetry decides whether a retry may follow and how long it waits. It charges
	// nothing; DecideRetry does so once the retry is due.
	PlanRetry(now timer.Instant, s retrier.RetryState) retrier.Plan
	// UnderPressure reports whether targets reject many attempts at the service.
	UnderPressure(now timer.Instant, service string) bool
	// RetryAfter returns the time after which the caller of a refused request may
	// return, where all targets are paused for the given time or 0. LimitRetryAfter
	// bounds such a time. Both leave the caller a part of the time left.
	RetryAfter(now, deadline timer.Instant, pause time.Duration) time.Duration
	LimitRetryAfter(now, deadline timer.Instant, d time.Duration) time.Duration
}

type pauses interface {
	// Wait returns the time until a target of the service may get an attempt again,
	// if all of them are paused; otherwise 0.
	Wait(now timer.Instant, service string) time.Duration
}

type spacingClock interface {
	clock

	After(d time.Duration) *timer.Subscription
}

// spaced delays the retries of services under pressure.
type spaced struct {
	policy spacingPolicy
	pauses pauses
	clock  spacingClock
}

func (s *spaced) begin(x *handler.Exchange) {
	s.policy.NoteRank(s.clock.Now(), x.Service().Name(), rankOf(x))
}

func (s *spaced) observe(x *handler.Exchange, attempts []handler.AttemptRecord) {
	now := s.clock.Now()
	for _, r := range attempts {
		s.policy.ObserveAttempt(now, x.Service().Name(), r.Attempt())
	}
}

func (s *spaced) decide(ctx context.Context, x *handler.Exchange, state retrier.RetryState) handler.StopReason {
	state.Rank = rankOf(x)
	p := s.policy.PlanRetry(s.clock.Now(), state)
	if p.Basis() != "" {
		x.SetRetryBasis(p.Basis())
	}
	if p.Stop() != handler.StopNone {
		return p.Stop()
	}
	if p.Delay() > 0 && !s.wait(ctx, x, p.Delay()) {
		return handler.StopLeft
	}

	return s.policy.DecideRetry(s.clock.Now(), state)
}

// wait waits for the time, and reports whether the caller is still there.
func (s *spaced) wait(ctx context.Context, x *handler.Exchange, d time.Duration) bool {
	begun := s.clock.Now()
	defer func() { x.AddRetryDelay(s.clock.Now().Sub(begun)) }()

	return s.clock.After(d).Await(ctx) && ctx.Err() == nil
}

// finish adds a Retry-After to the refusal of a request that was rejected or got no retry
// of the budget, and that cannot have run.
func (s *spaced) finish(x *handler.Exchange, err error) error {
	var r *handler.Refusal
	if !errors.As(err, &r) || r.Outcome() != handler.OutcomeNotRun {
		return err
	}
	now := s.clock.Now()
	switch {
	case s.returnsSoon(now, x, r):
		return r.WithRetryAfter(s.policy.RetryAfter(now, x.Deadline(), s.pauses.Wait(now, x.Service().Name())))
	case r.RetryAfter() > 0:
		return r.WithRetryAfter(s.policy.LimitRetryAfter(now, x.Deadline(), r.RetryAfter()))
	default:
		return err
	}
}

// returnsSoon reports whether the request was refused after rejections, because targets
// have just rejected others, or for lack of retry budget.
func (s *spaced) returnsSoon(now timer.Instant, x *handler.Exchange, r *handler.Refusal) bool {
	if x.Stop() == handler.StopBudget || x.Stop() == handler.StopReserved {
		return true
	}
	if r.Code() == handler.CodeNoTarget && s.policy.UnderPressure(now, x.Service().Name()) {
		return true
	}

	return slices.ContainsFunc(x.History(), func(a handler.AttemptRecord) bool {
		return a.Attempt().Fault() == handler.FaultShed
	})
}

// rankOf returns the rank of the request among those that want a retry; requests without a
// team come last. ByPriority.Rank orders these otherwise.
func rankOf(x *handler.Exchange) ranker.Rank {
	if x.Team() == nil {
		return ranker.WithoutTeam(x.Route().Priority())
	}

	return ranker.New(x.Team().Priority(), x.Route().Priority())
}

// spacingAttributes returns the log attributes of delayed and refused retries of a service
// under pressure.
func spacingAttributes(x *handler.Exchange) []logger.Attribute {
	if x.RetryBasis() == "" {
		return nil
	}

	return []logger.Attribute{logger.Millis("retryDelay", x.RetryDelay()), logger.Text("retryBasis", x.RetryBasis())}
}
