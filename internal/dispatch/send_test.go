package dispatch

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against a status that is none: it would be passed to the caller, or end its request in a panic.
func TestAnswersWithOddStatuses(t *testing.T) {
	d := &Dispatcher{opts: Options{MaxAnswerBytes: 16}}
	for status, accepted := range map[int]bool{0: false, 99: false, 100: false, 101: false, 199: false, 200: true, 404: true, 599: true, 600: false, 999: false} {
		resp := &http.Response{StatusCode: status, ContentLength: 2, Body: io.NopCloser(strings.NewReader("ok")), Request: &http.Request{Method: http.MethodGet}}
		if _, err := d.readAnswer(resp); (err == nil) != accepted {
			t.Errorf("status %d: %v", status, err)
		}
	}
}
