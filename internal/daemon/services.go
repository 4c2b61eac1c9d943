package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/gateway"
	"dogwoodknot.example/dogwoodknot/internal/kernel"
	"dogwoodknot.example/dogwoodknot/internal/limits"
	"dogwoodknot.example/dogwoodknot/internal/members"
	"dogwoodknot.example/dogwoodknot/internal/operations"
	"dogwoodknot.example/dogwoodknot/internal/operator"
	"dogwoodknot.example/dogwoodknot/internal/orderer"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// Names of the services.
const (
	nameTransport  = "peer.transport"
	nameConfig     = "config.sync"
	nameMembers    = "members"
	nameLimits     = "limits"
	nameDispatch   = "dispatch"
	nameOperations = "operations"
	nameGateway    = "gateway.http"
	nameOrders     = "orders"
	nameOperator   = "operator.http"
)

// part adapts a component to the kernel: its name, what it needs, and how it starts and stops.
type part struct {
	name     string
	requires []string
	start    func(context.Context) error
	stop     func(context.Context) error
}

var (
	_ kernel.Requirer = (*part)(nil)
	_ kernel.Starter  = (*part)(nil)
	_ kernel.Stopper  = (*part)(nil)
)

func (p *part) Name() string       { return p.name }
func (p *part) Requires() []string { return p.requires }

func (p *part) Start(ctx context.Context) error {
	if p.start == nil {
		return nil
	}
	return p.start(ctx)
}

func (p *part) Stop(ctx context.Context) error {
	if p.stop == nil {
		return nil
	}
	return p.stop(ctx)
}

// parts are the components of an instance.
type parts struct {
	store     platform.Store
	list      platform.InstanceList
	directory platform.Directory
	transport *peer.Transport
	syncer    *configsync.Syncer
	members   *members.Service
	limits    *limits.Service
	dispatch  *dispatch.Dispatcher
	ops       *operations.Service
	gateway   *gateway.Gateway
	orders    *orderer.Service
	operator  *operator.Server
	regions   *regionLoads
}

// Services makes the components and returns them as services, in no order. It is called once.
func (d *Daemon) Services() ([]kernel.Service, error) {
	p := &parts{}
	steps := []func(*parts) error{
		d.makePlatform, d.makeTransport, d.makeConfig, d.makeMembers, d.makeLimits, d.makeDispatch, d.makeOperations,
		d.makeGateway, d.makeOrders, d.makeOperator,
	}
	for _, step := range steps {
		if err := step(p); err != nil {
			return nil, err
		}
	}
	return d.services(p), nil
}

func (d *Daemon) makePlatform(p *parts) error {
	client := func(url string) platform.ClientOptions {
		transport := &http.Transport{MaxIdleConnsPerHost: platformConns, IdleConnTimeout: time.Minute, DialContext: d.hooks.DialPlatform}
		return platform.ClientOptions{URL: url, Transport: transport}
	}
	store, storeErr := platform.NewStoreClient(client(d.settings.Store))
	list, listErr := platform.NewInstanceListClient(client(d.settings.List))
	if err := errors.Join(storeErr, listErr); err != nil {
		return err
	}
	p.store, p.list = store, list
	if d.settings.Directory == "" {
		return nil
	}
	directory, err := platform.NewDirectoryClient(client(d.settings.Directory))
	if err != nil {
		return err
	}
	p.directory = directory
	return nil
}

// platformConns is the number of idle connections kept to each of the platform's services: a watch, a lease renewal and
// a few writes at once.
const platformConns = 8

func (d *Daemon) makeTransport(p *parts) error {
	pem, err := d.settings.credentials()
	if err != nil {
		return err
	}
	credentials, err := peer.NewCredentials(pem)
	if err != nil {
		return err
	}
	p.transport, err = peer.New(peer.Options{
		Self:        d.self,
		Credentials: credentials,
		Listener:    d.listeners.peer,
		Dial:        d.hooks.DialPeer,
		Logger:      d.log,
		Scope:       d.metrics,
	})
	return err
}

func (d *Daemon) makeConfig(p *parts) (err error) {
	p.syncer, err = configsync.New(configsync.Options{
		Store:   p.store,
		Network: p.transport,
		Peers:   func() []configsync.Peer { return configPeers(p) },
		Clock:   d.clock,
		Log:     d.log,
	})
	return err
}

func (d *Daemon) makeMembers(p *parts) (err error) {
	p.regions = newRegionLoads(d.clock, d.self.Region)
	p.members, err = members.New(members.Options{
		Network:   p.transport,
		List:      p.list,
		Directory: p.directory,
		Clock:     d.clock,
		Self: membership.Row{
			Name:        d.self.Instance,
			Region:      d.self.Region,
			DataCentre:  d.self.DataCentre,
			Incarnation: d.self.Incarnation,
			CallerAddr:  d.CallerAddr(),
			PeerAddr:    d.PeerAddr(),
			OperatorURL: d.OperatorAddr(),
		},
		Payload:   func() members.Payload { return payload(p.limits.AppliedRevision(), p.dispatch.Loads()) },
		OnPayload: p.regions.received,
		Logger:    d.log,
		Scope:     d.metrics,
	})
	if err != nil {
		return err
	}
	p.regions.snapshot = p.members.Snapshot
	return nil
}

func (d *Daemon) makeLimits(p *parts) (err error) {
	p.limits, err = limits.New(limits.Options{
		Network:   p.transport,
		Store:     p.store,
		Clock:     d.clock,
		Config:    p.syncer,
		Peers:     memberPeers{p.members},
		Instances: p.list,
		Reported:  p.regions.reported,
		Log:       d.log,
	})
	return err
}

func (d *Daemon) makeDispatch(p *parts) (err error) {
	p.dispatch, err = dispatch.New(dispatch.Options{
		Region:     d.self.Region,
		DataCentre: d.self.DataCentre,
		Source:     p.syncer,
		Clock:      d.clock,
		Logger:     d.log,
		States:     endpointStates{p.members},
		Dial:       d.hooks.DialEndpoint,
		Chooser:    d.hooks.Chooser,
		Metrics:    d.metrics.SubScope("dispatch"),
		Sharers:    func() int { return entriesOf(p.members.Snapshot(), d.self.Region) },
	})
	return err
}

func (d *Daemon) makeOperations(p *parts) (err error) {
	o := operations.DefaultOptions()
	o.Network, o.Store, o.Slots, o.Config, o.Clock = p.transport, p.store, p.limits, p.syncer, d.clock
	o.Runner = lateRunner{p}
	o.Secrets = d.settings.secrets()
	o.Logger = d.log
	p.ops, err = operations.New(o)
	return err
}

func (d *Daemon) makeGateway(p *parts) (err error) {
	p.gateway, err = gateway.New(gateway.Options{
		Region:     d.self.Region,
		Source:     p.syncer,
		Limiter:    p.limits,
		Dispatcher: p.dispatch,
		Operations: p.ops,
		Network:    p.transport,
		Entries:    entryRanking{p.members, p.syncer},
		Regions:    p.regions,
		Clock:      d.clock,
		Logger:     d.log,
		Metrics:    d.metrics,
		StopDelay:  d.settings.StopDelay,
	})
	return err
}

func (d *Daemon) makeOrders(p *parts) error {
	o := orderer.Options{
		Store:       p.store,
		Source:      p.syncer,
		Clock:       d.clock,
		Region:      d.self.Region,
		Instance:    d.self.Instance,
		Incarnation: d.self.Incarnation,
		Ended:       ended(p),
		Candidates:  func() int { return orderCandidates(p.members.Snapshot(), d.self.Region) },
		Log:         d.log,
		Metrics:     d.metrics,
	}
	if problems := o.Validate(); len(problems) > 0 {
		return errors.Join(problems...)
	}
	p.orders = orderer.New(o)
	return nil
}

func (d *Daemon) makeOperator(p *parts) error {
	d.backend = &backend{daemon: d, parts: p}
	o := operator.Options{
		Addr:     d.settings.OperatorAddr,
		Listener: d.listeners.operator,
		Token:    d.settings.OperatorToken,
		Backend:  d.backend,
		Metrics:  d.metrics.Handler,
		Log:      d.log,
	}
	if problems := o.Validate(); len(problems) > 0 {
		return errors.Join(problems...)
	}
	p.operator = operator.NewServer(o)
	return nil
}

// services gives the parts their order. Stops run in reverse: the gateway finishes its callers first, then records and
// shares are handed over, and the sessions to other instances end last.
func (d *Daemon) services(p *parts) []kernel.Service {
	list := []*part{
		{name: nameTransport,
			start: func(context.Context) error { d.startTransport(p); return nil },
			stop:  func(ctx context.Context) error { d.stopReloads(); return p.transport.Close(ctx) }},
		{name: nameConfig, requires: []string{nameTransport}, start: p.syncer.Start, stop: p.syncer.Stop},
		{name: nameMembers, requires: []string{nameConfig, nameDispatch},
			start: func(ctx context.Context) error { p.members.Start(); return nil },
			stop:  func(context.Context) error { p.members.Close(); return nil }},
		{name: nameLimits, requires: []string{nameMembers}, start: p.limits.Start, stop: p.limits.Stop},
		{name: nameDispatch, requires: []string{nameConfig},
			start: func(context.Context) error { p.dispatch.Start(); return nil },
			stop:  func(context.Context) error { p.dispatch.Stop(); return nil }},
		{name: nameOperations, requires: []string{nameLimits, nameDispatch},
			start: func(context.Context) error { p.ops.Start(); return nil }, stop: p.ops.Stop},
		{name: nameOrders, requires: []string{nameMembers}, start: p.orders.Start, stop: p.orders.Stop},
		{name: nameOperator, requires: []string{nameLimits}, start: p.operator.Start, stop: p.operator.Stop},
		{name: nameGateway, requires: []string{nameOperations, nameOperator},
			start: func(context.Context) error { d.serve(p.gateway); return nil },
			stop:  func(ctx context.Context) error { return d.stopGateway(ctx, p) }},
	}
	out := make([]kernel.Service, len(list))
	for i, s := range list {
		out[i] = s
	}
	return out
}

// startTransport takes sessions, and new certificates at each SIGHUP.
func (d *Daemon) startTransport(p *parts) {
	p.transport.Start()
	ctx, cancel := context.WithCancel(context.Background())
	d.stopReloads = cancel
	go p.transport.ReloadOnHangup(ctx, d.settings.credentials)
}

func (d *Daemon) serve(g *gateway.Gateway) {
	d.log.Info("serving callers", zap.String("addr", d.CallerAddr()), zap.String("region", d.self.Region))
	go func() {
		if err := g.Serve(d.listeners.caller); err != nil {
			d.log.Error("serving callers failed", zap.Error(err))
		}
	}()
}

// stopGateway tells callers and instances first, then waits for the requests in flight.
func (d *Daemon) stopGateway(ctx context.Context, p *parts) error {
	d.leaving.Store(true)
	p.gateway.Drain()
	announceCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := p.members.Leave(announceCtx); err != nil {
		// The list may be out; heartbeats still tell the other instances.
		d.log.Warn("platform's list was not told of the planned stop", zap.Error(err))
	}
	return p.gateway.Shutdown(ctx)
}

// leaveTimeout bounds the announcement of a planned stop to the platform.
const leaveTimeout = 2 * time.Second
