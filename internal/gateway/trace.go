package gateway

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

const tracerName = "dogwoodknot.example/dogwoodknot/internal/gateway"

// startRequest starts the trace span of a caller's request. Of the caller's trace headers only traceparent is read; baggage and trace
// state are ignored, since they hold free text.
func startRequest(r *http.Request, id string) (context.Context, trace.Span) {
	parent := propagation.MapCarrier{"traceparent": r.Header.Get("Traceparent")}
	ctx := propagation.TraceContext{}.Extract(r.Context(), parent)
	return otel.Tracer(tracerName).Start(ctx, "gateway.request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		attribute.String("http.request.method", r.Method), attribute.String("dogwoodknot.request_id", id)))
}
