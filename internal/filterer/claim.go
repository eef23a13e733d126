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
	// IdempotencyField is the header field with the idempotency key that a caller
	// sends again with each repetition of a request that must run at most once.
	IdempotencyField = "Idempotency-Key"
	// RepeatedField is the header field that marks the stored response to an
	// earlier request.
	RepeatedField = "Lagoonkeel-Repeated"
	// maxIdempotencyKeyBytes limits the length of an idempotency key.
	maxIdempotencyKeyBytes = 256
	// claimsRetryAfter is the Retry-After sent while claims are unavailable.
	claimsRetryAfter = time.Second
)

type claims interface {
	// Begin asks for the claim of a request. The request may be sent only if the
	// claim is granted.
	Begin(ctx context.Context, deadline timer.Instant, team, key, fingerprint string) (claimer.Claim, claimer.Decision)
	// Settle reports the result of the request of a granted claim. It must be
	// called once. The response is nil if there is none to store.
	Settle(ctx context.Context, c claimer.Claim, notRun bool, response *handler.Response)
}

// Claim ensures that a request with an idempotency key runs at most once in the
// fleet. Requests without an idempotency key or a team, and requests on idempotent
// routes, pass unchanged.
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

// Handle makes a claim before the request is sent and settles it afterwards.
func (c *Claim) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	key := x.Request().Fields().Get(IdempotencyField)
	if key == "" || x.Team() == nil || x.Idempotent() {
		return next.Serve(ctx, x)
	}
	if len(key) > maxIdempotencyKeyBytes || x.Request().Fields().Count(IdempotencyField) > 1 {
		return handler.NewRefusal(handler.CodeBadRequest, "send one "+IdempotencyField+" of at most 256 bytes")
	}
	claim, decision := c.claims.Begin(ctx, x.Deadline(), x.Team().Name(), key, keyer.Fingerprint(x.Request()))
	if decision.Verdict() != claimer.VerdictGranted {
		return respondUngranted(x, decision)
	}
	// A claimed request continues when its caller disconnects, so that there is a
	// response to store for a repetition of the request.
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

// respondUngranted sets the stored response as the response to a request whose
// claim was not granted, or returns a *Refusal if there is none.
func respondUngranted(x *handler.Exchange, d claimer.Decision) error {
	switch d.Verdict() {
	case claimer.VerdictAnswered:
		response := d.Answer().Clone()
		response.Fields().Set(RepeatedField, "true")
		x.SetResponse(response)

		return nil
	case claimer.VerdictSent:
		return handler.NewUnknownOutcome(handler.CodeAlreadySent, "a request with this "+IdempotencyField+" was sent before; its answer is not at hand")
	case claimer.VerdictMismatch:
		return handler.NewRefusal(handler.CodeClaimMismatch, "the "+IdempotencyField+" belongs to another request; use a new one")
	default:
		return handler.NewRefusal(handler.CodeClaimsUnavailable, "whether the "+IdempotencyField+" was used before cannot be known now").
			WithRetryAfter(claimsRetryAfter)
	}
}
