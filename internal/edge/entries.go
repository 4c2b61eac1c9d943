package edge

import (
	"maps"
	"strings"
)

const (
	// maxEntryBytes bounds the values of the store's keys, other than the operator's configuration. An entry of an endpoint has some
	// hundred bytes and that of an instance about a kilobyte.
	maxEntryBytes = 16 << 10
	// maxLoggedError bounds the text of an entry's error in bytes.
	maxLoggedError = 1 << 10
)

// entryErrors holds the last error of each key whose entry cannot be used, so that renewals of the same entry are not logged again.
// It is not safe for concurrent use.
type entryErrors map[string]string

// record records the outcome of decoding a key's entry. It reports whether the error is another than the last one, and returns the
// text to log.
func (e entryErrors) record(key string, err error) (text string, changed bool) {
	if err == nil {
		delete(e, key)
		return "", false
	}
	text = boundedError(err)
	if e[key] == text {
		return text, false
	}
	e[key] = text
	return text, true
}

// boundedError returns the beginning of an error's text.
func boundedError(err error) string {
	text := err.Error()
	if len(text) > maxLoggedError {
		text = strings.ToValidUTF8(text[:maxLoggedError], "")
	}
	return text
}

// retain forgets the keys that no longer exist.
func (e entryErrors) retain(present map[string]bool) {
	maps.DeleteFunc(e, func(key, _ string) bool { return !present[key] })
}
