package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

type upstream interface {
	// Do sends the request to the target of the exchange and returns the result.
	// The outcome of a failed attempt is "not-run" only if no byte of the request
	// can have reached the target, or if the target itself reported that it did
	// not run the request.
	Do(ctx context.Context, x *handler.Exchange) *handler.Attempt
}

// Forward sends the request to the target of the exchange. It is the last filter
// of the chain.
type Forward struct {
	upstream upstream
}

// NewForward returns the filter.
func NewForward(u upstream) *Forward {
	return &Forward{
		upstream: u,
	}
}

// Name returns the filter's name.
func (f *Forward) Name() string { return "forward" }

// Handle sends the request and stores the result of the attempt.
func (f *Forward) Handle(ctx context.Context, x *handler.Exchange, _ handler.Handler) error {
	a := f.upstream.Do(ctx, x)
	x.SetAttempt(a)

	return a.Err()
}
