package filterer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

type meter interface {
	// Answered counts a request that got a response.
	Answered(took time.Duration)
	// Refused counts a refused request by its code.
	Refused(code handler.Code, took time.Duration)
	// Routed records the duration of a request on the route.
	Routed(route string, took time.Duration)
}

// Count counts each request by its result and measures how long it took.
type Count struct {
	meter meter
	clock clock
}

// NewCount returns the filter.
func NewCount(m meter, c clock) *Count {
	return &Count{
		meter: m,
		clock: c,
	}
}

// Name returns the filter's name.
func (c *Count) Name() string { return "count" }

// Handle passes the request on and counts its result.
func (c *Count) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	err := next.Serve(ctx, x)
	took := c.clock.Now().Sub(x.Arrived())
	if r := x.Route(); r != nil {
		c.meter.Routed(r.Name(), took)
	}
	if err == nil {
		c.meter.Answered(took)

		return nil
	}
	code := handler.CodeInternal
	var r *handler.Refusal
	if errors.As(err, &r) {
		code = r.Code()
	}
	c.meter.Refused(code, took)

	return err
}
