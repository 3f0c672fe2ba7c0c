// Package tracer creates a trace span for each hop of a request.
package tracer

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const traceparent = "traceparent"

// Tracer starts spans. Without an endpoint it only propagates trace context.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdk.TracerProvider
}

// NewTracer returns a tracer that exports to an OTLP over HTTP endpoint; with an
// empty endpoint it exports nothing. Share, between 0 and 1, is the sampling ratio of
// requests without a trace context.
func NewTracer(ctx context.Context, endpoint string, share float64, node string) (*Tracer, error) {
	if endpoint == "" {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer("papayapass")}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, errors.Wrap(err, "open trace exporter")
	}
	return newTracer(sdk.WithBatcher(exporter), share, node), nil
}

// NewTestTracer returns a tracer that samples all requests and exports synchronously.
func NewTestTracer(exporter sdk.SpanExporter) *Tracer {
	return newTracer(sdk.WithSyncer(exporter), 1, "test")
}

func newTracer(sink sdk.TracerProviderOption, share float64, node string) *Tracer {
	provider := sdk.NewTracerProvider(
		sink,
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(share))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "papayapass"),
			attribute.String("service.instance.id", node),
		)),
	)
	return &Tracer{tracer: provider.Tracer("papayapass"), provider: provider}
}

// Enabled reports whether spans are created.
func (t *Tracer) Enabled() bool { return t.provider != nil }

// Start starts the span of a hop. Parent is a W3C traceparent or empty. The returned
// string is the traceparent for the next hop.
func (t *Tracer) Start(ctx context.Context, name, parent string, kind trace.SpanKind) (context.Context, trace.Span, string) {
	if t.provider == nil {
		return ctx, trace.SpanFromContext(ctx), parent
	}
	carrier := propagation.MapCarrier{}
	if parent != "" {
		carrier[traceparent] = parent
		ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	}
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(kind))
	propagation.TraceContext{}.Inject(ctx, carrier)
	return ctx, span, carrier[traceparent]
}

// Stop exports the remaining spans.
func (t *Tracer) Stop(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}
