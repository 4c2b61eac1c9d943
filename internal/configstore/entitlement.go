package configstore

import (
	"maps"
	"slices"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
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
func previousOf(old *configview.ShardOrganisation, removed []config.Entitlement, o *config.Organisation,
	oldRegions, regions []config.Region, revision, inForce int64) []config.Entitlement {
	if old == nil {
		return pending(removed, inForce)
	}
	previous := pending(old.Previous, inForce)
	before := entitlementOf(&old.Organisation, oldRegions, revision)
	after := entitlementOf(o, regions, revision)
	if shifts(before, after) {
		previous = append(previous, before)
	}
	return previous
}

// shifts reports whether a change may lower the entitlement of some slots and raise that of others.
//
// How many slots of a region an organisation is spread over depends on its rate. So a change of a region's rate may move
// tokens between its slots in either direction, even if the region's total only grows; only burst changes in one
// direction, with rates unchanged, are certain to be pure.
func shifts(before, after config.Entitlement) bool {
	if before.Rate == after.Rate && maps.Equal(parts(before), parts(after)) {
		return false
	}
	return true
}

func parts(e config.Entitlement) map[string]float64 {
	if e.Home != "" {
		return map[string]float64{e.Home: 1}
	}
	return e.Split
}
