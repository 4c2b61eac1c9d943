package daemon

import (
	"context"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/gateway"
	"dogwoodknot.example/dogwoodknot/internal/kernel"
	"dogwoodknot.example/dogwoodknot/internal/limits"
	"dogwoodknot.example/dogwoodknot/internal/members"
	"dogwoodknot.example/dogwoodknot/internal/operations"
)

// memberPeers gives limits the other instances.
type memberPeers struct{ members *members.Service }

var _ limits.Peers = memberPeers{}

// Peers returns all instances but this one that are not known to be gone.
func (m memberPeers) Peers() []limits.Peer {
	var out []limits.Peer
	for _, member := range m.members.Snapshot().Members {
		if member.Self {
			continue
		}
		out = append(out, limits.Peer{
			Name:        member.Name,
			Region:      member.Region,
			Incarnation: member.Incarnation,
			Leaving:     member.Status == membership.Leaving,
		})
	}
	return out
}

// configPeers gives configsync the other instances. They are known as soon as the instance list was read.
func configPeers(m *members.Service) []configsync.Peer {
	var out []configsync.Peer
	for _, member := range m.Snapshot().Members {
		if member.Self {
			continue
		}
		out = append(out, configsync.Peer{
			Instance:   member.Name,
			DataCentre: member.DataCentre,
			NoRelay:    member.Status != membership.Live,
		})
	}
	return out
}

// lateRunner passes forwarded operations to the gateway, which is made after the operations it needs itself.
type lateRunner struct{ registry *kernel.Registry }

var _ operations.Runner = lateRunner{}

// RunForwarded runs an operation that another instance has forwarded.
func (r lateRunner) RunForwarded(ctx context.Context, organisation string, req *operations.ForwardedRequest) (*operations.Answer, operations.Execution, error) {
	return find[*gateway.Gateway](r.registry, nameGateway).RunForwarded(ctx, organisation, req)
}

// entryRanking answers which instances an organisation's callers should use.
type entryRanking struct {
	members *members.Service
	source  configsync.Source
}

var _ gateway.Entries = entryRanking{}

// Entries returns the ranked instances of a region, or of all regions one after the other if region is empty.
func (e entryRanking) Entries(organisation, region string) ([]gateway.Entry, time.Duration) {
	view := e.source.View()
	rate := 0.0
	if o := view.Organisation(organisation); o != nil {
		rate = o.Rate
	}
	regions := []string{region}
	if region == "" {
		regions = regions[:0]
		for _, r := range view.General().Regions {
			regions = append(regions, r.Name)
		}
	}
	var out, lastResort []gateway.Entry
	valid := time.Duration(0)
	for _, r := range regions {
		ranked := e.members.Entries(r, organisation, rate)
		if valid == 0 || ranked.ValidFor < valid {
			valid = ranked.ValidFor
		}
		for _, m := range ranked.Members {
			entry := gateway.Entry{Name: m.Name, Region: m.Region, DataCentre: m.DataCentre, CallerAddr: m.CallerAddr}
			if ranked.LastResort {
				lastResort = append(lastResort, entry)
			} else {
				out = append(out, entry)
			}
		}
	}
	if len(out) == 0 {
		out = lastResort
	}
	return out, valid
}

// ended returns whether an incarnation is known to have ended: only if the platform's removals are final.
func ended(source configsync.Source, m *members.Service) func(string, uint64) bool {
	return func(instance string, incarnation uint64) bool {
		if !source.View().General().Platform.RemovalFinal {
			return false
		}
		state, known := m.Snapshot().StatusOf(membership.Ref{Instance: instance, Incarnation: incarnation})
		return known && state == membership.Gone
	}
}

// drained returns whether a data centre is declared to take no new work in the view in force.
func drained(source configsync.Source) func(dataCentre string) bool {
	return func(dataCentre string) bool { return source.View().General().DataCentreDrained(dataCentre) }
}

// endpointStates tells dispatch which endpoints the platform lists as leaving.
type endpointStates struct{ members *members.Service }

var _ dispatch.EndpointStates = endpointStates{}

// Leaving reports whether the endpoint is listed as leaving.
func (s endpointStates) Leaving(name string) bool { return s.members.EndpointLeaving(name) }

// orderCandidates returns the number of live instances of a region, 0 before the list was read.
func orderCandidates(snapshot *membership.Snapshot, region string) int {
	if snapshot.Version == 0 {
		return 0
	}
	n := 0
	for _, m := range snapshot.InRegion(region) {
		if m.Status == membership.Live {
			n++
		}
	}
	return n
}

// neighbours returns the other instances of a region that may be sending work to its endpoints, suspected and leaving ones
// included.
func neighbours(snapshot *membership.Snapshot, region string) []string {
	var out []string
	for _, m := range snapshot.InRegion(region) {
		if !m.Self {
			out = append(out, m.Name)
		}
	}
	return out
}
