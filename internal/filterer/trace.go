package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// traceStateField is the header field with the vendor-specific part of a trace
// context.
const traceStateField = "Tracestate"

type tracer interface {
	// Extract returns a context with the trace context in a request's fields.
	Extract(ctx context.Context, f *handler.Fields) context.Context
	// Inject writes the trace context of ctx into a request's fields.
	Inject(ctx context.Context, f *handler.Fields)
	// Start starts a span. The returned function ends it.
	Start(ctx context.Context, name string) (context.Context, func(handler.Labels, error))
}

// TraceRequest records a span for each request, as a child of the caller's span
// if the request carries a trace context.
type TraceRequest struct {
	tracer tracer
}

// NewTraceRequest returns the filter.
func NewTraceRequest(t tracer) *TraceRequest {
	return &TraceRequest{
		tracer: t,
	}
}

// Name returns the filter's name.
func (t *TraceRequest) Name() string { return "trace-request" }

// Handle records a span that covers the whole request.
func (t *TraceRequest) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	dropStateWithKey(x.Request().Fields())
	ctx, end := t.tracer.Start(t.tracer.Extract(ctx, x.Request().Fields()), "request")
	err := next.Serve(ctx, x)
	end(x.Labels(), err)

	return err
}

// dropStateWithKey removes trace state that contains a key, before a span adopts
// it.
func dropStateWithKey(f *handler.Fields) {
	if state := f.Get(traceStateField); state != "" && newKeyFinder(manifester.Empty(), f).inHead([]byte(state)) {
		f.Remove(traceStateField)
	}
}

// TraceAttempt records a span for each attempt at a target and propagates the
// span's context to the target.
type TraceAttempt struct {
	tracer tracer
}

// NewTraceAttempt returns the filter.
func NewTraceAttempt(t tracer) *TraceAttempt {
	return &TraceAttempt{
		tracer: t,
	}
}

// Name returns the filter's name.
func (t *TraceAttempt) Name() string { return "trace-attempt" }

// Handle records a span that covers one attempt.
func (t *TraceAttempt) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	ctx, end := t.tracer.Start(ctx, "attempt")
	t.tracer.Inject(ctx, x.Request().Fields())
	err := next.Serve(ctx, x)
	end(x.Labels(), err)

	return err
}
