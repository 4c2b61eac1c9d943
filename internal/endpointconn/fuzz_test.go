package endpointconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// FuzzAnswer guards against bytes of an endpoint that end the process, that are accepted with a status or an id that no answer to the request
// has, or that are quoted in an error.
func FuzzAnswer(f *testing.F) {
	const quoted = "bytes-of-another-caller"
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nId: r\r\n\r\npart", "HTTP/1.1 000 None\r\nId: r\r\n\r\n" + quoted,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 Not Found\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + quoted + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + quoted + "\r\n\r\n", quoted + "\r\n\r\n", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nId: r\r\nKeep-Alive: timeout=9223372036854775807\r\n\r\n", "HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 9223372036854775807\r\n\r\n" + quoted,
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, answer []byte, reused bool) {
		dial := func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer server.Close()
				reader := bufio.NewReader(server)
				for n := 0; ; n++ {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					if reused && n == 0 {
						_, _ = io.WriteString(server, answerTo("first", "x"))
						continue
					}
					_, _ = server.Write(answer)
					return
				}
			}()
			return client, nil
		}
		p := NewPool(dial, func(h http.Header) string { return strings.Join(h.Values("Id"), ",") })
		defer p.CloseUnused(func(string) bool { return false })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		get := func(id string) (*Response, error) {
			return p.Do(ctx, "endpoint", &Request{ID: id, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}})
		}
		if reused {
			resp, err := get("first")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		resp, err := get("r")
		if err == nil {
			if id := strings.Join(resp.Header.Values("Id"), ","); resp.Status < 200 || resp.Status > MaxStatus || id != "r" && (id != "" || reused) {
				t.Errorf("status %d with id %q is accepted", resp.Status, id)
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil && strings.Contains(fmt.Sprintf("%+v", err), quoted) {
			t.Errorf("error quotes what was received: %v", err)
		}
	})
}
