package endpointconn

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against an error that quotes bytes of an endpoint which belong to another caller: those behind an answer, in a head, in a chunk and in a
// trailer.
func TestErrorsQuoteNothingReceived(t *testing.T) {
	const secret = "secret-of-another-caller"
	for name, odd := range map[string]string{
		"no head":           `{"patron":"` + secret + `"}` + "\r\n\r\n",
		"status line":       "HTTP/1.1 " + secret + "\r\n\r\n",
		"version":           secret + "/1.1 200 OK\r\n\r\n",
		"header":            "HTTP/1.1 200 OK\r\n" + secret + "\r\n\r\n",
		"header name":       "HTTP/1.1 200 OK\r\n" + secret + " x: y\r\n\r\n",
		"length":            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: " + secret + "\r\n\r\n",
		"two lengths":       "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\nContent-Length: 7" + secret + "\r\n\r\n",
		"transfer encoding": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: " + secret + "\r\n\r\n",
		"chunk":             "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + secret + "\r\n",
		"trailer":           "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + secret + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newScriptedEndpoint(t, func(_ int64, r *http.Request, _ string, c net.Conn) bool {
				if r.Header.Get("Id") == "0" {
					write(c, "%s", answerTo("0", "first"))
					return true
				}
				write(c, "%s", odd)
				return false
			})
			p := newPool(t)
			for id := range 2 {
				body, err := do(t, p, e.addr, request(fmt.Sprint(id)))
				if (err == nil) != (id == 0) {
					t.Fatalf("answer %d: %q, %v", id, body, err)
				}
				if err != nil && strings.Contains(fmt.Sprintf("%v %+v", err, err), secret) {
					t.Errorf("error quotes what was received: %v", err)
				}
			}
		})
	}
}
