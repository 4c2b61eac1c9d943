package catalog

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

func sample() Declaration {
	return Declaration{
		Version:  1,
		Services: []*Service{{Name: "a"}, {Name: "b"}},
		Routes: []*Route{
			{Name: "short", Host: "h.example", Prefix: "/x/", Targets: []Target{{Service: "a", Weight: 1}}, HomeRegions: []string{"north", "centre"}},
			{Name: "long", Host: "H.example", Prefix: "/x/y/", Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}},
		},
		Organisations: []*Organisation{{Name: "o", Keys: []string{"k"}, CountTokens: true, DefaultTokens: 200, HomeRegions: []string{"centre"}}},
	}
}

func build(t *testing.T, d Declaration) *Configuration {
	t.Helper()
	c, err := New(d)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Checks that a request takes the route with the longest prefix, and never one of another host.
func TestMatch(t *testing.T) {
	c := build(t, sample())
	for request, want := range map[string]string{
		"h.example /x/1": "short", "h.example:8080 /x/y/1": "long", "H.EXAMPLE /x/y/": "long", "h.example /x": "", "other /x/1": "",
		"h.example /xy/": "",
	} {
		host, path, _ := strings.Cut(request, " ")
		got := ""
		if r := c.Match(host, path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s: route %q, want %q", request, got, want)
		}
	}
}

// Checks that the split follows the weights, and that a request and its retry go to the same service.
func TestSplit(t *testing.T) {
	r := build(t, sample()).Match("h.example", "/x/y/")
	n := 0
	for i := range 10000 {
		id := fmt.Sprintf("%016x", i)
		service := r.Service(id)
		if service != r.Service(id) {
			t.Fatalf("request %s goes to two services", id)
		}
		if service == "b" {
			n++
		}
	}
	if n < 900 || n > 1100 {
		t.Errorf("%d of 10000 requests go to a service with a tenth of the weight", n)
	}
}

// Checks that a region serves a request only if the home regions of both route and organisation allow it.
func TestHomes(t *testing.T) {
	c := build(t, sample())
	r, o := c.Match("h.example", "/x/1"), c.OrganisationByKey("k")
	if homes, bound := AllowedRegions(r, o); !bound || !slices.Equal(homes, []string{"centre"}) {
		t.Errorf("homes of both: %v", homes)
	}
	if homes, bound := AllowedRegions(r, nil); !bound || len(homes) != 2 {
		t.Errorf("homes of the route: %v", homes)
	}
	elsewhere := &Organisation{HomeRegions: []string{"south"}}
	if homes, bound := AllowedRegions(r, elsewhere); !bound || len(homes) != 0 {
		t.Errorf("homes without a common region: %v, bound %v", homes, bound)
	}
	if n := c.CountHomeRoutes("h.example", "north"); n != 1 {
		t.Errorf("%d home-bound routes of the host are served in the north, want 1", n)
	}
}

// Guards against a mistake that keeps more out of force than what it concerns, or that is not reported.
func TestFindingsKeepTheRestInForce(t *testing.T) {
	d := sample()
	d.Services = append(d.Services, &Service{Name: "a", ColdRate: 9}, &Service{Name: ""}, &Service{Name: "cold", ColdRate: -1, Engine: &Engine{Slots: 0, KVCacheTokens: 5}})
	d.Routes[1].Targets[0].Service = "absent"
	d.Services = append(d.Services, nil)
	public := []Target{{Service: "a", Weight: 1}}
	d.Routes = append(d.Routes, &Route{Name: "relative", Host: "h.example", Prefix: "x/", Targets: public},
		&Route{Name: "bare", Host: "h.example", Prefix: "/bare", Targets: public},
		nil, &Route{Name: "gone", Host: "h.example", Prefix: "/weight/", Unusable: true}, &Route{Name: "gone", Host: "h.example", Prefix: "/x/gone/", Targets: []Target{{Service: "absent", Weight: 1}}},
		&Route{Name: "weight", Host: "h.example", Prefix: "/weight/", Targets: []Target{{Service: "a", Weight: -3}, {Service: "b", Weight: 1}}})
	d.Organisations = append(d.Organisations, &Organisation{Name: "p", Keys: []string{"", "k", "l", "l"}}, &Organisation{Name: "o", Keys: []string{"m"}},
		&Organisation{Name: "negative", Keys: []string{"n"}, Rate: -1}, &Organisation{Keys: []string{"nameless"}})
	c := build(t, d)
	wanted := []string{`services[2] "a"`, `services[3] ""`, `services[4] "cold"`, `services[4] "cold"`, `routes[1] "long"`, `routes[2] "relative"`, `routes[3] "bare"`,
		`routes[6] "gone"`, `routes[6] "gone"`, `routes[7] "weight"`, `organisations[1] "p"`, `organisations[1] "p"`, `organisations[2] "o"`,
		`organisations[3] "negative"`, `organisations[4] ""`}
	if len(c.Findings) != len(wanted) {
		t.Errorf("%d findings, want %d: %v", len(c.Findings), len(wanted), c.Findings)
	}
	for i, finding := range c.Findings {
		if text := finding.Error(); i < len(wanted) && !strings.Contains(text, wanted[i]) {
			t.Errorf("finding %d is %q, want one of %s", i, text, wanted[i])
		} else if strings.Contains(text, `"k"`) || strings.Contains(text, `"l"`) {
			t.Errorf("a finding shows a key: %q", text)
		}
	}
	for key, want := range map[string]string{"k": "o", "l": "p", "m": "o", "n": "", "": "", "nameless": ""} {
		got := ""
		if o := c.OrganisationByKey(key); o != nil {
			got = o.Name
		}
		if got != want {
			t.Errorf("key %q belongs to organisation %q, want %q", key, got, want)
		}
	}
	for path, want := range map[string]string{"/x/1": "a", "/x/y/1": "b", "/bare/1": "a", "/x/gone/1": "unusable", "/weight/1": "b"} {
		got := "none"
		switch r := c.Match("h.example", path); {
		case r != nil && r.Unusable:
			got = "unusable"
		case r != nil:
			got = r.Service("id")
		}
		if got != want {
			t.Errorf("requests to %s are served by %s, want %s", path, got, want)
		}
	}
	if s := c.Service("cold"); s.ColdRate != 0 || s.Engine != nil {
		t.Errorf("service with mistakes is %+v", s)
	}
}

// Guards against a declaration whose routes mean nothing: it must not end the service, and not keep a withdrawn key in force either.
func TestRoutesRemainIfNoDeclaredOneCanBeUsed(t *testing.T) {
	before, d := build(t, sample()), sample()
	d.Services, d.Organisations[0].Keys = nil, []string{"new"}
	next := build(t, d).Following(before)
	if r := next.Match("h.example", "/x/1"); r == nil || r.Unusable || next.Service("a") == nil {
		t.Errorf("route %+v, service %v", r, next.Service("a"))
	}
	if next.OrganisationByKey("k") != nil || next.OrganisationByKey("new") == nil {
		t.Error("the keys of the version before are in force")
	}
	for i, want := range []string{`routes[0] "short"`, `routes[0] "short"`, `routes[1] "long"`, `routes[1] "long"`, `routes[1] "long"`, "no declared route"} {
		if text := next.Findings[i].Error(); !strings.Contains(text, want) {
			t.Errorf("finding %d is %q, want one of %s", i, text, want)
		}
	}
	if r := build(t, d).Following(nil).Match("h.example", "/x/1"); r == nil || !r.Unusable {
		t.Errorf("at a start, the route is %+v", r)
	}
	d.Version = -1
	if c, err := New(d); err == nil {
		t.Errorf("a declaration without a version is accepted as %+v", c)
	}
}
