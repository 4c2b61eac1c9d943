package operations

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"dogwoodknot.example/dogwoodknot/internal/config"
)

// Slots tells which instance owns a slot. It only steers requests: safety rests on the seal in the slot's log.
type Slots interface {
	// Owned returns the slots of this instance's region that this instance owns.
	Owned() []int
	// Owner returns the instance that owns a slot of a region, or false if none is known.
	Owner(region string, slot int) (instance string, ok bool)
	// Subscribe calls f after Owned has changed. The returned function ends it.
	Subscribe(f func()) (cancel func())
}

// RecordRegion returns the region that keeps the records of an organisation's keys.
func RecordRegion(general *config.Config, org *config.Organisation) string {
	if org.Home != "" {
		return org.Home
	}
	if org.RecordsRegion != "" {
		return org.RecordsRegion
	}
	best, region := uint64(0), ""
	for _, r := range general.Regions {
		if r.Slots == 0 {
			continue // its instances own no records
		}
		if h := hash("records-region", org.Name, r.Name); region == "" || h > best {
			best, region = h, r.Name
		}
	}
	return region
}

// RecordSlot returns the slot of the record region that owns a key, by rendezvous hashing.
func RecordSlot(slots int, organisation, key string) int {
	base := hash("records-slot", organisation, key)
	best, slot := uint64(0), 0
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], base)
	for i := range slots {
		binary.BigEndian.PutUint64(b[8:], uint64(i))
		if h := xxhash.Sum64(b[:]); i == 0 || h > best {
			best, slot = h, i
		}
	}
	return slot
}

// hash returns a hash of parts that are told apart by a zero byte, which no name contains.
func hash(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func slotCount(general *config.Config, region string) int {
	for _, r := range general.Regions {
		if r.Name == region {
			return r.Slots
		}
	}
	return 0
}
