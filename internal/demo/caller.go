package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/load"
	"dogwoodknot.example/dogwoodknot/internal/site"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// maxAnswerBytes bounds what the demo reads of an answer.
const maxAnswerBytes = 1 << 20

// streamResult is what a caller saw of a stream.
type streamResult struct {
	status    int
	execution string
	region    string
	text      strings.Builder
	tokens    int
	whole     bool
	failure   string
	first     time.Duration
	total     time.Duration
}

// check compares the text with what the stand-in engines give for the prompt.
func (r *streamResult) check(prompt string, tokens int) error {
	want := standin.OutputText(standin.ChatPrompt("user", prompt), 0, tokens)
	if !r.whole || r.text.String() != want {
		return errors.Newf("answer is not whole: status %d, %d of %d tokens, %s", r.status, r.tokens, tokens, r.failure)
	}
	return nil
}

// stream sends a chat and reads its events. onToken is called after each token.
func (d *demo) stream(ctx context.Context, client *http.Client, entry *site.Instance, key, text string, tokens int, onToken func(int)) (*streamResult, error) {
	body, err := json.Marshal(map[string]any{
		"model": "taller-lm", "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	if err != nil {
		return nil, err
	}
	started := time.Now()
	resp, err := d.send(ctx, client, http.MethodPost, entry.URL()+"/v1/chat/completions", key, "", string(body))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	r := &streamResult{status: resp.StatusCode, execution: resp.Header.Get("Dogwoodknot-Execution"), region: resp.Header.Get("Dogwoodknot-Served-Region")}
	defer func() { r.total = time.Since(started) }()
	if resp.StatusCode != http.StatusOK {
		r.failure = readFailure(resp.Body)
		return r, nil
	}
	r.read(resp.Body, started, onToken)
	return r, nil
}

func (r *streamResult) read(body io.Reader, started time.Time, onToken func(int)) {
	for event, err := range load.ChatEvents(body) {
		if err != nil {
			r.failure = err.Error()
			return
		}
		if event.Done {
			r.whole = true
			return
		}
		if event.Error != nil {
			r.failure = event.Error.Code + ": " + event.Error.Message
			return
		}
		if event.Content == "" {
			continue
		}
		if r.tokens == 0 {
			r.first = time.Since(started)
		}
		r.text.WriteString(event.Content)
		r.tokens++
		if onToken != nil {
			onToken(r.tokens)
		}
	}
}

func (d *demo) report(r *streamResult) {
	whole := "whole answer"
	if !r.whole {
		whole = "not whole: " + r.failure
	}
	d.say("status %d, served in %s, %d tokens, first after %.0f ms, %.0f ms in all, %s", r.status, r.region, r.tokens,
		float64(r.first)/float64(time.Millisecond), float64(r.total)/float64(time.Millisecond), whole)
}

// bookingResult is what a caller saw of a booking.
type bookingResult struct {
	status    int
	execution string
	body      string
}

func (b bookingResult) String() string {
	return fmt.Sprintf("status %d, execution %s, %s", b.status, b.execution, b.body)
}

func (d *demo) book(ctx context.Context, client *http.Client, entry *site.Instance, key, idempotencyKey, body string) (bookingResult, error) {
	resp, err := d.send(ctx, client, http.MethodPost, entry.URL()+"/bookings", key, idempotencyKey, body)
	if err != nil {
		return bookingResult{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return bookingResult{resp.StatusCode, resp.Header.Get("Dogwoodknot-Execution"), strings.TrimSpace(string(data))}, err
}

func (d *demo) send(ctx context.Context, client *http.Client, method, url, key, idempotencyKey, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return client.Do(req)
}

// readFailure returns the code and message of an error body.
func readFailure(body io.Reader) string {
	var c load.ErrorBody
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&c); err != nil || c.Error == nil {
		return "no error body"
	}
	return c.Error.Code + ": " + c.Error.Message
}
