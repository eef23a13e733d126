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

// Deadline sets the deadline of an exchange from the route's timeout, or from
// the caller's if that is shorter.
type Deadline struct {
	// field names the header field with the caller's timeout in whole
	// milliseconds.
	field string
}

// NewDeadline returns the filter. It reads the caller's timeout from the field.
func NewDeadline(field string) *Deadline {
	return &Deadline{
		field: field,
	}
}

// Name returns the filter's name.
func (d *Deadline) Name() string { return "deadline" }

// Handle sets the deadline and removes the caller's timeout from the request.
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
