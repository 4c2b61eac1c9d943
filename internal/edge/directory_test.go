package edge

import (
	"slices"
	"testing"
)

// Guards against callers who are sent to a region in which their home-bound bodies must not be, while an instance of their own
// region or of a home still takes requests (found when all instances were stopped in turn, 2 s apart), and against a region
// whose callers have nobody to ask.
func TestResolve(t *testing.T) {
	homes := func(region string) int { return map[string]int{"north": 1, "centre": 1}[region] }
	none := func(string) int { return 0 }
	for name, tc := range map[string]struct {
		candidates []candidate
		homes      func(string) int
		want       []string
	}{
		"own region": {[]candidate{{"a", "north", serving}, {"b", "north", serving}, {"c", "centre", serving}}, homes, []string{"a", "b"}},
		"home region instead": {[]candidate{{"a", "north", unheard}, {"c", "centre", serving}, {"d", "south", serving}}, homes,
			[]string{"c"}},
		"departing before a region that is no home": {[]candidate{{"a", "north", departing}, {"c", "centre", departing}, {"d", "south", serving}}, homes,
			[]string{"a"}},
		"departing home before a region that is no home": {[]candidate{{"c", "centre", departing}, {"d", "south", serving}}, homes, []string{"c"}},
		"unbound routes go to any serving instance": {[]candidate{{"a", "north", departing}, {"c", "centre", serving}, {"d", "south", serving}}, none,
			[]string{"c", "d"}},
		"silent ones rather than nobody": {[]candidate{{"a", "north", unheard}, {"c", "centre", unsuitable}}, none, []string{"a"}},
		"nobody":                         {[]candidate{{"a", "north", unsuitable}}, none, nil},
	} {
		if got := resolve(slices.Clone(tc.candidates), "north", tc.homes); !slices.Equal(got, tc.want) {
			t.Errorf("%s: %v, want %v", name, got, tc.want)
		}
	}
}
