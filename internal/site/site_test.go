package site

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func start(t *testing.T, o Options) (*Site, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	s, err := Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stopCtx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		if err := s.Stop(stopCtx); err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	return s, ctx
}

func request(ctx context.Context, t *testing.T, method, url, key, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	return req
}

// Guards against a deployment whose parts work alone but not together: a chat stream from each region, and a booking.
func TestStreamsAndBookingsFromEveryRegion(t *testing.T) {
	s, ctx := start(t, Veletas())
	key := s.Keys["taller-quispe"]
	for _, i := range s.Instances {
		client := s.Client(i.Place.Region)
		body := `{"model":"taller-lm","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"a weather vane for a chapel"}]}`
		resp, err := client.Do(request(ctx, t, "POST", i.URL()+"/v1/chat/completions", key, body))
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(resp.Body)
		last := ""
		for lines.Scan() {
			if lines.Text() != "" {
				last = lines.Text()
			}
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK || last != "data: [DONE]" {
			t.Errorf("%s: status %d, last line %q", i.Name, resp.StatusCode, last)
		}
		req := request(ctx, t, "POST", i.URL()+"/bookings", key, `{"deposit":120}`)
		resp, err = client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		data, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if got := resp.Header.Get("Dogwoodknot-Execution"); resp.StatusCode != http.StatusOK || got != "ran" {
			t.Errorf("%s: booking got %d, execution %q: %s", i.Name, resp.StatusCode, got, data)
		}
	}
}

// Guards against an answer that names entries of the wrong region or leaving ones.
func TestEntriesAreRankedForTheRegion(t *testing.T) {
	s, ctx := start(t, Veletas())
	i := s.Instances[0]
	resp, err := s.Client("lima").Do(request(ctx, t, "GET", i.URL()+"/v1/entries?region=lima", s.Keys["taller-quispe"], ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var body struct {
		Entries []struct {
			Name   string `json:"name"`
			Region string `json:"region"`
		} `json:"entries"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	if len(body.Entries) != 2 {
		t.Errorf("entries are %+v", body.Entries)
	}
}
