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
