package gateway

import (
	"bytes"
	"unicode/utf8"

	"dogwoodknot.example/dogwoodknot/internal/configsync"
)

// maxDecodings is the largest number of nested encodings that are decoded, for example 3 for a percent-encoded string in JSON in JSON.
const maxDecodings = 3

// containsSecret reports whether data contains the secret: as it is, percent-encoded, in a JSON string with escapes, or in nested
// encodings of both kinds.
func containsSecret(data []byte, secret string) bool {
	if secret == "" {
		return false
	}
	return anyDecoding(data, maxDecodings, func(b []byte) bool { return bytes.Contains(b, []byte(secret)) })
}

// containsKey reports whether data contains a valid key of any organisation, in the same encodings as containsSecret.
func containsKey(data []byte, v configsync.View) bool {
	return anyDecoding(data, maxDecodings, func(b []byte) bool { return holdsKey(b, v) })
}

var keyPrefix = []byte("dk_")

// maxKeyBytes is the length above which a text is not a key. Without this limit, a body that repeats the prefix "dk_" would be read to
// its end once for each prefix, in quadratic time.
const maxKeyBytes = 256

// holdsKey reports whether data contains a valid key, without decoding it.
func holdsKey(data []byte, v configsync.View) bool {
	for {
		i := bytes.Index(data, keyPrefix)
		if i < 0 {
			return false
		}
		end := i
		for end < len(data) && isKeyByte(data[end]) {
			end++
		}
		if end-i > maxKeyBytes {
			data = data[end:]
			continue
		}
		if _, _, status := v.Authenticate(string(data[i:end])); status == configsync.KeyValid {
			return true
		}
		data = data[i+len(keyPrefix):]
	}
}

func isKeyByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '-'
}

// anyDecoding reports whether found is true of data or of one of its decodings.
func anyDecoding(data []byte, rounds int, found func([]byte) bool) bool {
	if found(data) {
		return true
	}
	if rounds == 0 {
		return false
	}
	if decoded, changed := decodePercent(data); changed && anyDecoding(decoded, rounds-1, found) {
		return true
	}
	decoded, changed := decodeEscapes(data)
	return changed && anyDecoding(decoded, rounds-1, found)
}

// decodePercent decodes each valid percent-encoded byte and keeps the rest. It reports whether it decoded any.
func decodePercent(data []byte) ([]byte, bool) {
	if bytes.IndexByte(data, '%') < 0 {
		return data, false
	}
	out := make([]byte, 0, len(data))
	changed := false
	for i := 0; i < len(data); i++ {
		if data[i] == '%' && i+2 < len(data) {
			if v, ok := hexValue(data[i+1 : i+3]); ok {
				out = append(out, byte(v))
				changed = true
				i += 2
				continue
			}
		}
		out = append(out, data[i])
	}
	return out, changed
}

// decodeEscapes decodes JSON escapes anywhere in data, inside or outside of strings. It reports whether there were any.
func decodeEscapes(data []byte) ([]byte, bool) {
	if bytes.IndexByte(data, '\\') < 0 {
		return data, false
	}
	out := make([]byte, 0, len(data))
	for i := 0; i < len(data); i++ {
		if data[i] != '\\' || i+1 == len(data) {
			out = append(out, data[i])
			continue
		}
		i++
		if data[i] == 'u' && i+4 < len(data) {
			if v, ok := hexValue(data[i+1 : i+5]); ok {
				out = utf8.AppendRune(out, rune(v))
				i += 4
				continue
			}
		}
		out = append(out, unescaped(data[i]))
	}
	return out, true
}

func unescaped(c byte) byte {
	switch c {
	case 'n':
		return '\n'
	case 't':
		return '\t'
	case 'r':
		return '\r'
	case 'b':
		return '\b'
	case 'f':
		return '\f'
	}
	return c
}

func hexValue(digits []byte) (int, bool) {
	v := 0
	for _, c := range digits {
		switch {
		case c >= '0' && c <= '9':
			v = v<<4 | int(c-'0')
		case c >= 'a' && c <= 'f':
			v = v<<4 | int(c-'a'+10)
		case c >= 'A' && c <= 'F':
			v = v<<4 | int(c-'A'+10)
		default:
			return 0, false
		}
	}
	return v, true
}
