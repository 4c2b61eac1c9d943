package observe

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// Trace exporters.
const (
	TraceNone   = "none"
	TraceOTLP   = "otlp" // address from the OTEL_EXPORTER_OTLP_* environment
	TraceStdout = "stdout"
)

// TraceOptions say where spans go.
type TraceOptions struct {
	Exporter string // TraceNone, TraceOTLP or TraceStdout
	Ratio    float64
	Instance string
	Region   string
	Writer   io.Writer // of TraceStdout
}

// NewTracing installs the global tracer provider and the W3C propagator. The returned function flushes and ends it.
func NewTracing(ctx context.Context, o TraceOptions) (stop func(context.Context) error, err error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, err := newExporter(ctx, o)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "dogwoodknot"),
			attribute.String("service.instance.id", o.Instance),
			attribute.String("cloud.region", o.Region),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, o TraceOptions) (sdktrace.SpanExporter, error) {
	switch o.Exporter {
	case TraceNone, "":
		return nil, nil
	case TraceOTLP:
		return otlptracehttp.New(ctx)
	case TraceStdout:
		return stdouttrace.New(stdouttrace.WithWriter(o.Writer))
	default:
		return nil, errors.Newf("trace exporter %q is not one of none, otlp, stdout", o.Exporter)
	}
}
