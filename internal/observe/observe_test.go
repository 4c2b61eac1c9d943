package observe

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"go.opentelemetry.io/otel"
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
