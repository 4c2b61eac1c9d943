package endpointconn

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a head that ends with its connection and is taken for a whole one, so that callers get an answer without its body: at each
// byte of an answer, before and behind the head, and whether the endpoint closes or resets the connection.
func TestAnswerThatIsCutIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nId: r\r\nSigned: yes\r\nContent-Length: 5\r\nKeep-Alive: timeout=5\r\n\r\nwhole",
		"in chunks":     "HTTP/1.1 200 OK\r\nId: r\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nwhole\r\n0\r\nX: y\r\n\r\n",
		"line feeds":    "HTTP/1.1 200 OK\nId: r\nContent-Length: 5\n\nwhole",
		"interim":       "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			for _, reset := range []bool{false, true} {
				for end := range len(answer) + 1 {
					e := newScriptedEndpoint(t, func(_ int64, _ *http.Request, _ string, c net.Conn) bool {
						write(c, "%s", answer[:end])
						if tcp, ok := c.(*net.TCPConn); ok && reset && end < len(answer) {
							_ = tcp.SetLinger(0)
						}
						return false
					})
					p := newPool(t)
					resp, err := p.Do(t.Context(), e.addr, request("r"))
					whole := false
					if err == nil {
						var body []byte
						body, err = io.ReadAll(resp.Body)
						whole = err == nil && string(body) == "whole"
						_ = resp.Body.Close()
					}
					if (err == nil) != (end == len(answer)) || err == nil && !whole {
						t.Errorf("cut after %q, reset %v: error %v", answer[:end], reset, err)
					}
				}
			}
		})
	}
}
