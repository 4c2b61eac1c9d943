package members

import (
	"maps"
	"slices"

	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// EndpointLeaving reports whether the list in force shows an endpoint as leaving. It needs no lock. Endpoints come with
// the same reads of the list as the entry instances: 990 rows are too much for each instance to read by itself.
func (s *Service) EndpointLeaving(name string) bool {
	return (*s.endpoints.Load())[name]
}

func leavingEndpoints(rows []platform.ListedInstance) []string {
	var names []string
	for _, row := range rows {
		if row.Kind == platform.KindEndpoint && row.State == platform.StateLeaving {
			names = append(names, row.Name)
		}
	}
	return names
}

// setLeavingEndpoints is called under mu.
func (s *Service) setLeavingEndpoints(names []string) {
	next := make(map[string]bool, len(names))
	for _, name := range names {
		next[name] = true
	}
	s.endpoints.Store(&next)
}

// endpointNames returns the leaving endpoints in order of their names.
func (s *Service) endpointNames() []string {
	return slices.Sorted(maps.Keys(*s.endpoints.Load()))
}
