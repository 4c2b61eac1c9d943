package serving

import (
	"net/http"

	"dogwoodknot.example/dogwoodknot/internal/load"
	"dogwoodknot.example/dogwoodknot/internal/site"
)

// callers are the organisations' clients: each region's use the instances of their region first, then the others, except
// those of a bound organisation.
type callers struct {
	clients map[string]*http.Client
	byPlace map[string][]string
	homes   map[string]string
}

func newCallers(s *site.Site) *callers {
	c := &callers{clients: make(map[string]*http.Client), byPlace: make(map[string][]string), homes: s.Homes()}
	for _, i := range s.Instances {
		region := i.Place.Region
		c.byPlace[region] = append(c.byPlace[region], i.URL())
		if c.clients[region] == nil {
			c.clients[region] = s.Client(region)
		}
	}
	return c
}

func (c *callers) client(s *load.Stream) *http.Client { return c.clients[s.Region] }

// entries spreads the organisations over the instances of their region.
func (c *callers) entries(s *load.Stream, n int) []string {
	local := c.byPlace[s.Region]
	out := make([]string, 0, len(local))
	for k := range local {
		out = append(out, local[(k+n)%len(local)])
	}
	if c.homes[s.Organisation] != "" {
		return out
	}
	for region, urls := range c.byPlace {
		if region != s.Region {
			out = append(out, urls...)
		}
	}
	return out
}
