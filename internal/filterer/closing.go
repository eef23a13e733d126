package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// closer tells how far a planned stop has come.
type closer interface {
	// Closed reports whether no further request is to begin.
	Closed() bool
}

// Closing refuses requests that have arrived whole only after the time for which a
// stopping VM serves. They have not run, and might be cut off if they did.
type Closing struct {
	closer closer
}

// NewClosing returns the filter.
func NewClosing(c closer) *Closing {
	return &Closing{
		closer: c,
	}
}

// Name returns the filter's name.
func (c *Closing) Name() string { return "closing" }

// Handle refuses the request if the VM begins no further one.
func (c *Closing) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	if c.closer.Closed() {
		return handler.NewRefusal(handler.CodeStopping, "this VM is stopping; use another VM")
	}

	return next.Serve(ctx, x)
}
