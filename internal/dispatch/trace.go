package dispatch

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const tracerName = "dogwoodknot.example/dogwoodknot/internal/dispatch"

// startAttempt starts the span of one attempt at an endpoint and returns a function that ends it. Spans contain names and sizes, never
// payloads.
func startAttempt(ctx context.Context, name string, e *endpoint, id string) (context.Context, func(error)) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("dogwoodknot.endpoint", e.config.Name), attribute.String("dogwoodknot.request_id", id)))
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, "attempt failed")
		}
		span.End()
	}
}

// injectTrace adds the span to the headers of a request. Baggage and trace state are left out, since they are the caller's text and could
// contain a key.
func injectTrace(ctx context.Context, h http.Header) {
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(h))
	h.Del("Tracestate")
}
