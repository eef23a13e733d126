package filterer

import (
	"context"

	"github.com/lagoonkeel/lagoonkeel/internal/handler"
	"github.com/lagoonkeel/lagoonkeel/pkg/manifester"
)

// traceStateField carries what other tracers add to a trace context.
const traceStateField = "Tracestate"

type tracer interface {
	// Receive returns a context with the trace context of a request.
	Receive(ctx context.Context, f *handler.Fields) context.Context
	// Send writes the trace context of ctx into a request.
	Send(ctx context.Context, f *handler.Fields)
	// Start starts a span; the returned function ends it.
	Start(ctx context.Context, name string) (context.Context, func(handler.Labels, error))
}

// TraceRequest makes the span of the caller's side.
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

// Handle spans the whole request.
func (t *TraceRequest) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	dropForeignState(x.Request().Fields())
	ctx, end := t.tracer.Start(t.tracer.Receive(ctx, x.Request().Fields()), "request")
	err := next.Serve(ctx, x)
	end(x.Labels(), err)

	return err
}

// dropForeignState removes trace state that holds a key, before a span takes
// it over.
func dropForeignState(f *handler.Fields) {
	if state := f.Get(traceStateField); state != "" && newKeyFinder(manifester.Empty(), f).inHead([]byte(state)) {
		f.Remove(traceStateField)
	}
}

// TraceAttempt makes the span of one upstream try and passes its context on.
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

// Handle spans one upstream try.
func (t *TraceAttempt) Handle(ctx context.Context, x *handler.Exchange, next handler.Handler) error {
	ctx, end := t.tracer.Start(ctx, "attempt")
	t.tracer.Send(ctx, x.Request().Fields())
	err := next.Serve(ctx, x)
	end(x.Labels(), err)

	return err
}
