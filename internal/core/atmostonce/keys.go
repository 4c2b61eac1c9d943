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

// IssuedPrefix is the prefix of the IDs issued by the system.
const IssuedPrefix = "op_"

// Errors of key parsing.
var (
	// ErrMalformedKey reports a key that is neither a UUIDv7 nor an id issued by the system.
	ErrMalformedKey = errors.New("the key is neither a UUIDv7 nor an id issued by POST /v1/operations")
	// ErrNotIssued reports an ID in the form of an issued one whose MAC is wrong or that was issued for another organisation.
	ErrNotIssued = errors.New("the operation id was not issued for this organisation")
)

// macBytes is the length of truncated MACs. With 128 bits, forged and colliding values are practically impossible.
const macBytes = 16

// minSecretBytes is the minimum length of a cluster secret.
const minSecretBytes = 16

// Secrets are the cluster secrets. The first one signs new values, all are accepted. There are two during a rotation.
type Secrets struct {
	secrets [][]byte
	ids     []uint32
}

// NewSecrets returns the secrets, the signing one first. It fails if there are none or one is too short.
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

// SigningID returns the ID of the signing secret, which log entries carry.
func (s *Secrets) SigningID() uint32 { return s.ids[0] }

// Known reports whether one of the secrets has the ID.
func (s *Secrets) Known(id uint32) bool {
	for _, k := range s.ids {
		if k == id {
			return true
		}
	}
	return false
}

// Idents identifies a request under each secret, the signing one first. digest is the result of Digest.
func (s *Secrets) Idents(organisation, key string, digest [32]byte) []Ident {
	idents := make([]Ident, len(s.secrets))
	for i, b := range s.secrets {
		copy(idents[i].Key[:], mac(b, "record-key", organisation, key))
		copy(idents[i].Body[:], mac(b, "record-body", organisation, string(digest[:])))
	}
	return idents
}

// mac returns the HMAC-SHA-256 of the length-prefixed parts. The first part says what the MAC is used for.
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

// Digest returns a hash of a request. Two requests with the same key count as the same if their hashes are equal.
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

// IssuedIdent identifies a request with an issued ID. It needs no secret, since the records of issued IDs are not stored.
func IssuedIdent(id string, digest [32]byte) Ident {
	k := sha256.Sum256([]byte(id))
	return Ident{Key(k[:macBytes]), Body(digest[:macBytes])}
}

// ParsedKey is a valid value of the Idempotency-Key header.
type ParsedKey struct {
	Canonical string            // the same for all spellings of a key
	Time      int64             // Unix milliseconds
	Issued    *wire.OperationID // nil unless the key is an issued ID
}

// ParseKey parses a key of an organisation. The error is ErrMalformedKey or ErrNotIssued.
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

// IssueID returns the text form of an ID, with a MAC made with the signing secret.
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
	if !s.verify(body, sum) {
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

// verify reports whether sum is the MAC of body under one of the secrets.
func (s *Secrets) verify(body, sum []byte) bool {
	ok := false
	for _, b := range s.secrets {
		if hmac.Equal(sum, mac(b, "operation-id", string(body))[:macBytes]) {
			ok = true
		}
	}
	return ok
}
