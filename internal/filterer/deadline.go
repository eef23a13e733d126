package filterer

import (
	"context"
	"strconv"
	"time"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/internal/timer"
)

// TimeoutField carries, in whole milliseconds, the time that a caller grants
// its request, and towards an upstream the time that is left.
const TimeoutField = "Lagoonkeel-Timeout-Ms"

type clock interface {
	Now() timer.Instant
}

// Deadline sets when the answer must be ready: the route's timeout, or the
// caller's own if that is shorter.
type Deadline struct{}

// NewDeadline returns the filter.
func NewDeadline() *Deadline {
	return &Deadline{}
}

// Name returns the filter's name.
func (d *Deadline) Name() string { return "deadline" }

// Handle sets the deadline.
func (d *Deadline) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	timeout := x.Route().Timeout()
	if text := x.Request().Fields().Get(TimeoutField); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return handler.NewRefusal(handler.CodeBadRequest, TimeoutField+" must be a whole number of milliseconds above 0")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
		x.Request().Fields().Remove(TimeoutField)
	}
	x.SetDeadline(x.Arrived().Add(timeout))

	return next.Serve(ctx, x)
}
