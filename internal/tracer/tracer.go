// Package tracer makes spans with OpenTelemetry and carries W3C trace context.
// It attaches no key, digest or body to a span.
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

// filePermissions are those of a file of spans.
const filePermissions = 0o600

// Tracer starts spans. It is safe for concurrent use.
type Tracer struct {
	// on is false where no exporter is set: no span is made then, but trace
	// context of callers is still carried on.
	on         bool
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
	// stop flushes the exporter.
	stop func(context.Context) error
	// file is open for the exporter of JSON lines; nil otherwise.
	file io.Closer
}

// Off returns a tracer without an exporter.
func Off() *Tracer {
	return &Tracer{
		tracer:     noop.NewTracerProvider().Tracer(""),
		propagator: propagation.TraceContext{},
		stop:       func(context.Context) error { return nil },
	}
}

// New returns a tracer for the settings of the VM with the id.
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
		on:         true,
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
		return nil, nil, errors.Wrap(err, "opening the file of spans; check traces.endpoint")
	}
	e, err := stdouttrace.New(stdouttrace.WithWriter(f))

	return e, f, errors.Wrap(err, "starting the exporter of JSON lines")
}

// Close sends what is left and ends the exporter.
func (t *Tracer) Close(ctx context.Context) error {
	err := t.stop(ctx)
	if t.file != nil {
		err = errors.CombineErrors(err, t.file.Close())
	}

	return errors.Wrap(err, "ending traces")
}

// Receive returns a context with the trace context that came with a request.
func (t *Tracer) Receive(ctx context.Context, f *handler.Fields) context.Context {
	if !t.on {
		return ctx
	}

	return t.propagator.Extract(ctx, carrier{fields: f})
}

// Send writes the trace context of ctx into a request.
func (t *Tracer) Send(ctx context.Context, f *handler.Fields) {
	if t.on {
		t.propagator.Inject(ctx, carrier{fields: f})
	}
}

// Start starts a span of the name. The returned function ends it with what the
// hop led to.
func (t *Tracer) Start(ctx context.Context, name string) (context.Context, func(labels handler.Labels, err error)) {
	if !t.on {
		return ctx, endNothing
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

func endNothing(handler.Labels, error) {}

// carrier reads and writes trace context in header fields.
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
