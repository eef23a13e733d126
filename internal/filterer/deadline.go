package filterer

import (
	"context"
	"strconv"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

type clock interface {
	Now() timer.Instant
}

// Deadline sets when the answer must be ready: the route's timeout, or the
// caller's own if that is shorter.
type Deadline struct {
	// field carries, in whole milliseconds, the time that a caller grants its
	// request.
	field string
}

// NewDeadline returns the filter that reads the caller's time from the field.
func NewDeadline(field string) *Deadline {
	return &Deadline{
		field: field,
	}
}

// Name returns the filter's name.
func (d *Deadline) Name() string { return "deadline" }

// Handle sets the deadline.
func (d *Deadline) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	timeout := x.Route().Timeout()
	if text := x.Request().Fields().Get(d.field); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return handler.NewRefusal(handler.CodeBadRequest, d.field+" must be a whole number of milliseconds above 0")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
		x.Request().Fields().Remove(d.field)
	}
	x.SetDeadline(x.Arrived().Add(timeout))

	return next.Serve(ctx, x)
}
