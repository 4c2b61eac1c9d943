package residency

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against data of an organisation with a home region that is served outside of it or sent out of it, and against a
// request that is forwarded twice.
func TestDecideKeepsBoundDataAtHome(t *testing.T) {
	regions := []string{"", "lima", "arequipa", "cusco"}
	rapid.Check(t, func(t *rapid.T) {
		r := Request{
			HomeRegion:       rapid.SampledFrom(regions).Draw(t, "home"),
			LocalRegion:      rapid.SampledFrom(regions[1:]).Draw(t, "here"),
			ForwardedFrom:    rapid.SampledFrom(regions).Draw(t, "from"),
			HomeBoundService: rapid.Bool().Draw(t, "bound service"),
		}
		d := Decide(r)
		if r.HomeRegion != "" && r.HomeRegion != r.LocalRegion && (d.MayServe || d.MayForward || d.RedirectRegion != r.HomeRegion) {
			t.Fatalf("%+v: %+v", r, d)
		}
		if d.MayForward && (r.HomeRegion != "" || r.ForwardedFrom != "" || r.HomeBoundService) {
			t.Fatalf("%+v may be forwarded: %+v", r, d)
		}
		if r.HomeBoundService && r.ForwardedFrom != "" && r.ForwardedFrom != r.LocalRegion && d.MayServe {
			t.Fatalf("%+v is served although it was forwarded", r)
		}
		if r.HomeRegion == "" && r.ForwardedFrom == "" && !d.MayServe {
			t.Fatalf("%+v is rejected without a reason", r)
		}
	})
}
