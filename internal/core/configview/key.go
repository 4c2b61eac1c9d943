package configview

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strconv"
	"strings"

	"dogwoodknot.example/dogwoodknot/internal/config"
)

// KeyStatus is the result of checking a caller's key against a view.
type KeyStatus int

// Results of View.Authenticate.
const (
	// KeyUnknown means that no such key exists at the view's revision.
	KeyUnknown KeyStatus = iota
	// KeyValid means that the key belongs to the returned organisation.
	KeyValid
	// KeyWithdrawn means that the key was withdrawn.
	KeyWithdrawn
	// KeyNewer means that the key was issued at a revision this instance has not seen yet: the caller may retry.
	KeyNewer
)

// String names the status.
func (s KeyStatus) String() string {
	switch s {
	case KeyValid:
		return "valid"
	case KeyWithdrawn:
		return "withdrawn"
	case KeyNewer:
		return "newer"
	}
	return "unknown"
}

// keyPrefix starts every caller's key.
const keyPrefix = "dk_"

// maxKeyLength bounds the work on a presented key. Issued keys have under 100 bytes.
const maxKeyLength = 256

// FormatKey returns the text that a caller presents.
func FormatKey(id, secret string) string { return keyPrefix + id + "_" + secret }

// FormatKeyID returns the id of a key that is issued at a revision. random tells keys of one revision apart.
func FormatKeyID(revision int64, random string) string {
	return strconv.FormatInt(revision, 10) + "-" + random
}

// KeyRevision returns the revision at which a key was issued, or 0 if the id does not start with one.
func KeyRevision(id string) int64 {
	digits, _, ok := strings.Cut(id, "-")
	if !ok {
		return 0
	}
	revision, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || revision < 0 {
		return 0
	}
	return revision
}

// splitKey takes a presented key apart.
func splitKey(key string) (id, secret string, ok bool) {
	if len(key) > maxKeyLength {
		return "", "", false
	}
	rest, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return "", "", false
	}
	id, secret, ok = strings.Cut(rest, "_")
	return id, secret, ok && id != "" && secret != ""
}

// HashSecret returns the digest that is kept of a secret. Secrets are random 256-bit values, so that no slow hash is needed.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// keyRef is a key as a view keeps it.
type keyRef struct {
	organisation string
	sum          [sha256.Size]byte
}

func newKeyRef(organisation string, key config.Key) (ref keyRef, ok bool) {
	ref.organisation = organisation
	n, err := hex.Decode(ref.sum[:], []byte(key.SHA256))
	return ref, err == nil && n == len(ref.sum)
}

// matches compares in constant time with respect to the secret.
func (r keyRef) matches(secret string) bool {
	sum := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare(sum[:], r.sum[:]) == 1
}
