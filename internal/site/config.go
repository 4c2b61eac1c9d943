package site

import (
	"fmt"
	"strings"

	"dogwoodknot.example/dogwoodknot/internal/config"
)

// base returns the base declaration: regions, models, services, routes and organisations.
func (o Options) base() config.File {
	var b strings.Builder
	b.WriteString("regions:\n")
	for _, r := range o.Regions {
		fmt.Fprintf(&b, "  - name: %s\n    data_centres: [%s]\n    slots: %d\n", r.Name, strings.Join(r.DataCentres, ", "), r.Instances)
	}
	fmt.Fprintf(&b, "platform:\n  removal_final: %v\n", o.RemovalFinal)
	fmt.Fprintf(&b, "models:\n  - name: %s\n    version: \"1\"\n    context_tokens: 32000\n    default_max_tokens: 512\n", o.Model)
	fmt.Fprintf(&b, "services:\n  - name: %s\n", o.Service)
	route := func(name, method, path string, idempotent bool) {
		fmt.Fprintf(&b, "  - name: %s\n    service: %s\n    method: %s\n    path: %s\n    idempotent: %v\n    deadline: 10s\n    body_limit: 64KiB\n",
			name, o.Service, method, path, idempotent)
	}
	b.WriteString("routes:\n")
	route("book", "POST", "/bookings", false)
	route("lookup", "GET", "/lookup/{id}", true)
	b.WriteString("organisations:\n")
	for _, org := range o.Organisations {
		fmt.Fprintf(&b, "  - name: %s\n    rate: %g\n    burst: %g\n", org.Name, org.Rate, org.Burst)
		if org.Home != "" {
			fmt.Fprintf(&b, "    home: %s\n", org.Home)
		}
	}
	return config.File{Name: "base.yaml", Data: []byte(b.String())}
}

// overlay returns the site's overlay: the endpoints with their addresses.
func (s *Site) overlay() config.File {
	var b strings.Builder
	b.WriteString("endpoints:\n")
	for _, e := range s.Runners {
		fmt.Fprintf(&b, "  - name: %s\n    kind: engine\n    addr: %s\n    region: %s\n    data_centre: %s\n    models: [%s]\n    checks_fencing: true\n    slots: %d\n",
			e.Name, e.listener.Addr(), e.Place.Region, e.Place.DataCentre, s.opts.Model, e.batchSlots)
	}
	for _, e := range s.Services {
		fmt.Fprintf(&b, "  - name: %s\n    kind: service\n    addr: %s\n    region: %s\n    data_centre: %s\n    service: %s\n",
			e.Name, e.listener.Addr(), e.Place.Region, e.Place.DataCentre, s.opts.Service)
	}
	return config.File{Name: s.opts.Name + ".yaml", Data: []byte(b.String())}
}
