package residency

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against bound data that is served outside its home or sent out of it, and against a second crossing.
func TestDecideKeepsBoundDataAtHome(t *testing.T) {
	regions := []string{"", "lima", "arequipa", "cusco"}
	rapid.Check(t, func(t *rapid.T) {
		r := Request{
			Home:             rapid.SampledFrom(regions).Draw(t, "home"),
			Here:             rapid.SampledFrom(regions[1:]).Draw(t, "here"),
			From:             rapid.SampledFrom(regions).Draw(t, "from"),
			HomeBoundService: rapid.Bool().Draw(t, "bound service"),
		}
		d := Decide(r)
		if r.Home != "" && r.Home != r.Here && (d.Serve || d.Cross || d.Region != r.Home) {
			t.Fatalf("%+v: %+v", r, d)
		}
		if d.Cross && (r.Home != "" || r.From != "" || r.HomeBoundService) {
			t.Fatalf("%+v may cross: %+v", r, d)
		}
		if r.HomeBoundService && r.From != "" && r.From != r.Here && d.Serve {
			t.Fatalf("%+v is served after it crossed", r)
		}
		if r.Home == "" && r.From == "" && !d.Serve {
			t.Fatalf("%+v is refused without a reason", r)
		}
	})
}
