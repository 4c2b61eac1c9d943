package daemon

import (
	"cmp"
	"context"
	"sort"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/gateway"
	"dogwoodknot.example/dogwoodknot/internal/kernel"
	"dogwoodknot.example/dogwoodknot/internal/limits"
	"dogwoodknot.example/dogwoodknot/internal/operator"
	"dogwoodknot.example/dogwoodknot/internal/orderer"
	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// backend is the instance behind the operators' port.
type backend struct {
	daemon   *Daemon
	registry *kernel.Registry
}

var _ operator.Backend = (*backend)(nil)

func (b *backend) config() *configsync.Syncer {
	return find[*configsync.Syncer](b.registry, nameConfig)
}
func (b *backend) limits() *limits.Service   { return find[*limits.Service](b.registry, nameLimits) }
func (b *backend) gateway() *gateway.Gateway { return find[*gateway.Gateway](b.registry, nameGateway) }

// Status returns what the instance says of itself.
func (b *backend) Status() operator.Status {
	self := b.daemon.self
	s := operator.Status{
		Instance:    self.Instance,
		Region:      self.Region,
		DataCentre:  self.DataCentre,
		Incarnation: self.Incarnation,
		Revision:    b.config().View().Revision(),
		Applied:     b.limits().AppliedRevision(),
		Slots:       b.limits().Owned(),
		Waiting:     b.limits().Waiting(),
		Ready:       true,
	}
	for _, id := range find[*peer.Transport](b.registry, nameTransport).Connected() {
		s.Peers = append(s.Peers, id.Instance)
	}
	sort.Strings(s.Peers)
	if err := b.config().Ready(); err != nil {
		s.Ready, s.Reason = false, err.Error()
	}
	if !b.gateway().Ready() || b.daemon.leaving.Load() {
		s.Ready, s.Reason = false, cmp.Or(s.Reason, "instance is stopping")
	}
	return s
}

// Usage returns the organisations that have used their rate here.
func (b *backend) Usage() []operator.Usage {
	var out []operator.Usage
	b.config().View().Organisations(func(o *config.Organisation) bool {
		if u, ok := b.limits().Usage(o.Name); ok {
			out = append(out, operator.Usage{Name: o.Name, RateShare: u.Rate, BurstShare: u.Burst, Level: u.Level, UsedPerSecond: u.Demand})
		}
		return true
	})
	return out
}

// Orders returns what this instance knows of the orders of its region.
func (b *backend) Orders() operator.Orders {
	status := find[*orderer.Service](b.registry, nameOrders).Status()
	out := operator.Orders{
		Instance: b.daemon.self.Instance, Region: b.daemon.self.Region, Issuer: status.Issuer, Fencing: status.Fencing,
		Blocked: []operator.BlockedLoad{},
	}
	for _, blocked := range status.Blocked {
		out.Blocked = append(out.Blocked, operator.BlockedLoad{Endpoint: blocked.Endpoint, Model: blocked.Model, Reason: blocked.Reason})
	}
	return out
}

// Withdraw stops keys here and relays them to the other instances.
func (b *backend) Withdraw(ctx context.Context, keyIDs []string) error {
	b.config().Withdraw(ctx, keyIDs)
	return nil
}

// Drain asks for the planned stop.
func (b *backend) Drain() { b.daemon.drain() }
