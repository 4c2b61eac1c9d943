package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/zap"
)

type backend struct {
	status    Status
	withdrawn []string
	drained   bool
}

func (b *backend) Status() Status { return b.status }
func (b *backend) Usage() []Usage { return []Usage{{Name: "taller-quispe", RateShare: 10}} }
func (b *backend) Orders() Orders { return Orders{Instance: "lima-1", Issuer: true} }
func (b *backend) Drain()         { b.drained = true }
func (b *backend) Withdraw(_ context.Context, ids []string) error {
	b.withdrawn = append(b.withdrawn, ids...)
	return nil
}

func call(t *testing.T, h http.Handler, method, path, token, body string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func server(b *backend, token string) http.Handler {
	return NewServer(Options{Addr: "127.0.0.1:0", Token: token, Backend: b, Metrics: http.NotFoundHandler(), Log: zap.NewNop()}).http.Handler
}

// Guards against a withdrawal or drain by someone without the operators' token.
func TestTokenIsRequired(t *testing.T) {
	b := &backend{}
	h := server(b, "secret")
	for _, token := range []string{"", "wrong"} {
		if w := call(t, h, "POST", "/v1/drain", token, ""); w.Code != http.StatusUnauthorized {
			t.Errorf("token %q got %d", token, w.Code)
		}
	}
	if b.drained {
		t.Error("instance was drained without the token")
	}
	if w := call(t, h, "POST", "/v1/drain", "secret", ""); w.Code != http.StatusAccepted || !b.drained {
		t.Errorf("right token got %d", w.Code)
	}
}

func TestWithdrawalChecksItsBody(t *testing.T) {
	b := &backend{}
	h := server(b, "")
	for _, body := range []string{"", "{}", `{"key_ids":"a"}`} {
		if w := call(t, h, "POST", "/v1/withdrawals", "", body); w.Code != http.StatusBadRequest {
			t.Errorf("body %q got %d", body, w.Code)
		}
	}
	if w := call(t, h, "POST", "/v1/withdrawals", "", `{"key_ids":["7-ab"]}`); w.Code != http.StatusAccepted {
		t.Errorf("withdrawal got %d", w.Code)
	}
	if len(b.withdrawn) != 1 || b.withdrawn[0] != "7-ab" {
		t.Errorf("withdrawn keys are %v", b.withdrawn)
	}
}

// Guards against load balancing to an instance without a configuration.
func TestReadinessFollowsTheStatus(t *testing.T) {
	b := &backend{status: Status{Reason: "no configuration yet"}}
	h := server(b, "")
	if w := call(t, h, "GET", "/readyz", "", ""); w.Code != http.StatusServiceUnavailable {
		t.Errorf("not ready gave %d", w.Code)
	}
	b.status.Ready = true
	if w := call(t, h, "GET", "/readyz", "", ""); w.Code != http.StatusOK {
		t.Errorf("ready gave %d", w.Code)
	}
	if w := call(t, h, "GET", "/healthz", "", ""); w.Code != http.StatusOK {
		t.Errorf("health gave %d", w.Code)
	}
}
