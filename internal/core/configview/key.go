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

// String returns the name of the status.
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

// keyPrefix is the start of each caller's key.
const keyPrefix = "dk_"

// maxKeyLength limits the length of a presented key, and so the cost of checking it. Issued keys have fewer than 100
// bytes.
const maxKeyLength = 256

// FormatKey returns the key that a caller presents.
func FormatKey(id, secret string) string { return keyPrefix + id + "_" + secret }

// FormatKeyID returns the id of a key that is issued at a revision. random distinguishes the keys of a revision.
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

// splitKey splits a presented key into its id and secret. ok is false if the key does not have the right form.
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

// HashSecret returns the digest that is stored in place of a secret. A slow hash is not needed, because secrets are random
// 256-bit values.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// storedKey is a key as a view stores it, with the digest of its secret.
type storedKey struct {
	organisation string
	sum          [sha256.Size]byte
}

// newStoredKey returns a declared key in the form that a view stores. ok is false if the key's digest is malformed.
func newStoredKey(organisation string, key config.Key) (ref storedKey, ok bool) {
	ref.organisation = organisation
	n, err := hex.Decode(ref.sum[:], []byte(key.SHA256))
	return ref, err == nil && n == len(ref.sum)
}

// matches reports whether the key has the given secret, in constant time with respect to the secret.
func (r storedKey) matches(secret string) bool {
	sum := sha256.Sum256([]byte(secret))
	return subtle.ConstantTimeCompare(sum[:], r.sum[:]) == 1
}
