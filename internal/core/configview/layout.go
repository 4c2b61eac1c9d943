// Package configview decides which configurations an instance accepts and builds the immutable view that requests are
// checked against. It also defines the layout of a configuration in the store.
//
// A configuration consists of a general part and 256 shards of organisations, each stored under the digest of its
// content, and of a head that lists these digests.
package configview

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/config"
)

// Shards is the number of shards that organisations are divided into.
const Shards = 256

// ShardOf returns the shard of an organisation.
func ShardOf(organisation string) int { return int(xxhash.Sum64String(organisation) % Shards) }

// Digest identifies content by its SHA-256 in hexadecimal. The empty digest stands for empty content.
type Digest string

// DigestOf returns the digest of content.
func DigestOf(content []byte) Digest {
	if len(content) == 0 {
		return ""
	}
	sum := sha256.Sum256(content)
	return Digest(hex.EncodeToString(sum[:]))
}

// Head describes a revision and lists the digests of its content.
type Head struct {
	Revision int64          `json:"revision"`
	Parent   int64          `json:"parent"` // revision that this one was derived from, 0 for the first
	General  Digest         `json:"general"`
	Shards   [Shards]Digest `json:"shards"`
	Author   string         `json:"author"`
	Note     string         `json:"note,omitempty"`
	Time     time.Time      `json:"time"`
	// Token is unique to the write, so that a writer that received no answer can recognise its own head.
	Token       string `json:"token"`
	ParentToken string `json:"parent_token,omitempty"`
	// Restores is the revision whose declarations a rollback has restored, 0 otherwise.
	Restores int64 `json:"restores,omitempty"`
}

// Shard contains a part of the organisations, in order of their names.
type Shard struct {
	Organisations []ShardOrganisation `json:"organisations,omitempty"`
	// Withdrawn contains the ids of withdrawn keys, sorted. Ids are never removed.
	Withdrawn []string `json:"withdrawn,omitempty"`
	// Removed contains the removed organisations whose last entitlement some instance may still apply, by name.
	Removed []RemovedOrganisation `json:"removed,omitempty"`
}

// ShardOrganisation is an organisation with the keys that were issued to it.
type ShardOrganisation struct {
	config.Organisation
	Issued []config.Key `json:"issued,omitempty"`
}

// RemovedOrganisation keeps the entitlements of a removed organisation, in case it is declared again.
type RemovedOrganisation struct {
	Name     string               `json:"name"`
	Previous []config.Entitlement `json:"previous"`
}

// IsEmpty reports whether the shard has no content.
func (s *Shard) IsEmpty() bool {
	return len(s.Organisations) == 0 && len(s.Withdrawn) == 0 && len(s.Removed) == 0
}

// Encode returns the content of the shard, which is empty for an empty shard. Equal shards have equal content. Encode
// sorts the lists of the shard.
func (s *Shard) Encode() ([]byte, error) {
	if s.IsEmpty() {
		return nil, nil
	}
	slices.SortFunc(s.Organisations, func(a, b ShardOrganisation) int { return cmpString(a.Name, b.Name) })
	slices.SortFunc(s.Removed, func(a, b RemovedOrganisation) int { return cmpString(a.Name, b.Name) })
	slices.Sort(s.Withdrawn)
	s.Withdrawn = slices.Compact(s.Withdrawn)
	return json.Marshal(s)
}

func cmpString(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// DecodeShard decodes the content of a shard.
func DecodeShard(content []byte) (*Shard, error) {
	s := new(Shard)
	if len(content) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(content, s); err != nil {
		return nil, errors.Wrap(err, "decode shard")
	}
	return s, nil
}

// EncodeGeneral returns the content of the general part, which is everything except the organisations.
func EncodeGeneral(cfg *config.Config) ([]byte, error) {
	general := *cfg
	general.Organisations = nil
	return json.Marshal(&general)
}

// DecodeGeneral decodes the content of the general part.
func DecodeGeneral(content []byte) (*config.Config, error) {
	cfg := new(config.Config)
	if len(content) == 0 {
		return cfg, nil
	}
	if err := json.Unmarshal(content, cfg); err != nil {
		return nil, errors.Wrap(err, "decode general part")
	}
	return cfg, nil
}

// DecodeHead decodes a head. It returns an error if the revision is not positive.
func DecodeHead(content []byte) (*Head, error) {
	h := new(Head)
	if err := json.Unmarshal(content, h); err != nil {
		return nil, errors.Wrap(err, "decode head")
	}
	if h.Revision <= 0 {
		return nil, errors.Newf("head has the revision %d, which is not above 0", h.Revision)
	}
	return h, nil
}

// Encode returns the content of the head.
func (h *Head) Encode() ([]byte, error) { return json.Marshal(h) }
