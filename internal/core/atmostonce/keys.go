package atmostonce

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// IssuedPrefix starts each id issued by the system.
const IssuedPrefix = "op_"

// Errors of key parsing.
var (
	// ErrMalformedKey reports a key that is neither a UUIDv7 nor an id issued by the system.
	ErrMalformedKey = errors.New("the key is neither a UUIDv7 nor an id issued by POST /v1/operations")
	// ErrNotIssued reports an issued id whose MAC is wrong or that belongs to another organisation.
	ErrNotIssued = errors.New("the operation id was not issued for this organisation")
)

// macBytes is the length of truncated MACs. 128 bits leave no chance for a forged or colliding value.
const macBytes = 16

// minSecretBytes is the shortest cluster secret that is accepted.
const minSecretBytes = 16

// Secrets are the cluster secrets: the first one signs, all are accepted. During rotation there are two.
type Secrets struct {
	secrets [][]byte
	ids     []uint32
}

// NewSecrets checks the secrets.
func NewSecrets(secrets ...[]byte) (*Secrets, error) {
	if len(secrets) == 0 {
		return nil, errors.New("no cluster secret is set")
	}
	s := &Secrets{}
	for i, b := range secrets {
		if len(b) < minSecretBytes {
			return nil, errors.Newf("cluster secret %d has %d bytes, fewer than %d", i+1, len(b), minSecretBytes)
		}
		s.secrets = append(s.secrets, append([]byte(nil), b...))
		s.ids = append(s.ids, binary.BigEndian.Uint32(mac(b, "secret-id")))
	}
	return s, nil
}

// SigningID identifies the secret that signs, for log entries.
func (s *Secrets) SigningID() uint32 { return s.ids[0] }

// Known reports whether one of the secrets has the id.
func (s *Secrets) Known(id uint32) bool {
	for _, k := range s.ids {
		if k == id {
			return true
		}
	}
	return false
}

// Idents returns the names of a request under each secret, the signing one first.
func (s *Secrets) Idents(organisation, key string, digest [32]byte) []Ident {
	idents := make([]Ident, len(s.secrets))
	for i, b := range s.secrets {
		copy(idents[i].Key[:], mac(b, "record-key", organisation, key))
		copy(idents[i].Body[:], mac(b, "record-body", organisation, string(digest[:])))
	}
	return idents
}

// mac returns the HMAC-SHA-256 of length-prefixed parts. The first part separates the uses of a secret.
func mac(secret []byte, parts ...string) []byte {
	h := hmac.New(sha256.New, secret)
	var n [4]byte
	for _, p := range parts {
		binary.BigEndian.PutUint32(n[:], uint32(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return h.Sum(nil)
}

// Digest returns the digest of what makes two requests with a key the same.
func Digest(organisation, method, pathWithQuery, contentType string, body []byte) [32]byte {
	h := sha256.New()
	var n [8]byte
	for _, p := range [...][]byte{[]byte(organisation), []byte(method), []byte(pathWithQuery), []byte(contentType), body} {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	return [32]byte(h.Sum(nil))
}

// IssuedIdent names a request with an issued id. It needs no secret, since these records never reach the store.
func IssuedIdent(id string, digest [32]byte) Ident {
	k := sha256.Sum256([]byte(id))
	return Ident{Key(k[:macBytes]), Body(digest[:macBytes])}
}

// ParsedKey is a checked value of the Idempotency-Key header.
type ParsedKey struct {
	Canonical string // one spelling for equal keys
	Time      int64  // Unix milliseconds
	Issued    *wire.OperationID
}

// ParseKey checks a key of an organisation.
func (s *Secrets) ParseKey(organisation, key string) (ParsedKey, error) {
	if strings.HasPrefix(key, IssuedPrefix) {
		return s.parseIssued(organisation, key)
	}
	const uuidText = 36 // uuid.Parse also takes forms with braces, a URN prefix or no dashes
	if len(key) != uuidText {
		return ParsedKey{}, ErrMalformedKey
	}
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return ParsedKey{}, ErrMalformedKey
	}
	ms := int64(binary.BigEndian.Uint64(u[:8]) >> 16)
	return ParsedKey{Canonical: u.String(), Time: ms}, nil
}

// IssueID returns the text of an id under the signing secret.
func (s *Secrets) IssueID(id *wire.OperationID) (string, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(id)
	if err != nil {
		return "", errors.Wrap(err, "encode operation id")
	}
	b = append(b, mac(s.secrets[0], "operation-id", string(b))[:macBytes]...)
	return IssuedPrefix + base64.RawURLEncoding.EncodeToString(b), nil
}

func (s *Secrets) parseIssued(organisation, key string) (ParsedKey, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(strings.TrimPrefix(key, IssuedPrefix))
	if err != nil || len(b) <= macBytes {
		return ParsedKey{}, ErrMalformedKey
	}
	body, sum := b[:len(b)-macBytes], b[len(b)-macBytes:]
	if !s.signed(body, sum) {
		return ParsedKey{}, ErrNotIssued
	}
	id := &wire.OperationID{}
	if err := proto.Unmarshal(body, id); err != nil {
		return ParsedKey{}, ErrMalformedKey
	}
	if id.GetOrganisation() != organisation {
		return ParsedKey{}, ErrNotIssued
	}
	return ParsedKey{Canonical: key, Time: id.GetIssuedAtMillis(), Issued: id}, nil
}

func (s *Secrets) signed(body, sum []byte) bool {
	ok := false
	for _, b := range s.secrets {
		if hmac.Equal(sum, mac(b, "operation-id", string(body))[:macBytes]) {
			ok = true
		}
	}
	return ok
}
