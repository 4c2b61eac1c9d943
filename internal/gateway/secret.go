package gateway

import (
	"bytes"
	"unicode/utf8"
)

// secretRounds is the number of nested encodings that are looked through, such as a percent-encoded string in JSON in JSON.
const secretRounds = 3

// containsSecret reports whether data holds the secret: as it is, percent-encoded, in a JSON string with escapes, or in nested
// encodings of both kinds.
func containsSecret(data []byte, secret string) bool {
	if secret == "" {
		return false
	}
	return searchSecret(data, []byte(secret), secretRounds)
}

func searchSecret(data, secret []byte, rounds int) bool {
	if bytes.Contains(data, secret) {
		return true
	}
	if rounds == 0 {
		return false
	}
	if decoded, changed := decodePercent(data); changed && searchSecret(decoded, secret, rounds-1) {
		return true
	}
	decoded, changed := decodeEscapes(data)
	return changed && searchSecret(decoded, secret, rounds-1)
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
