package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

func workload() Workload {
	return Workload{Seed: 7, Duration: time.Second, Streams: []Stream{
		{Name: "short", Kind: Chat, Organisation: "moara-alba", Key: "dk_1-a_b", Region: "ro-nord", PerSecond: 50, Model: "knot-serve", PromptTokens: 40, OutputTokens: 3, SharedPrefix: 0.5},
		{Name: "booking", Kind: Booking, Organisation: "moara-alba", Key: "dk_1-a_b", Region: "ro-nord", PerSecond: 20, Path: "/transfers"},
	}}
}

// Guards against experiments that can't be repeated.
func TestSameSeedGivesSameSchedule(t *testing.T) {
	w := workload()
	a, b := w.Schedule(), w.Schedule()
	if !reflect.DeepEqual(a, b) {
		t.Error("two schedules of one seed differ")
	}
	w.Seed++
	if reflect.DeepEqual(a, w.Schedule()) {
		t.Error("another seed gives the same schedule")
	}
	if n := len(a); n < 40 || n > 110 {
		t.Errorf("%d arrivals in 1 s at 70/s", n)
	}
}

// Guards against a tool that counts a truncated stream as complete, or loses answers.
func TestRunCountsWholeAndBrokenStreams(t *testing.T) {
	var served atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(executionHeader, "ran")
		w.Header().Set(servedRegionHeader, "ro-sud")
		if strings.HasSuffix(r.URL.Path, "/transfers") {
			if r.Header.Get("Idempotency-Key") == "" {
				t.Error("booking without idempotency key")
			}
			return
		}
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n")
		if r.Header.Get("Authorization") != "Bearer dk_1-a_b" {
			t.Error("key is missing")
		}
		if served.Add(1) > 1 {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	}))
	defer server.Close()
	w := workload()
	w.Streams[0].PerSecond, w.Streams[1].PerSecond = 8, 8
	results, err := Run(context.Background(), w, Options{Entries: func(*Stream, int) []string { return []string{"http://127.0.0.1:1", server.URL} }})
	if err != nil {
		t.Fatal(err)
	}
	rows := Summarise(results, ByStream)
	booking, short := rows[0], rows[1]
	if short.Broken != 1 || short.Whole != short.Sent-1 || short.Remote != short.Sent {
		t.Errorf("short: %+v", short)
	}
	if booking.Whole != booking.Sent || booking.Sent == 0 {
		t.Errorf("booking: %+v", booking)
	}
	if short.FirstToken().P50 <= 0 {
		t.Error("first token was not measured")
	}
	var out strings.Builder
	if err := WriteTable(&out, "stream", rows); err != nil || !strings.Contains(out.String(), "booking") {
		t.Errorf("table: %v\n%s", err, out.String())
	}
}

func TestWorkloadBoundsAreChecked(t *testing.T) {
	w := workload()
	w.Duration = 24 * time.Hour
	if len(w.Validate()) == 0 {
		t.Error("a run of millions of requests was accepted")
	}
}

// Guards against failures of one cause that are counted as several, and against complete answers that count as failures.
func TestFailureNamesTheCause(t *testing.T) {
	for want, r := range map[string]Result{
		"":                                 {Status: 200, Whole: true},
		"answer cut short":                 {Status: 200},
		"answer ended by overloaded":       {Status: 200, Code: "overloaded"},
		"429 rate_limit_exceeded, not-run": {Status: 429, Code: "rate_limit_exceeded", Execution: "not-run"},
		"no answer: timeout":               {Err: fmt.Errorf("post: %w", context.DeadlineExceeded)},
		"no answer: not connected":         {Err: &net.OpError{Op: "dial", Err: io.EOF}},
		"no answer: connection lost":       {Err: io.ErrUnexpectedEOF},
	} {
		if got := r.Failure(); got != want {
			t.Errorf("%+v: got %q, want %q", r, got, want)
		}
	}
}
