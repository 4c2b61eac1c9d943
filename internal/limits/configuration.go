package limits

import (
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
)

// configuration presents a view to the ledger. It is immutable.
type configuration struct {
	view     configsync.View
	regions  []ratelimit.Region
	reported int64 // every slot owner has this revision
}

var _ ratelimit.Configuration = (*configuration)(nil)

func newConfiguration(view configsync.View, reported int64) *configuration {
	c := &configuration{view: view, reported: reported}
	for _, r := range view.General().Regions {
		c.regions = append(c.regions, ratelimit.Region{Name: r.Name, Slots: r.Slots})
	}
	return c
}

// Revision is the view's revision.
func (c *configuration) Revision() int64 { return c.view.Revision() }

// Regions returns the declared regions.
func (c *configuration) Regions() []ratelimit.Region { return c.regions }

// Organisation returns an organisation with those previous terms that some slot owner may still use.
func (c *configuration) Organisation(name string) (ratelimit.Organisation, bool) {
	declared := c.view.Organisation(name)
	if declared == nil {
		return ratelimit.Organisation{}, false
	}
	org := ratelimit.Organisation{Name: name, Current: ratelimit.Terms{
		Rate: declared.Rate, Burst: declared.Burst, Home: declared.Home, Split: declared.Split,
	}}
	for _, p := range declared.Previous {
		if p.Revision > c.reported {
			org.Previous = append(org.Previous, ratelimit.Terms{Rate: p.Rate, Burst: p.Burst, Home: p.Home, Split: p.Split})
		}
	}
	return org, true
}
