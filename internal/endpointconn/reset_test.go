package endpointconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/netdial"
)

// earlyAnswer starts an endpoint that answers each request once it has read the head, and then ends the connection with end.
func earlyAnswer(t *testing.T, answer string, end func(c *net.TCPConn, rest io.Reader)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				write(c, "%s", answer)
				end(c.(*net.TCPConn), r.Body)
			}()
		}
	}()
	return l.Addr().String()
}

func upload(id string, size int) *Request {
	r := request(id)
	r.Body = make([]byte, size)
	return r
}

// Guards against a part of an answer without length that is taken for the whole one, since the endpoint has reset the connection while the
// request was being written: the kernel tells either the write or the read of the reset.
func TestResetDuringAnUpload(t *testing.T) {
	for name, reset := range map[string]func(c *net.TCPConn, rest io.Reader){
		"reset":       func(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) },
		"reset later": func(c *net.TCPConn, _ io.Reader) { time.Sleep(2 * time.Millisecond); _ = c.SetLinger(0) },
		// The kernel resets a connection that is closed while received bytes are unread.
		"closed with unread bytes": func(c *net.TCPConn, _ io.Reader) {
			for !netdial.Readable(c) {
				time.Sleep(time.Millisecond)
			}
		},
		"reset within the upload": func(c *net.TCPConn, rest io.Reader) {
			_, _ = io.CopyN(io.Discard, rest, 1<<20)
			_ = c.SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, whole := newPool(t), 0
			for n := range 100 {
				id := fmt.Sprint(n)
				addr := earlyAnswer(t, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\npart", reset)
				if body, err := do(t, p, addr, upload(id, 8<<20)); err == nil {
					whole++
				} else if !errors.Is(err, ErrBroken) {
					t.Errorf("%q: error %v is not one of a broken connection", body, err)
				}
			}
			if whole > 0 {
				t.Errorf("%d of 100 parts of an answer are taken for whole ones", whole)
			}
		})
	}
}

// Guards against an answer without length that is lost although its endpoint has ended it, before or after it has read the request.
func TestAnswerEndsDuringAnUpload(t *testing.T) {
	const size = 8 << 20
	for name, end := range map[string]func(c *net.TCPConn, rest io.Reader){
		"before": func(c *net.TCPConn, rest io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, rest)
		},
		"after": func(_ *net.TCPConn, rest io.Reader) { _, _ = io.Copy(io.Discard, rest) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(t)
			for n := range 20 {
				id := fmt.Sprint(n)
				addr := earlyAnswer(t, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nwhole", end)
				if body, err := do(t, p, addr, upload(id, size)); err != nil || body != "whole" {
					t.Errorf("%q, %v", body, err)
				}
			}
		})
	}
}

// Guards against a status that HTTP does not define: 000 was taken for an interim response, and its body for the next head.
func TestOddStatuses(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 5\r\n\r\nwhole"
	for _, line := range []string{"HTTP/1.1 000 None", "HTTP/1.1 001 None", "HTTP/1.1 099 None", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 More", "HTTP/1.1 999 More",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 2x0 OK"} {
		e := newScriptedEndpoint(t, func(_ int64, _ *http.Request, _ string, c net.Conn) bool {
			write(c, "%s\r\nId: r\r\nContent-Length: %d\r\n\r\n%s", line, len(inner), inner)
			return false
		})
		if body, err := do(t, newPool(t), e.addr, request("r")); !errors.Is(err, ErrBadAnswer) {
			t.Errorf("%s: body %q, error %v", line, body, err)
		}
	}
	for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 199 X\r\n\r\n"} {
		e := newScriptedEndpoint(t, func(_ int64, _ *http.Request, _ string, c net.Conn) bool {
			write(c, "%s%s", interim, inner)
			return false
		})
		if body, err := do(t, newPool(t), e.addr, request("r")); err != nil || body != "whole" {
			t.Errorf("after %q: body %q, error %v", interim, body, err)
		}
	}
}
