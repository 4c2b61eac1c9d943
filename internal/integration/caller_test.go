package integration

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"dogwoodknot.example/dogwoodknot/internal/load"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// answer is what a caller got.
type answer struct {
	status    int
	execution string // header; empty if no answer came
	region    string
	requestID string
	retry     string
	body      string
	err       error // no whole answer came
}

// request sends a request to an instance and reads the whole answer.
func (d *deployment) request(ctx context.Context, i *instance, method, path, key string, header map[string]string, body string) answer {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, i.url()+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return answer{
		status: resp.StatusCode, execution: resp.Header.Get("Dogwoodknot-Execution"), region: resp.Header.Get("Dogwoodknot-Served-Region"),
		requestID: resp.Header.Get("X-Request-Id"), retry: resp.Header.Get("Retry-After"), body: string(data), err: err,
	}
}

// notSent reports a connection that was not made, so that nothing of the request was sent.
func notSent(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// book sends a booking with an idempotency key; without one if it is empty.
func (d *deployment) book(i *instance, organisation, key, body string) answer {
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	return d.request(context.Background(), i, http.MethodPost, "/bookings", d.keys[organisation], header, body)
}

// newKey returns an idempotency key with its time.
func newKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

// issue asks an instance for an operation id.
func (d *deployment) issue(t *testing.T, i *instance, organisation string) string {
	t.Helper()
	a := d.request(context.Background(), i, http.MethodPost, "/v1/operations", d.keys[organisation], nil, "")
	var out struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal([]byte(a.body), &out); err != nil || !strings.HasPrefix(out.ID, "op_") {
		t.Fatalf("%s issued no operation id: %+v", i.name, a)
	}
	return out.ID
}

// executions returns how often the plain services have executed a body.
func (d *deployment) executions(t *testing.T, body string) int64 {
	t.Helper()
	total := int64(0)
	for _, s := range d.services {
		var e standin.Executions
		if err := d.getJSON(s.url()+"/service/v1/executions", &e); err != nil {
			t.Fatal(err)
		}
		total += e.ByBodyDigest[standin.BodyDigest([]byte(body))]
	}
	return total
}

// stream is what a caller saw of a stream of chat tokens.
type stream struct {
	answer
	text   string
	tokens int
	whole  bool   // [DONE] came
	code   string // of the error event
	ended  time.Time
}

func chatBody(prompt string, tokens int, streaming bool) string {
	data, err := json.Marshal(map[string]any{
		"model": modelName, "stream": streaming, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err) // strings and numbers only
	}
	return string(data)
}

// chat streams a chat. onToken is called after each token, and may be nil. A request that has not run is repeated after the
// time that the refusal names, as callers do: an instance that has just got a slot starts with no tokens, and endpoints of an
// earlier test may just have come back.
func (d *deployment) chat(i *instance, key, prompt string, tokens int, onToken func(n int)) stream {
	deadline := time.Now().Add(inForceWithin)
	for {
		s := d.chatOnce(i, key, prompt, tokens, onToken)
		seconds, err := strconv.Atoi(s.retry)
		if s.execution != "not-run" || err != nil || time.Now().After(deadline) {
			return s
		}
		time.Sleep(time.Duration(seconds) * time.Second)
	}
}

func (d *deployment) chatOnce(i *instance, key, prompt string, tokens int, onToken func(n int)) stream {
	ctx, cancel := context.WithTimeout(context.Background(), callWithin)
	defer cancel()
	s := stream{}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, i.url()+"/v1/chat/completions", strings.NewReader(chatBody(prompt, tokens, true)))
	if err != nil {
		s.err = err
		return s
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.http.Do(req)
	if err != nil {
		s.err = err
		return s
	}
	defer resp.Body.Close()
	s.retry = resp.Header.Get("Retry-After")
	s.status, s.execution, s.region = resp.StatusCode, resp.Header.Get("Dogwoodknot-Execution"), resp.Header.Get("Dogwoodknot-Served-Region")
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		s.body = string(data)
		return s
	}
	s.read(resp.Body, onToken)
	s.ended = time.Now()
	return s
}

func (s *stream) read(body io.Reader, onToken func(int)) {
	for event, err := range load.ChatEvents(body) {
		if err != nil {
			s.err = err
			return
		}
		s.whole = s.whole || event.Done
		if event.Error != nil {
			s.code = event.Error.Code
		}
		if event.Content == "" {
			continue
		}
		s.text += event.Content
		s.tokens++
		if onToken != nil {
			onToken(s.tokens)
		}
	}
}

// wantWhole fails the test if the stream is not the complete answer to its own prompt.
func (s *stream) wantWhole(t *testing.T, prompt string, tokens int) {
	t.Helper()
	want := standin.OutputText(standin.ChatPrompt("user", prompt), 0, tokens)
	if s.status != http.StatusOK || !s.whole || s.text != want {
		t.Errorf("answer is not whole: status %d, %d of %d tokens, whole %v, error %q, %v, body %s", s.status, s.tokens, tokens, s.whole, s.code, s.err, s.body)
	}
}
