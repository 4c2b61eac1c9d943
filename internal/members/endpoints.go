package members

import (
	"maps"
	"slices"

	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// EndpointLeaving reports whether the current list shows an endpoint as leaving. It takes no lock. Endpoints are read with
// the entry instances, by one instance for its region: 990 rows are too many for each instance to read by itself.
func (s *Service) EndpointLeaving(name string) bool {
	return (*s.leavingEndpoints.Load())[name]
}

func leavingEndpointsOf(rows []platform.ListedInstance) []string {
	var names []string
	for _, row := range rows {
		if row.Kind == platform.KindEndpoint && row.State == platform.StateLeaving {
			names = append(names, row.Name)
		}
	}
	return names
}

// setLeavingEndpoints replaces the set of leaving endpoints. The caller holds mu.
func (s *Service) setLeavingEndpoints(names []string) {
	next := make(map[string]bool, len(names))
	for _, name := range names {
		next[name] = true
	}
	s.leavingEndpoints.Store(&next)
}

// leavingEndpointNames returns the names of the leaving endpoints in sorted order.
func (s *Service) leavingEndpointNames() []string {
	return slices.Sorted(maps.Keys(*s.leavingEndpoints.Load()))
}
