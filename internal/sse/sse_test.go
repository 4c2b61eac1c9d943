package sse

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

// Guards against events that are lost, joined or taken from a cut stream, and against a buffer that grows without bound.
func TestNext(t *testing.T) {
	large := strings.Repeat("x", maxEvent/2+1)
	for name, tc := range map[string]struct {
		stream string
		want   []string
		end    error
	}{
		"events":           {"data: a\n\ndata: b\r\n\r\n", []string{"a", "b"}, io.EOF},
		"no space":         {"data:a\n\n", []string{"a"}, io.EOF},
		"one space only":   {"data:  a\n\n", []string{" a"}, io.EOF},
		"several lines":    {"data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		"other fields":     {": comment\n\nevent: e\nid: 7\ndata: a\n\n", []string{"a"}, io.EOF},
		"empty data":       {"data:\n\n", []string{""}, io.EOF},
		"above one buffer": {"data: " + large + "\n\n", []string{large}, io.EOF},
		"cut line":         {"data: a\n\ndata: b", []string{"a"}, io.EOF},
		"cut event":        {"data: a\n\ndata: b\n", []string{"a"}, io.EOF},
		"large line":       {"data: " + large + large, nil, ErrTooLarge},
		"large event":      {"data: " + large + "\ndata: " + large + "\n\n", nil, ErrTooLarge},
	} {
		var got []string
		r := NewReader(strings.NewReader(tc.stream))
		data, err := r.Next()
		for ; err == nil; data, err = r.Next() {
			got = append(got, string(data))
		}
		if !slices.Equal(got, tc.want) || !errors.Is(err, tc.end) {
			t.Errorf("%s: %d events, error %v", name, len(got), err)
		}
	}
}

// Guards against an event with a field of the platform's own that counts as foreign, and against a head or an error of another response
// that counts as an event.
func TestForeignLines(t *testing.T) {
	for block, foreign := range map[string]bool{
		"x-model-version: 4\nid: 1\ndata: a\n\n":              false,
		"id: 1\nx_other.field: text with spaces\ndata: a\n\n": false,
		"data\nid: 1\n\n": false,
		"HTTP/1.1 503 Service Unavailable\r\nA: b\r\n\r\n":       true,
		"id: 1\ndata: a\nHTTP/1.1 200 OK: x\n\n":                 true,
		"{\"error\": \"out of memory\"}\n\n":                     true,
		"id: 1\ndata: a\nBad Gateway\n\n":                        true,
		"<html><body style=\"color: red\">503</body></html>\n\n": true,
	} {
		event, err := NewReader(strings.NewReader(block)).NextRaw()
		if err != nil || event.Foreign != foreign || string(event.Raw) != block {
			t.Errorf("%q: foreign %v, error %v, want foreign %v", block, event.Foreign, err, foreign)
		}
	}
}
