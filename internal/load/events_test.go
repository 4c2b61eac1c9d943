package load

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against a cut, broken or refused answer that reads like a complete one.
func TestChatEvents(t *testing.T) {
	const token = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	reset := errors.New("connection reset")
	for name, tc := range map[string]struct {
		body io.Reader
		want []ChatEvent
		fail bool
	}{
		"complete": {
			strings.NewReader(token + `data: {"usage":{"completion_tokens":1}}` + "\n\ndata: [DONE]\n\n"),
			[]ChatEvent{{Content: "a"}, {OutputTokens: 1}, {Done: true}}, false,
		},
		"cut":        {strings.NewReader(token + `data: {"choi`), []ChatEvent{{Content: "a"}}, false},
		"reset":      {io.MultiReader(strings.NewReader(token), iotest.ErrReader(reset)), []ChatEvent{{Content: "a"}, {}}, true},
		"not JSON":   {strings.NewReader("data: {\n\n" + token), []ChatEvent{{}}, true},
		"error":      {strings.NewReader(`data: {"error":{"code":"c","message":"m"}}` + "\n\n"), []ChatEvent{{Error: &ChatError{"c", "m"}}}, false},
		"empty body": {strings.NewReader(""), nil, false},
	} {
		var got []ChatEvent
		var last error
		for event, err := range ChatEvents(tc.body) {
			got, last = append(got, event), err
		}
		if !reflect.DeepEqual(got, tc.want) || (last != nil) != tc.fail {
			t.Errorf("%s: events %+v, error %v", name, got, last)
		}
	}
}
