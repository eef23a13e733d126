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
	// Patience returns the longest wait for the next first byte and sets a
	// retry aside, or returns 0.
	Patience(now timer.Instant, service string, attempts int) time.Duration
	// Judge decides about the last of the attempts made so far, and uses or
	// gives back the retry that was set aside.
	Judge(now, deadline timer.Instant, service string, idempotent, reserved bool, attempts int, a *handler.Attempt) retrier.Verdict
	// GiveBack returns the retry that was set aside where no attempt was made.
	GiveBack(service string, reserved bool)
}

// Retry sends a request to another target where the policy says so. A request
// that is not idempotent is sent again only after attempts that did not run it.
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

// Handle makes attempts until one is kept.
func (r *Retry) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	service := x.Service().Name()
	r.policy.Begin(r.clock.Now(), service)
	mayHaveRun := false
	var answer *handler.Response
	var earlier error
	for attempts := 0; ; {
		reserved := r.prepare(x, attempts)
		last := x.Attempt()
		err := next.Serve(ctx, x)
		a := x.Attempt()
		if a == last { // No target was tried.
			r.policy.GiveBack(service, reserved)

			return settle(x, errors.CombineErrors(earlier, err), mayHaveRun, answer)
		}
		attempts++
		if r.policy.Judge(r.clock.Now(), x.Deadline(), service, x.Idempotent(), reserved, attempts, a) == retrier.VerdictKeep {
			return settle(x, err, mayHaveRun, answer)
		}
		mayHaveRun = mayHaveRun || a.MayHaveRun()
		if a.Response() != nil {
			answer = a.Response()
		}
		earlier = err
	}
}

// prepare bounds the wait for the first byte of the next attempt's answer and
// reports whether a retry was set aside for it.
func (r *Retry) prepare(x *handler.Exchange, attempts int) bool {
	x.SetPatience(0)
	if x.Idempotent() {
		x.SetPatience(r.policy.Patience(r.clock.Now(), x.Service().Name(), attempts))
	}

	return x.Patience() > 0
}

// settle returns the result of all attempts together: the answer of an earlier
// one goes before a refusal, and a refusal is "not-run" only if no attempt may
// have run the request.
func settle(x *handler.Exchange, err error, mayHaveRun bool, answer *handler.Response) error {
	if err == nil {
		return nil
	}
	if answer != nil {
		x.SetResponse(answer)

		return nil
	}
	var r *handler.Refusal
	if mayHaveRun && errors.As(err, &r) && r.Outcome() == handler.OutcomeNotRun {
		return handler.NewUnknown(r.Code(), r.Reason()+"; an earlier attempt may have run the request")
	}

	return err
}
