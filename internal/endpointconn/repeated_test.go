package endpointconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// refusalOf is a response that says that the request with the given id has not run; without an id it names none.
func refusalOf(id string) string {
	if id != "" {
		id = "Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + id + "Content-Length: 2\r\nKeep-Alive: timeout=10\r\nNot-Run: 1\r\n\r\nno"
}

// Guards against an earlier refusal that an endpoint writes once more on a kept connection and that is taken for the answer to the next
// request, which has run. The caller would be told that it may send the request again.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n\r\n"
	for name, tc := range map[string]struct {
		first, second string // what the endpoint writes after the request of that number
		want          string // the body of the second answer; empty: none is accepted
	}{
		"with its id, before the answer":      {refusalOf("1"), refusalOf("1") + answerTo("2", "ran"), "ran"},
		"with its id, alone":                  {refusalOf("1"), refusalOf("1"), ""},
		"with its id, after the answer":       {refusalOf("1"), answerTo("2", "ran") + refusalOf("1"), "ran"},
		"without an id, before the answer":    {refusalOf(""), refusalOf("") + answerTo("2", "ran"), ""},
		"without an id, alone":                {refusalOf(""), refusalOf(""), ""},
		"without an id, after the answer":     {refusalOf(""), answerTo("2", "ran") + refusalOf(""), "ran"},
		"after interim answers":               {refusalOf(""), interim + interim + refusalOf(""), ""},
		"only interim answers before the own": {refusalOf("1"), interim + answerTo("2", "ran"), "ran"},
		"cut in its status line":              {refusalOf(""), "HTTP/1.1 503 Service Unav" + answerTo("2", "ran"), ""},
		"cut in its last header":              {refusalOf(""), "HTTP/1.1 503 Busy\r\nNot-Run: " + answerTo("2", "ran"), ""},
		"cut between headers":                 {refusalOf(""), "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + answerTo("2", "ran"), ""},
		"own refusal":                         {answerTo("1", "ran"), refusalOf("2"), "no"},
		"own refusal after a repeated one":    {refusalOf("1"), refusalOf("1") + refusalOf("2"), "no"},
		"more repeated refusals than skipped": {refusalOf("1"), refusalOf("1") + refusalOf("1") + refusalOf("1") + answerTo("2", "ran"), ""},
		"repeated refusal without a length":   {refusalOf("1"), "HTTP/1.1 503 Busy\r\nId: 1\r\nNot-Run: 1\r\n\r\n" + answerTo("2", "ran"), ""},
		"success without an id":               {answerTo("1", "ran"), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran", ""},
		"misdirected answer without an id":    {answerTo("1", "ran"), "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", ""},
		"closes after the repeated refusal":   {refusalOf("1"), "HTTP/1.1 503 Busy\r\nId: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", ""},
	} {
		for _, size := range []int{len(tc.second), 7} { // whole, and split over packets
			t.Run(fmt.Sprint(name, ", ", size), func(t *testing.T) {
				t.Parallel()
				e := newScriptedEndpoint(t, func(n int64, r *http.Request, _ string, c net.Conn) bool {
					if r.Header.Get("Id") == "1" {
						write(c, "%s", tc.first)
						return true
					}
					if n > 1 {
						t.Error("the second request is sent on a new connection")
					}
					for rest := tc.second; len(rest) > 0; rest = rest[min(size, len(rest)):] {
						write(c, "%s", rest[:min(size, len(rest))])
						if size < len(tc.second) {
							time.Sleep(time.Millisecond)
						}
					}
					return false
				})
				p := newPool(t)
				if _, err := do(t, p, e.addr, request("1")); err != nil {
					t.Fatal(err)
				}
				got, err := do(t, p, e.addr, request("2"))
				if got != tc.want || tc.want == "" && !errors.Is(err, ErrBadAnswer) && !errors.Is(err, ErrBroken) {
					t.Errorf("answer %q, %v, want %q", got, err, tc.want)
				}
			})
		}
	}
}

// Guards against the answer to an earlier request of the same id that is taken for the answer to a later one.
func TestSameIDIsNotSentTwiceOnAConnection(t *testing.T) {
	e := newScriptedEndpoint(t, func(n int64, r *http.Request, _ string, c net.Conn) bool {
		write(c, "%s", answerTo(r.Header.Get("Id"), fmt.Sprint("connection ", n)))
		return true
	})
	p := newPool(t)
	for i, id := range []string{"a", "b", "a"} {
		got, err := do(t, p, e.addr, request(id))
		if want := fmt.Sprint("connection ", 1+i/2); err != nil || got != want {
			t.Errorf("request %s: %q, %v, want %q", id, got, err, want)
		}
	}
}

// Guards against a repeated refusal that arrives between the check of an idle connection and the write of the next request.
func TestRefusalThatArrivesBeforeTheWrite(t *testing.T) {
	for id, want := range map[string]string{"1": "ran", "": ""} {
		late := make(chan struct{})
		e := newScriptedEndpoint(t, func(_ int64, r *http.Request, _ string, c net.Conn) bool {
			if r.Header.Get("Id") == "1" {
				write(c, "%s", refusalOf(id))
				go func() {
					<-late
					write(c, "%s", refusalOf(id))
					late <- struct{}{}
				}()
				return true
			}
			write(c, "%s", answerTo("2", "ran"))
			return true
		})
		p := NewPool(func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return &lateConn{Conn: c, late: late}, err
		}, func(h http.Header) string { return h.Get("Id") })
		if _, err := do(t, p, e.addr, request("1")); err != nil {
			t.Fatal(err)
		}
		resp, err := p.Do(t.Context(), e.addr, request("2"))
		if err != nil {
			if want != "" || !errors.Is(err, ErrBadAnswer) {
				t.Errorf("refusal with id %q: %v", id, err)
			}
			continue
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != want {
			t.Errorf("refusal with id %q: %q, %v", id, body, err)
		}
		_ = resp.Body.Close()
	}
}

// lateConn lets the endpoint write between the check of the connection and its second use. It has no file descriptor, so the pool
// takes it for unread.
type lateConn struct {
	net.Conn
	late   chan struct{}
	writes int
}

func (c *lateConn) Write(p []byte) (int, error) {
	if c.writes++; c.writes == 2 {
		c.late <- struct{}{}
		<-c.late
	}
	return c.Conn.Write(p)
}
