package observe

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// Guards against metrics that are counted but never reach the operators' page.
func TestMetricsReachTheTextPage(t *testing.T) {
	m, err := NewMetrics("dogwoodknot", map[string]string{"region": "ro-nord"})
	if err != nil {
		t.Fatal(err)
	}
	m.Tagged(map[string]string{"code": "200"}).Counter("requests").Inc(3)
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	m.Handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	if want := `dogwoodknot_requests{code="200",region="ro-nord"} 3`; !strings.Contains(w.Body.String(), want) {
		t.Errorf("page lacks %s:\n%s", want, w.Body.String())
	}
}

// Guards against spans that are lost when a process stops.
func TestStdoutTraceIsFlushed(t *testing.T) {
	var out bytes.Buffer
	stop, err := NewTracing(context.Background(), TraceOptions{Exporter: TraceStdout, Ratio: 1, Instance: "lima-1", Region: "lima", Writer: &out})
	if err != nil {
		t.Fatal(err)
	}
	_, span := otel.Tracer("test").Start(context.Background(), "hop")
	span.End()
	if err := stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out.String(), `"Name":"hop"`) {
		t.Errorf("span is missing: %s", out.String())
	}
}

func TestUnknownSettingsAreRefused(t *testing.T) {
	if _, err := NewLogger("xml", "info"); err == nil {
		t.Error("log format xml was accepted")
	}
	if _, err := NewLogger(FormatJSON, "loud"); err == nil {
		t.Error("log level loud was accepted")
	}
	if _, err := NewTracing(context.Background(), TraceOptions{Exporter: "file"}); err == nil {
		t.Error("trace exporter file was accepted")
	}
}

// Guards against stack traces of several kilobytes beside each logged error.
func TestErrorsAreLoggedByTheirMessage(t *testing.T) {
	inner, logs := observer.New(zap.InfoLevel)
	log := zap.New(plainErrors{inner}).With(zap.Error(errors.New("first")))
	log.Info("message", zap.NamedError("cause", errors.Wrap(errors.New("second"), "outer")), zap.Int("n", 3))
	log.Debug("left out")
	if logs.Len() != 1 {
		t.Fatalf("%d entries", logs.Len())
	}
	fields := logs.All()[0].ContextMap()
	if fields["error"] != "first" || fields["cause"] != "outer: second" || fields["n"] != int64(3) || len(fields) != 3 {
		t.Errorf("fields are %v", fields)
	}
}
