package limits

import (
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/ratelimit"
)

// configuration presents a view to the ledger. It is immutable.
type configuration struct {
	view    configsync.View
	regions []ratelimit.Region
	settled int64 // previous terms up to this revision have ended everywhere
	pending int64 // latest revision that replaced terms in view, 0 if none did
}

var _ ratelimit.Configuration = (*configuration)(nil)

// newConfiguration replaces a configuration, which is nil at first.
func newConfiguration(before *configuration, view configsync.View, settled int64) *configuration {
	if before != nil && before.view == view {
		c := *before
		c.settled = settled
		return &c
	}
	c := &configuration{view: view, settled: settled}
	for _, r := range view.General().Regions {
		c.regions = append(c.regions, ratelimit.Region{Name: r.Name, Slots: r.Slots})
	}
	view.Organisations(func(o *config.Organisation) bool {
		for _, p := range o.Previous {
			c.pending = max(c.pending, p.Revision)
		}
		return true
	})
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
	org := ratelimit.Organisation{Name: name, Current: ratelimit.Limits{
		Rate: declared.Rate, Burst: declared.Burst, Home: declared.Home, Split: declared.Split,
	}}
	for _, p := range declared.Previous {
		if p.Revision > c.settled {
			org.Previous = append(org.Previous, ratelimit.Limits{Rate: p.Rate, Burst: p.Burst, Home: p.Home, Split: p.Split})
		}
	}
	return org, true
}
