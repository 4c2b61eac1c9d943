package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// get makes a request without a body and returns its status.
func get(ctx context.Context, url string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// outcome is what a client has seen of a request.
type outcome struct {
	status int
	body   string
	kept   bool  // the connection had carried a request before
	sent   bool  // the whole request was written
	err    error // there was no complete answer
}

// closed reports whether the connection was closed without a complete answer before the client gave up.
func (o outcome) closed() bool {
	var timeout interface{ Timeout() bool }
	return o.err != nil && o.sent && !(errors.As(o.err, &timeout) && timeout.Timeout())
}

// client sends requests to one machine on a kept connection.
type client struct {
	name string
	key  string // of its organisation
	m    *machine
	n    int
	http *http.Client
}

// deadline is how long a client waits for its answer.
const deadline = 2500 * time.Millisecond

func newClient(name string, m *machine) *client {
	return &client{name: name, key: apiKey, m: m, http: &http.Client{
		Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 1}, Timeout: deadline + 100*time.Millisecond,
	}}
}

// request sends one request and returns its id and outcome. The client never sends it again by itself.
func (c *client) request(ctx context.Context, path string) (string, outcome) {
	c.n++
	id := fmt.Sprintf("%s-%d", c.name, c.n)
	var out outcome
	var mu sync.Mutex
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			mu.Lock()
			defer mu.Unlock()
			out.kept = i.Reused
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			mu.Lock()
			defer mu.Unlock()
			out.sent = i.Err == nil
		},
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+c.m.caller+path, strings.NewReader("body of "+id))
	if err != nil {
		return id, outcome{err: err}
	}
	req.Host, req.GetBody = host, nil
	platformtest.SetRequestHeaders(req.Header, id, c.key)
	platformtest.SetDeadline(req.Header, deadline)
	resp, err := c.http.Do(req)
	mu.Lock()
	defer mu.Unlock()
	if err != nil {
		out.err = err
		return id, out
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	out.status, out.body, out.err = resp.StatusCode, string(body), err
	return id, out
}
