package filterer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/claimer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/keyer"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

const (
	// IdempotencyField carries the name under which a caller repeats a request
	// that must run at most once.
	IdempotencyField = "Idempotency-Key"
	// RepeatedField marks a kept answer to an earlier request.
	RepeatedField = "Lagoonkeel-Repeated"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 256
	// claimsRetryAfter is the waiting time told while claims are unavailable.
	claimsRetryAfter = time.Second
)

type claims interface {
	// Begin asks for the claim of a request; only a granted one may be sent.
	Begin(ctx context.Context, deadline timer.Instant, team, key, fingerprint string) (claimer.Claim, claimer.Decision)
	// Settle tells once what became of the request of a granted claim.
	Settle(ctx context.Context, c claimer.Claim, notRun bool, answer *handler.Response)
}

// Claim lets a request with an idempotency key run at most once in the fleet.
// Requests without one, and those that may run more than once, pass it by.
type Claim struct {
	claims claims
}

// NewClaim returns the filter.
func NewClaim(c claims) *Claim {
	return &Claim{
		claims: c,
	}
}

// Name returns the filter's name.
func (c *Claim) Name() string { return "claim" }

// Handle makes the claim, and settles it when the request has ended.
func (c *Claim) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	key := x.Request().Fields().Get(IdempotencyField)
	if key == "" || x.Team() == nil || x.Idempotent() {
		return next.Serve(ctx, x)
	}
	if len(key) > maxKeyBytes || x.Request().Fields().Count(IdempotencyField) > 1 {
		return handler.NewRefusal(handler.CodeBadRequest, "send one "+IdempotencyField+" of at most 256 bytes")
	}
	claim, decision := c.claims.Begin(ctx, x.Deadline(), x.Team().Name(), key, keyer.Fingerprint(x.Request()))
	if decision.Verdict() != claimer.VerdictGranted {
		return repeat(x, decision)
	}
	// A claimed request goes on when its caller goes away, so that there is an
	// answer to keep for the repeat.
	err := next.Serve(context.WithoutCancel(ctx), x)
	var r *handler.Refusal
	switch {
	case err == nil:
		c.claims.Settle(ctx, claim, false, x.Response().Clone())
	case errors.As(err, &r) && r.Outcome() == handler.OutcomeNotRun:
		c.claims.Settle(ctx, claim, true, nil)
	default:
		c.claims.Settle(ctx, claim, false, nil)
	}

	return err
}

// repeat answers a request whose claim was not granted.
func repeat(x *handler.Exchange, d claimer.Decision) error {
	switch d.Verdict() {
	case claimer.VerdictAnswered:
		answer := d.Answer().Clone()
		answer.Fields().Set(RepeatedField, "true")
		x.SetResponse(answer)

		return nil
	case claimer.VerdictSent:
		return handler.NewUnknown(handler.CodeAlreadySent, "a request with this "+IdempotencyField+" was sent before; its answer is not at hand")
	case claimer.VerdictMismatch:
		return handler.NewRefusal(handler.CodeClaimMismatch, "the "+IdempotencyField+" belongs to another request; use a new one")
	default:
		return handler.NewRefusal(handler.CodeClaimsUnavailable, "whether the "+IdempotencyField+" was used before cannot be known now").
			WithRetryAfter(claimsRetryAfter)
	}
}
