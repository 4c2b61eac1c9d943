package gateway

import (
	"bytes"
	"unicode/utf8"

	"dogwoodknot.example/dogwoodknot/internal/configsync"
)

// secretRounds is the number of nested encodings that are looked through, such as a percent-encoded string in JSON in JSON.
const secretRounds = 3

// containsSecret reports whether data holds the secret: as it is, percent-encoded, in a JSON string with escapes, or in nested
// encodings of both kinds.
func containsSecret(data []byte, secret string) bool {
	if secret == "" {
		return false
	}
	return anyDecoding(data, secretRounds, func(b []byte) bool { return bytes.Contains(b, []byte(secret)) })
}

// containsKey reports whether data holds a key that is valid in the view, whoever's it is, in the same encodings.
func containsKey(data []byte, v configsync.View) bool {
	return anyDecoding(data, secretRounds, func(b []byte) bool { return holdsKey(b, v) })
}

var keyPrefix = []byte("dk_")

// maxKeyBytes is the length above which a text is no key. Without it, a body of prefixes alone would be read once for each.
const maxKeyBytes = 256

// holdsKey checks each text that has the form of a key.
func holdsKey(data []byte, v configsync.View) bool {
	for {
		i := bytes.Index(data, keyPrefix)
		if i < 0 {
			return false
		}
		end := i
		for end < len(data) && keyByte(data[end]) {
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

func keyByte(c byte) bool {
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

// decodePercent replaces each valid percent-encoded byte and leaves all else.
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

// decodeEscapes replaces JSON escapes wherever they stand. Whether they are inside a string does not matter here.
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
