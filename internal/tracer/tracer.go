// Package tracer records spans with OpenTelemetry and propagates W3C trace context. It
// attaches no key, digest or body to a span.
package tracer

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/lagoonkeel/lagoonkeel/internal/configurer"
	"github.com/lagoonkeel/lagoonkeel/internal/handler"
)

// filePermissions are the permissions of a new span file.
const filePermissions = 0o600

// Tracer starts spans. It is safe for concurrent use.
type Tracer struct {
	// enabled is false if no exporter is set. Then no spans are recorded, and the trace
	// context of callers is forwarded unchanged.
	enabled    bool
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
	// stop flushes and shuts down the exporter.
	stop func(context.Context) error
	// file is the span file of the JSON lines exporter; nil with other exporters.
	file io.Closer
}

// Off returns a tracer that records no spans.
func Off() *Tracer {
	return &Tracer{
		tracer:     noop.NewTracerProvider().Tracer(""),
		propagator: propagation.TraceContext{},
		stop:       func(context.Context) error { return nil },
	}
}

// New returns a tracer with the exporter of the settings, for the VM with the id. It
// fails if the exporter cannot be started or its file cannot be opened.
func New(ctx context.Context, s configurer.Tracing, vm string) (*Tracer, error) {
	if s.Exporter() == configurer.ExporterOff || s.Exporter() == "" {
		return Off(), nil
	}
	exporter, file, err := newExporter(ctx, s)
	if err != nil {
		return nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Sample()))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "lagoonkeel"),
			attribute.String("service.instance.id", vm),
		)),
	)

	return &Tracer{
		enabled:    true,
		tracer:     provider.Tracer("lagoonkeel"),
		propagator: propagation.TraceContext{},
		stop:       provider.Shutdown,
		file:       file,
	}, nil
}

func newExporter(ctx context.Context, s configurer.Tracing) (sdktrace.SpanExporter, io.Closer, error) {
	if s.Exporter() == configurer.ExporterOTLP {
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Endpoint()))

		return e, nil, errors.Wrap(err, "starting the OTLP exporter")
	}
	f, err := os.OpenFile(s.Endpoint(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePermissions)
	if err != nil {
		return nil, nil, errors.Wrap(err, "opening the span file; check traces.endpoint")
	}
	e, err := stdouttrace.New(stdouttrace.WithWriter(f))

	return e, f, errors.Wrap(err, "starting the JSON lines exporter")
}

// Close exports the remaining spans and shuts down the exporter.
func (t *Tracer) Close(ctx context.Context) error {
	err := t.stop(ctx)
	if t.file != nil {
		err = errors.CombineErrors(err, t.file.Close())
	}

	return errors.Wrap(err, "shutting down the tracer")
}

// Extract returns ctx with the trace context in the header fields of a received
// request.
func (t *Tracer) Extract(ctx context.Context, f *handler.Fields) context.Context {
	if !t.enabled {
		return ctx
	}

	return t.propagator.Extract(ctx, carrier{fields: f})
}

// Inject writes the trace context of ctx into the header fields of a request to be sent.
func (t *Tracer) Inject(ctx context.Context, f *handler.Fields) {
	if t.enabled {
		t.propagator.Inject(ctx, carrier{fields: f})
	}
}

// Start starts a span with the name and returns ctx with it. The returned function ends
// the span with the labels as attributes, and with an error status unless err is nil.
func (t *Tracer) Start(ctx context.Context, name string) (context.Context, func(labels handler.Labels, err error)) {
	if !t.enabled {
		return ctx, endNoSpan
	}
	ctx, span := t.tracer.Start(ctx, name)

	return ctx, func(labels handler.Labels, err error) {
		labels.Each(func(name, value string) {
			span.SetAttributes(attribute.String(name, value))
		})
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}
}

func endNoSpan(handler.Labels, error) {}

// carrier reads and writes trace context in header fields; it implements
// propagation.TextMapCarrier.
type carrier struct {
	fields *handler.Fields
}

// Get implements propagation.TextMapCarrier.
func (c carrier) Get(name string) string { return c.fields.Get(name) }

// Set implements propagation.TextMapCarrier.
func (c carrier) Set(name, value string) { c.fields.Set(name, value) }

// Keys implements propagation.TextMapCarrier.
func (c carrier) Keys() []string {
	names := make([]string, 0, len(c.fields.All()))
	for _, f := range c.fields.All() {
		names = append(names, f.Name())
	}

	return names
}
