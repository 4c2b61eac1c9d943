package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	hostName = "ficu95.example"
	apiKey   = "i9n73hh2b9wu3fexd9dn"
	service  = "huvo11a"
	// sharedPart is the prompt part that all requests share.
	sharedPart = "5c1e07a2"
	// Sizes of a request in tokens (SYSTEM.md, dossier-brief).
	sharedTokens, ownTokens, outputTokens = 6300, 2890, 50
	requestTokens                         = sharedTokens + ownTokens + outputTokens
	deadline                              = 4 * time.Second
)

// client sends requests to one machine on kept connections.
type client struct {
	bed  *bed
	to   *machine
	name string
	http *http.Client

	mu sync.Mutex
	n  int
}

func (b *bed) newClient(name string, to *machine) *client {
	return &client{bed: b, to: to, name: name, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true,
	}}}
}

// send sends one request, with prompt parts between the shared one and its own. It returns the status, 0 if there was no whole answer.
func (c *client) send(middle ...string) int {
	c.mu.Lock()
	c.n++
	id := fmt.Sprintf("%s-%d", c.name, c.n)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.to.caller+"/pufi791/2f", bytes.NewReader(make([]byte, 200)))
	if err != nil {
		panic(err) // the address is that of a listener
	}
	parts := fmt.Sprintf("%s:%d", sharedPart, sharedTokens)
	for _, part := range middle {
		parts += "," + part + ":40"
	}
	req.Host = hostName
	req.GetBody = nil // net/http must not send it again by itself
	for name, value := range map[string]string{
		wire("request id"): id, "Authorization": "Bearer " + apiKey,
		wire("deadline"): strconv.FormatInt(deadline.Milliseconds(), 10), wire("model"): "m",
		wire("token counts"): fmt.Sprintf("%d,%d", sharedTokens+ownTokens, outputTokens),
		wire("prompt parts"): fmt.Sprintf("%s,%x:%d", parts, time.Now().UnixNano(), ownTokens),
	} {
		req.Header.Set(name, value)
	}
	now := time.Now()
	c.bed.mu.Lock()
	c.bed.sent[id] = now
	c.bed.mu.Unlock()
	c.bed.record.add("%s is sent to %s", id, c.to.name)
	status, retryAfter := 0, ""
	resp, err := c.http.Do(req)
	if err == nil {
		retryAfter = resp.Header.Get("Retry-After")
		if _, err = io.Copy(io.Discard, resp.Body); err == nil {
			status = resp.StatusCode
		}
		_ = resp.Body.Close()
	}
	c.bed.record.add("%s is answered with %d after %s, retry after %q, error %v", id, status, time.Since(now).Round(time.Millisecond), retryAfter, err)
	c.bed.mu.Lock()
	c.bed.answers[strconv.Itoa(status)]++
	c.bed.mu.Unlock()
	return status
}

// load sends requests at a rate until the returned function is called.
func (c *client) load(perSecond float64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() {
		tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				all.Go(func() { c.send() })
			case <-ctx.Done():
				return
			}
		}
	})
	return func() {
		cancel()
		all.Wait()
	}
}
