package configview

import (
	"dogwoodknot.example/dogwoodknot/internal/config"
)

// View is an immutable snapshot of the configuration in force.
type View struct {
	head      *Head // nil before the first revision
	general   *config.Config
	shards    [Shards]map[string]*config.Organisation // organisations by name
	keys      *buckets[storedKey]                     // by id
	withdrawn *buckets[struct{}]                      // ids of withdrawn keys
	count     int                                     // number of organisations
	// withdrawnDigest is the exclusive or of the hashes of the withdrawn ids.
	withdrawnDigest uint64
}

// Empty returns the view before the first revision.
func Empty() *View {
	return &View{general: new(config.Config), keys: new(buckets[storedKey]), withdrawn: new(buckets[struct{}])}
}

// Revision returns the revision in force, 0 before the first.
func (v *View) Revision() int64 {
	if v.head == nil {
		return 0
	}
	return v.head.Revision
}

// Head returns the head of the revision in force, nil before the first revision. It must not be changed.
func (v *View) Head() *Head { return v.head }

// General returns regions, models, endpoints, services and routes; its Organisations field is empty.
func (v *View) General() *config.Config { return v.general }

// Organisation returns an organisation by name, or nil.
func (v *View) Organisation(name string) *config.Organisation { return v.shards[ShardOf(name)][name] }

// Organisations calls f for each organisation until f returns false.
func (v *View) Organisations(f func(*config.Organisation) bool) {
	for _, shard := range v.shards {
		for _, o := range shard {
			if !f(o) {
				return
			}
		}
	}
}

// Count returns the number of organisations.
func (v *View) Count() int { return v.count }

// Authenticate checks a presented key (dk_<id>_<secret>) in constant time with respect to the secret.
// id is the key's id if the key has the right form, and org is nil unless the status is KeyValid.
func (v *View) Authenticate(key string) (org *config.Organisation, id string, status KeyStatus) {
	id, secret, ok := splitKey(key)
	if !ok {
		return nil, "", KeyUnknown
	}
	ref, known := v.keys.get(id)
	if !known {
		return nil, id, v.unknownKeyStatus(id)
	}
	if !ref.matches(secret) {
		return nil, id, KeyUnknown
	}
	if v.KeyWithdrawn(id) {
		return nil, id, KeyWithdrawn
	}
	org = v.Organisation(ref.organisation)
	if org == nil {
		return nil, id, KeyUnknown
	}
	return org, id, KeyValid
}

// unknownKeyStatus distinguishes keys of revisions that this view does not include yet from keys that do not exist.
func (v *View) unknownKeyStatus(id string) KeyStatus {
	switch {
	case v.KeyWithdrawn(id):
		return KeyWithdrawn
	case KeyRevision(id) > v.Revision():
		return KeyNewer
	}
	return KeyUnknown
}

// KeyWithdrawn reports whether the key id is withdrawn, for connections that were authenticated earlier.
func (v *View) KeyWithdrawn(id string) bool {
	_, ok := v.withdrawn.get(id)
	return ok
}

// KeyLive reports whether the key id exists and is not withdrawn.
func (v *View) KeyLive(id string) bool {
	_, ok := v.keys.get(id)
	return ok && !v.KeyWithdrawn(id)
}
