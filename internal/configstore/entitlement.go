package configstore

import (
	"slices"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
)

// entitlementOf is what an organisation is entitled to before a revision replaces it. Equal parts are written out, since
// they depend on the regions of the time.
func entitlementOf(o *config.Organisation, regions []config.Region, revision int64) config.Entitlement {
	e := config.Entitlement{Revision: revision, Rate: o.Rate, Burst: o.Burst, Home: o.Home}
	if o.Home == "" {
		e.Split = o.Parts(regions)
	}
	return e
}

// pending drops entitlements that every instance has replaced.
func pending(previous []config.Entitlement, inForce int64) []config.Entitlement {
	return slices.DeleteFunc(slices.Clone(previous), func(e config.Entitlement) bool { return e.Revision <= inForce })
}

// previousOf returns the entitlements that holders must still keep to beside the one of o.
//
// A change that lowers some slot is recorded even if it raises none: a later raise of another slot must still keep to what an
// instance that has heard of neither change uses. For the slots themselves the minimum makes no difference then. A pure
// raise records nothing, so that it applies at once.
func previousOf(old *configview.ShardOrganisation, removed []config.Entitlement, o *config.Organisation,
	oldRegions, regions []config.Region, revision, inForce int64) []config.Entitlement {
	if old == nil {
		return pending(removed, inForce)
	}
	previous := pending(old.Previous, inForce)
	if lowers(slotShares(&old.Organisation, oldRegions), slotShares(o, regions)) {
		previous = append(previous, entitlementOf(&old.Organisation, oldRegions, revision))
	}
	return previous
}

func slotShares(o *config.Organisation, regions []config.Region) map[ratelimit.Slot]ratelimit.Share {
	terms := ratelimit.Limits{Rate: o.Rate, Burst: o.Burst, Home: o.Home, Split: o.Split}
	list := make([]ratelimit.Region, len(regions))
	for i, r := range regions {
		list[i] = ratelimit.Region{Name: r.Name, Slots: r.Slots}
	}
	return ratelimit.Entitlements(ratelimit.Organisation{Name: o.Name, Current: terms}, list)
}

// lowers reports whether some slot loses rate or burst.
func lowers(before, after map[ratelimit.Slot]ratelimit.Share) bool {
	for slot, share := range before {
		if next := after[slot]; next.Rate < share.Rate || next.Burst < share.Burst {
			return true
		}
	}
	return false
}
