package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/config"
)

// Guards against bodies that make the parser panic or lead to a charge out of bounds, and against encoded bodies in which a member
// has changed that the gateway does not set.
func FuzzModelRequest(f *testing.F) {
	for _, seed := range []string{chat(true, ""), chat(false, `,"n":3,"max_completion_tokens":7`), `{"model":"m","prompt":[[1,2],[3]]}`,
		`{"model":"m","prompt":["a",1]}`, `{"model":"m","messages":[{"content":[{"type":"text","text":"x"},{"image_url":{}}]}]}`,
		`{"model":"m","prompt":"x","stream":true,"stream_options":{"include_usage":false}}`, `[`, `{"model":null}`, "\xff"} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	model := &config.Model{ContextTokens: 4096, DefaultMaxTokens: 100}
	f.Fuzz(func(t *testing.T, body []byte, isChat bool) {
		kind := textCompletion
		if isChat {
			kind = chatCompletion
		}
		r, err := parseModelRequest(kind, body)
		if err != nil {
			if err.Status != http.StatusBadRequest || err.Execution != "not-run" {
				t.Fatalf("refused with %+v", err)
			}
			return
		}
		if r.applyLimits(model) != nil {
			return
		}
		if r.PromptTokens < 0 || r.MaxTokens < 1 || r.PromptTokens+r.MaxTokens > 4096 || r.chargedTokens() > 4096*(maxChoices+1) {
			t.Fatalf("prompt %d, output %d, charge %d", r.PromptTokens, r.MaxTokens, r.chargedTokens())
		}
		out, err := r.encode(1)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		var before, after map[string]any
		if json.Unmarshal(body, &before) != nil || json.Unmarshal(out, &after) != nil {
			t.Fatalf("%q became %q", body, out)
		}
		own := map[string]bool{"max_tokens": true, "max_completion_tokens": true, "stream_options": true, "priority": true, "seed": true}
		for name, v := range before {
			if own[name] {
				continue
			}
			x, _ := json.Marshal(v)
			y, _ := json.Marshal(after[name])
			if string(x) != string(y) {
				t.Fatalf("member %q changed from %s to %s", name, x, y)
			}
		}
		if _, ok := after["priority"]; ok {
			t.Fatal("the caller's priority was kept")
		}
	})
}

// Guards against encoded secrets that are not found, and against panics on invalid encodings.
func FuzzContainsSecret(f *testing.F) {
	f.Add("%", `\`, uint8(0))
	f.Add(`{"a":"`, `"}`, uint8(3))
	f.Fuzz(func(t *testing.T, before, after string, layers uint8) {
		text := before + workshopSecret + after
		for i := range layers % 4 {
			switch {
			case i == 0 || layers&4 == 0:
				var b strings.Builder
				for _, c := range []byte(text) {
					b.WriteString("%" + hexByte(c))
				}
				text = b.String()
			default:
				text = `\u0025` + strings.ReplaceAll(text, "%", `\u0025`)
			}
		}
		if !containsSecret([]byte(text), workshopSecret) {
			t.Fatalf("the secret was not seen in %q", text)
		}
		containsSecret([]byte(before), workshopSecret)
	})
}

// Guards against paths and queries that make the router panic, and against request targets that are not valid in a request line.
func FuzzTarget(f *testing.F) {
	for _, s := range []string{"/deposits/1?a=b", "/deposits/%2e%2e?x=dk_1_2", "/%zz", "//a/../b?;&=&&%", "/deposits/a b"} {
		f.Add(s)
	}
	in := &Gateway{opts: Options{Region: "lima", Source: &fakeSource{view: testView()}, Limiter: &fakeLimiter{}}.withDefaults(), metrics: newRequestMetrics(nil)}
	f.Fuzz(func(t *testing.T, raw string) {
		u, err := url.ParseRequestURI(raw)
		if err != nil || !strings.HasPrefix(raw, "/") {
			return
		}
		r := &http.Request{Method: http.MethodPost, URL: u, Header: http.Header{}, Body: http.NoBody}
		w := httptest.NewRecorder()
		in.ServeHTTP(w, r)
		if w.Code < 400 || w.Header().Get(headerExecution) != "not-run" {
			t.Fatalf("%q: status %d, execution %q", raw, w.Code, w.Header().Get(headerExecution))
		}
		if !unambiguousPath(u) {
			return
		}
		again, err := url.ParseRequestURI(requestTarget(u))
		if err != nil || again.EscapedPath() != u.EscapedPath() || strings.ContainsAny(requestTarget(u), " \r\n") {
			t.Fatalf("%q became %q: %v", raw, requestTarget(u), err)
		}
	})
}

// Guards against a body whose search for keys takes time that grows with the square of its size.
func TestSearchForKeysIsLinear(t *testing.T) {
	body := []byte(strings.Repeat("dk_", 1<<20))
	begun := time.Now()
	if containsKey(body, testView()) {
		t.Fatal("found a key")
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Fatalf("3 MB took %v", took)
	}
	if !containsKey([]byte(strings.Repeat("dk_ ", 1000)+workshopKey), testView()) {
		t.Fatal("the key at the end was not found")
	}
}
