package filterer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/retrier"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

type retryPolicy interface {
	// Begin counts a caller's request to the service.
	Begin(now timer.Instant, service string)
	// ReserveRetry reserves a retry of the budget and returns the timeout for the
	// first byte of the next attempt's response. It returns 0 and reserves
	// nothing if no retry could follow.
	ReserveRetry(now timer.Instant, service string, attempts int) time.Duration
	// Decide determines whether the last of the attempts made so far is followed by
	// another, and uses or returns the reserved retry.
	Decide(now, deadline timer.Instant, service string, idempotent, reserved bool, attempts int, a *handler.Attempt) retrier.Verdict
	// RefundReserved returns the reserved retry to the budget if no attempt was made.
	RefundReserved(service string, reserved bool)
}

// Retry retries a request on another target if the policy allows it. A request
// that is not idempotent is retried only after attempts that did not run it. Retry
// is the counterpart of Repeat for VMs that run on the log; its retry budget is
// this VM's own.
type Retry struct {
	policy retryPolicy
	clock  clock
}

// NewRetry returns the filter.
func NewRetry(p retryPolicy, c clock) *Retry {
	return &Retry{
		policy: p,
		clock:  c,
	}
}

// Name returns the filter's name.
func (r *Retry) Name() string { return "retry" }

// Handle makes attempts until the policy allows no further one, or until a later
// filter refuses the request before an attempt is made.
func (r *Retry) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	service := x.Service().Name()
	r.policy.Begin(r.clock.Now(), service)
	mayHaveRun := false
	var response *handler.Response
	var earlierErr error
	for attempts := 0; ; {
		reserved := r.reserveRetry(x, attempts)
		previous := x.Attempt()
		err := next.Serve(ctx, x)
		a := x.Attempt()
		if a == previous { // No attempt was made.
			r.policy.RefundReserved(service, reserved)

			return combineAttempts(x, errors.CombineErrors(earlierErr, err), mayHaveRun, response)
		}
		attempts++
		if r.policy.Decide(r.clock.Now(), x.Deadline(), service, x.Idempotent(), reserved, attempts, a) == retrier.VerdictKeep {
			return combineAttempts(x, err, mayHaveRun, response)
		}
		mayHaveRun = mayHaveRun || a.MayHaveRun()
		if a.Response() != nil {
			response = a.Response()
		}
		earlierErr = err
	}
}

// reserveRetry sets the first-byte timeout of the next attempt of an idempotent
// request, and reports whether a retry was reserved for it.
func (r *Retry) reserveRetry(x *handler.Exchange, attempts int) bool {
	x.SetFirstByteTimeout(0)
	if x.Idempotent() {
		x.SetFirstByteTimeout(r.policy.ReserveRetry(r.clock.Now(), x.Service().Name(), attempts))
	}

	return x.FirstByteTimeout() > 0
}

// combineAttempts returns the combined result of all attempts. The response of
// an earlier attempt takes precedence over a refusal, and a refusal has the
// outcome "not-run" only if no attempt may have run the request.
func combineAttempts(x *handler.Exchange, err error, mayHaveRun bool, response *handler.Response) error {
	if err == nil {
		return nil
	}
	if response != nil {
		x.SetResponse(response)

		return nil
	}
	var r *handler.Refusal
	if mayHaveRun && errors.As(err, &r) && r.Outcome() == handler.OutcomeNotRun {
		return handler.NewUnknownOutcome(r.Code(), r.Reason()+"; an earlier attempt may have run the request").WithBasis(r.Basis())
	}

	return err
}
