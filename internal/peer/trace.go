package peer

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// traceparentKey is the name of the W3C header that the call header carries as a field.
const traceparentKey = "traceparent"

// startSpan starts the span of one hop. A call outside of a trace, such as a heartbeat, starts none: it would add
// 57 bytes to each message and a trace of its own each second.
func (t *Transport) startSpan(ctx context.Context, service, peer string, kind trace.SpanKind) (context.Context, trace.Span) {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx, trace.SpanFromContext(ctx)
	}
	return t.options.Tracer.Start(ctx, "peer "+service,
		trace.WithSpanKind(kind),
		trace.WithAttributes(
			attribute.String("rpc.system", "dogwoodknot"),
			attribute.String("rpc.service", service),
			attribute.String("network.peer.name", peer),
		))
}

// endSpan records the outcome and ends the span.
func endSpan(span trace.Span, err error) {
	if err != nil {
		span.RecordError(err)
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

func traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceparentKey]
}

func withTraceparent(ctx context.Context, value string) context.Context {
	if value == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentKey: value})
}
