package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

type upstream interface {
	// Do sends the request to the target and returns the whole answer. The
	// error is a *handler.Refusal with a true outcome.
	Do(ctx context.Context, target *manifester.Target, request *handler.Request, deadline timer.Instant) (*handler.Response, error)
}

// Forward sends the request to the picked target. It is the last filter.
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

// Handle sends the request.
func (f *Forward) Handle(ctx context.Context, x *handler.Exchange, _ handler.Handler) error {
	response, err := f.upstream.Do(ctx, x.Target(), x.Request(), x.Deadline())
	if err != nil {
		return err
	}
	x.SetResponse(response)

	return nil
}
