package filterer

import (
	"context"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/admitter"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// retryAfterDivisor divides the time from a request's arrival to its deadline. The
// result bounds the Retry-After of its refusal, so that the caller has enough time
// left for another request.
const retryAfterDivisor = 3

type rateAdmitter interface {
	// Admit counts one request against the team's rate. It may wait for part of
	// the time left until the deadline.
	Admit(ctx context.Context, deadline timer.Instant, team *manifester.Team) admitter.Verdict
}

// Admit refuses requests over the team's rate and burst.
type Admit struct {
	admitter rateAdmitter
	tracer   tracer
}

// NewAdmit returns the filter.
func NewAdmit(a rateAdmitter, t tracer) *Admit {
	return &Admit{
		admitter: a,
		tracer:   t,
	}
}

// Name returns the filter's name.
func (a *Admit) Name() string { return "admit" }

// Handle counts the request against the team's rate. A request without a team,
// which only an open route accepts, has no rate limit.
func (a *Admit) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	if x.Team() == nil {
		return next.Serve(ctx, x)
	}
	if err := a.admit(ctx, x); err != nil {
		return err
	}

	return next.Serve(ctx, x)
}

// admit counts the request against the team's rate. Its span covers the calls to
// the holders of the rate that the request waits for.
func (a *Admit) admit(ctx context.Context, x *handler.Exchange) error {
	ctx, end := a.tracer.Start(ctx, "admit")
	maxWait := x.Deadline().Sub(x.Arrived()) / retryAfterDivisor
	err := refusalOf(a.admitter.Admit(ctx, x.Deadline(), x.Team()), maxWait)
	end(x.Labels(), err)

	return err
}

// refusalOf returns the refusal for a verdict, or nil if the request is
// admitted. The caller is not told to wait longer than maxWait.
func refusalOf(v admitter.Verdict, maxWait time.Duration) error {
	if v.Admitted() {
		return nil
	}
	wait := min(v.RetryAfter(), maxWait)
	if v.HolderUnreachable() {
		return handler.NewRefusal(handler.CodeRateUnknown, "no holder of the team's rate can be reached").WithRetryAfter(wait)
	}

	return handler.NewRefusal(handler.CodeOverRate, "the team is over its rate").WithRetryAfter(wait).WithBasis(v.Basis())
}
