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

// Checks that a declaration with mistakes is rejected, and that the error lists all of them.
func TestFindings(t *testing.T) {
	d := sample()
	d.Routes[0].Prefix = "x/"
	d.Routes[1].Targets[0].Service = "absent"
	d.Organisations = append(d.Organisations, &Organisation{Name: "p", Keys: []string{"k"}})
	_, err := New(d)
	if err == nil {
		t.Fatal("declaration with mistakes is accepted")
	}
	for _, part := range []string{`routes[0] "short"`, `routes[1] "long"`, `organisations[1] "p"`} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("%q is not reported in %v", part, err)
		}
	}
}
