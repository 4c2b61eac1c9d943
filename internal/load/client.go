package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// Execution header and values of the system's answers.
const (
	executionHeader    = "Dogwoodknot-Execution"
	servedRegionHeader = "Dogwoodknot-Served-Region"
)

// Result is what the caller of one request saw.
type Result struct {
	Stream       *Stream
	At           time.Duration // arrival
	Entry        string        // base URL of the entry tried last
	PromptTokens int           // of Chat
	Status       int           // 0: no answer
	Execution    string
	ServedRegion string
	FirstToken   time.Duration // since the scheduled arrival; 0: none
	Total        time.Duration // since the scheduled arrival
	Gaps         []time.Duration
	Tokens       int  // output tokens
	Whole        bool // the answer was complete
	Code         string
	Err          error
}

// Failure says why a request has no complete answer, in few words, so that equal causes are counted together. It is empty for
// a complete answer with a status of success.
func (r Result) Failure() string {
	switch {
	case r.Whole:
		return ""
	case r.Status == 0:
		return "no answer: " + connectionFailure(r.Err)
	case r.Status == http.StatusOK && r.Code != "":
		return "answer ended by " + r.Code
	case r.Status == http.StatusOK:
		return "answer cut short"
	case r.Execution == "":
		return fmt.Sprintf("%d %s", r.Status, r.Code)
	}
	return fmt.Sprintf("%d %s, %s", r.Status, r.Code, r.Execution)
}

func connectionFailure(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case isDialError(err):
		return "not connected"
	}
	return "connection lost"
}

// maxBodyBytes bounds a body that is not an event stream.
const maxBodyBytes = 1 << 20

// send performs one request at an entry and waits for its whole answer.
func send(ctx context.Context, client *http.Client, base string, a Arrival, start time.Time) Result {
	r := Result{Stream: a.Stream, At: a.At, Entry: base, PromptTokens: a.PromptTokens}
	req, err := newRequest(ctx, base, a)
	if err != nil {
		r.Err = err
		return r
	}
	resp, err := client.Do(req)
	if err != nil {
		r.Err = err
		r.Total = time.Since(start)
		return r
	}
	defer resp.Body.Close()
	r.Status = resp.StatusCode
	r.Execution = resp.Header.Get(executionHeader)
	r.ServedRegion = resp.Header.Get(servedRegionHeader)
	if resp.StatusCode == http.StatusOK && a.Stream.Kind == Chat {
		readEvents(resp.Body, start, &r)
	} else {
		readBody(resp.Body, &r)
	}
	r.Total = time.Since(start)
	return r
}

type chatBody struct {
	Model         string            `json:"model"`
	Messages      []message         `json:"messages"`
	MaxTokens     int               `json:"max_tokens"`
	Stream        bool              `json:"stream"`
	StreamOptions map[string]bool   `json:"stream_options"`
	Metadata      map[string]string `json:"metadata,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func newRequest(ctx context.Context, base string, a Arrival) (*http.Request, error) {
	s := a.Stream
	method, path, body := http.MethodGet, s.Path, []byte(nil)
	switch s.Kind {
	case Chat:
		var err error
		method, path = http.MethodPost, "/v1/chat/completions"
		body, err = json.Marshal(chatBody{
			Model:         s.Model,
			Messages:      []message{{Role: "user", Content: prompt(a)}},
			MaxTokens:     s.OutputTokens,
			Stream:        true,
			StreamOptions: map[string]bool{"include_usage": true},
		})
		if err != nil {
			return nil, err
		}
	case Booking:
		method, body = http.MethodPost, fmt.Appendf(nil, `{"number":%d,"reference":"%016x"}`, a.Number, a.Seed)
	}
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if s.Kind == Booking {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		req.Header.Set("Idempotency-Key", key.String())
	}
	return req, nil
}

// readEvents reads a server-sent event stream up to its end mark.
func readEvents(body io.Reader, start time.Time, r *Result) {
	var last time.Time
	for event, err := range ChatEvents(body) {
		if err != nil {
			r.Err = err
			return
		}
		if event.Done {
			r.Whole = true
			return
		}
		if event.Error != nil {
			r.Code = event.Error.Code
			return
		}
		if event.OutputTokens > 0 {
			r.Tokens = event.OutputTokens
		}
		if event.Content == "" {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			r.FirstToken = now.Sub(start)
		} else {
			r.Gaps = append(r.Gaps, now.Sub(last))
		}
		last = now
	}
}

func readBody(body io.Reader, r *Result) {
	data, err := io.ReadAll(io.LimitReader(body, maxBodyBytes))
	if err != nil {
		r.Err = err
		return
	}
	r.Whole = r.Status/100 == 2
	var failure ErrorBody
	// A body that isn't JSON simply has no code.
	if json.Unmarshal(data, &failure) == nil && failure.Error != nil {
		r.Code = failure.Error.Code
	}
}
