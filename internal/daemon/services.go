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
	"dogwoodknot.example/dogwoodknot/internal/traffic"
)

// Services returns the services of the instance, in no order. The kernel makes their components.
//
// What each requires also gives the order of a planned stop, which is the reverse of the start: the gateway finishes its
// callers first, then records and shares are handed over, and the sessions to other instances end last.
func (d *Daemon) Services() []kernel.Service {
	return []kernel.Service{
		d.storeService(), d.listService(), d.directoryService(), d.transportService(), d.configService(), d.regionsService(),
		d.membersService(), d.limitsService(), d.dispatchService(), d.operationsService(), d.gatewayService(),
		d.ordersService(), d.operatorService(),
	}
}

// platformConns is the number of idle connections kept to each of the platform's services: a watch, a lease renewal and
// a few writes at once.
const platformConns = 8

// platformClient returns the options of a client whose bytes are counted as the kind.
func (d *Daemon) platformClient(url, kind string) platform.ClientOptions {
	dial := traffic.Dial(d.hooks.DialPlatform, d.counter(kind))
	transport := &http.Transport{MaxIdleConnsPerHost: platformConns, IdleConnTimeout: time.Minute, DialContext: dial}
	return platform.ClientOptions{URL: url, Transport: transport}
}

func (d *Daemon) counter(kind string) func() *traffic.Counter {
	counter := d.traffic.Kind(kind)
	return func() *traffic.Counter { return counter }
}

func (d *Daemon) storeService() kernel.Service {
	return &service[platform.Store]{
		name: nameStore,
		build: func(*kernel.Registry) (platform.Store, error) {
			return platform.NewStoreClient(d.platformClient(d.settings.Store, traffic.Store))
		},
	}
}

func (d *Daemon) listService() kernel.Service {
	return &service[platform.InstanceList]{
		name: nameList,
		build: func(*kernel.Registry) (platform.InstanceList, error) {
			return platform.NewInstanceListClient(d.platformClient(d.settings.List, traffic.InstanceList))
		},
	}
}

// directoryService has a nil component if the settings name no directory.
func (d *Daemon) directoryService() kernel.Service {
	return &service[platform.Directory]{
		name: nameDirectory,
		build: func(*kernel.Registry) (platform.Directory, error) {
			if d.settings.Directory == "" {
				return nil, nil
			}
			return platform.NewDirectoryClient(d.platformClient(d.settings.Directory, traffic.Directory))
		},
	}
}

func (d *Daemon) transportService() kernel.Service {
	var stopReloads context.CancelFunc
	return &service[*peer.Transport]{
		name:  nameTransport,
		build: func(*kernel.Registry) (*peer.Transport, error) { return d.newTransport() },
		start: func(_ context.Context, t *peer.Transport) error {
			t.Start()
			var ctx context.Context
			ctx, stopReloads = context.WithCancel(context.Background())
			go t.ReloadOnHangup(ctx, d.settings.credentials)
			return nil
		},
		stop: func(ctx context.Context, t *peer.Transport) error {
			stopReloads()
			return t.Close(ctx)
		},
	}
}

func (d *Daemon) newTransport() (*peer.Transport, error) {
	pem, err := d.settings.credentials()
	if err != nil {
		return nil, err
	}
	credentials, err := peer.NewCredentials(pem)
	if err != nil {
		return nil, err
	}
	return peer.New(peer.Options{
		Self:        d.self,
		Credentials: credentials,
		Listener:    d.listeners.peer,
		Dial:        d.hooks.DialPeer,
		Logger:      d.log,
		Scope:       d.metrics,
		Traffic:     d.traffic,
	})
}

func (d *Daemon) configService() kernel.Service {
	return &service[*configsync.Syncer]{
		name:     nameConfig,
		requires: []string{nameStore, nameTransport},
		build: func(r *kernel.Registry) (*configsync.Syncer, error) {
			return configsync.New(configsync.Options{
				Store:   find[platform.Store](r, nameStore),
				Network: find[*peer.Transport](r, nameTransport),
				Peers:   func() []configsync.Peer { return configPeers(find[*members.Service](r, nameMembers)) },
				Clock:   d.clock,
				Log:     d.log,
			})
		},
		start: func(ctx context.Context, s *configsync.Syncer) error { return s.Start(ctx) },
		stop:  func(ctx context.Context, s *configsync.Syncer) error { return s.Stop(ctx) },
	}
}

func (d *Daemon) regionsService() kernel.Service {
	return &service[*regionLoads]{
		name: nameRegions,
		build: func(r *kernel.Registry) (*regionLoads, error) {
			snapshot := func() *membership.Snapshot { return find[*members.Service](r, nameMembers).Snapshot() }
			inDrained := func(dataCentre string) bool { return drained(find[*configsync.Syncer](r, nameConfig))(dataCentre) }
			return newRegionLoads(d.clock, d.self.Region, snapshot, inDrained), nil
		},
	}
}

func (d *Daemon) membersService() kernel.Service {
	return &service[*members.Service]{
		name:     nameMembers,
		requires: []string{nameList, nameDirectory, nameTransport, nameConfig, nameRegions},
		build: func(r *kernel.Registry) (*members.Service, error) {
			return members.New(members.Options{
				Network:   find[*peer.Transport](r, nameTransport),
				List:      find[platform.InstanceList](r, nameList),
				Directory: find[platform.Directory](r, nameDirectory),
				Clock:     d.clock,
				Self:      d.row(),
				Payload: func() members.Payload {
					return payload(find[*dispatch.Dispatcher](r, nameDispatch).PoolLoads())
				},
				OnPayload: find[*regionLoads](r, nameRegions).received,
				Drained:   drained(find[*configsync.Syncer](r, nameConfig)),
				Logger:    d.log,
				Scope:     d.metrics,
			})
		},
		start: plain((*members.Service).Start),
		stop:  plain((*members.Service).Close),
	}
}

// row is how the instance announces itself.
func (d *Daemon) row() membership.Row {
	return membership.Row{
		Name:        d.self.Instance,
		Region:      d.self.Region,
		DataCentre:  d.self.DataCentre,
		Incarnation: d.self.Incarnation,
		CallerAddr:  d.CallerAddr(),
		PeerAddr:    d.PeerAddr(),
		OperatorURL: d.OperatorAddr(),
	}
}

func (d *Daemon) limitsService() kernel.Service {
	return &service[*limits.Service]{
		name:     nameLimits,
		requires: []string{nameStore, nameList, nameTransport, nameConfig, nameMembers},
		build: func(r *kernel.Registry) (*limits.Service, error) {
			return limits.New(limits.Options{
				Network:   find[*peer.Transport](r, nameTransport),
				Store:     find[platform.Store](r, nameStore),
				Clock:     d.clock,
				Config:    find[*configsync.Syncer](r, nameConfig),
				Peers:     memberPeers{find[*members.Service](r, nameMembers)},
				Instances: find[platform.InstanceList](r, nameList),
				Log:       d.log,

				MaxPatience: d.settings.RateWait,
			})
		},
		start: func(ctx context.Context, s *limits.Service) error { return s.Start(ctx) },
		stop:  func(ctx context.Context, s *limits.Service) error { return s.Stop(ctx) },
	}
}

func (d *Daemon) dispatchService() kernel.Service {
	return &service[*dispatch.Dispatcher]{
		name:     nameDispatch,
		requires: []string{nameTransport, nameConfig, nameMembers},
		build: func(r *kernel.Registry) (*dispatch.Dispatcher, error) {
			m := find[*members.Service](r, nameMembers)
			return dispatch.New(dispatch.Options{
				Region:        d.self.Region,
				DataCentre:    d.self.DataCentre,
				Source:        find[*configsync.Syncer](r, nameConfig),
				Clock:         d.clock,
				Logger:        d.log,
				States:        endpointStates{m},
				Dial:          d.hooks.DialEndpoint,
				Chooser:       d.hooks.Chooser,
				Network:       find[*peer.Transport](r, nameTransport),
				Peers:         func() []string { return neighbours(m.Snapshot(), d.self.Region) },
				Metrics:       d.metrics.SubScope("dispatch"),
				Traffic:       d.traffic,
				InstanceCount: func() int { return len(m.Snapshot().InRegion(d.self.Region)) },
			})
		},
		start: plain((*dispatch.Dispatcher).Start),
		stop:  plain((*dispatch.Dispatcher).Stop),
	}
}

func (d *Daemon) operationsService() kernel.Service {
	return &service[*operations.Service]{
		name:     nameOperations,
		requires: []string{nameStore, nameTransport, nameConfig, nameLimits, nameDispatch},
		build: func(r *kernel.Registry) (*operations.Service, error) {
			o := operations.DefaultOptions()
			o.Network = find[*peer.Transport](r, nameTransport)
			records, err := platform.NewStoreClient(d.platformClient(d.settings.Store, traffic.StoreRecords))
			if err != nil {
				return nil, err
			}
			o.Store = records
			o.Slots = find[*limits.Service](r, nameLimits)
			o.Config = find[*configsync.Syncer](r, nameConfig)
			o.Runner = lateRunner{r}
			o.Clock = d.clock
			o.Secrets = d.settings.secrets()
			o.Logger = d.log
			return operations.New(o)
		},
		start: plain((*operations.Service).Start),
		stop:  func(ctx context.Context, s *operations.Service) error { return s.Stop(ctx) },
	}
}

func (d *Daemon) gatewayService() kernel.Service {
	return &service[*gateway.Gateway]{
		name: nameGateway,
		requires: []string{
			nameTransport, nameConfig, nameRegions, nameMembers, nameLimits, nameDispatch, nameOperations, nameOperator,
		},
		build: func(r *kernel.Registry) (*gateway.Gateway, error) {
			source := find[*configsync.Syncer](r, nameConfig)
			return gateway.New(gateway.Options{
				Region:     d.self.Region,
				Source:     source,
				Limiter:    find[*limits.Service](r, nameLimits),
				Dispatcher: find[*dispatch.Dispatcher](r, nameDispatch),
				Operations: find[*operations.Service](r, nameOperations),
				Network:    find[*peer.Transport](r, nameTransport),
				Entries:    entryRanking{find[*members.Service](r, nameMembers), source},
				Regions:    find[*regionLoads](r, nameRegions),
				Clock:      d.clock,
				Logger:     d.log,
				Metrics:    d.metrics,
				StopDelay:  d.settings.StopDelay,
			})
		},
		start: plain(d.serve),
		stop:  d.stopGateway,
	}
}

func (d *Daemon) ordersService() kernel.Service {
	return &service[*orderer.Service]{
		name:     nameOrders,
		requires: []string{nameStore, nameConfig, nameMembers},
		build: func(r *kernel.Registry) (*orderer.Service, error) {
			source := find[*configsync.Syncer](r, nameConfig)
			m := find[*members.Service](r, nameMembers)
			o := orderer.Options{
				Store:       find[platform.Store](r, nameStore),
				Source:      source,
				Clock:       d.clock,
				Region:      d.self.Region,
				Instance:    d.self.Instance,
				Incarnation: d.self.Incarnation,
				Ended:       ended(source, m),
				Candidates:  func() int { return orderCandidates(m.Snapshot(), d.self.Region) },
				Client:      d.orderClient(),
				Log:         d.log,
				Metrics:     d.metrics,
			}
			return orderer.New(o), errors.Join(o.Validate()...)
		},
		start: func(ctx context.Context, s *orderer.Service) error { return s.Start(ctx) },
		stop:  func(ctx context.Context, s *orderer.Service) error { return s.Stop(ctx) },
	}
}

// orderClient returns the client towards endpoints for orders and their state. It follows no redirect, which would send an
// order again.
func (d *Daemon) orderClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{IdleConnTimeout: time.Minute, DialContext: traffic.Dial(nil, d.counter(traffic.EndpointOrders))},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (d *Daemon) operatorService() kernel.Service {
	return &service[*operator.Server]{
		name:     nameOperator,
		requires: []string{nameTransport, nameConfig, nameLimits, nameOrders},
		build: func(r *kernel.Registry) (*operator.Server, error) {
			d.backend = &backend{daemon: d, registry: r}
			o := operator.Options{
				Addr:     d.settings.OperatorAddr,
				Listener: d.listeners.operator,
				Token:    d.settings.OperatorToken,
				Backend:  d.backend,
				Metrics:  d.metrics.Handler,
				Log:      d.log,
			}
			return operator.NewServer(o), errors.Join(o.Validate()...)
		},
		start: func(ctx context.Context, s *operator.Server) error { return s.Start(ctx) },
		stop:  func(ctx context.Context, s *operator.Server) error { return s.Stop(ctx) },
	}
}

func (d *Daemon) serve(g *gateway.Gateway) {
	d.log.Info("serving callers", zap.String("addr", d.CallerAddr()), zap.String("region", d.self.Region))
	go func() {
		if err := g.Serve(d.listeners.caller); err != nil {
			d.log.Error("serving callers failed", zap.Error(err))
		}
	}()
}

// leaveTimeout bounds the announcement of a planned stop to the platform.
const leaveTimeout = 2 * time.Second

// stopGateway tells callers and instances first, then waits for the requests in flight.
func (d *Daemon) stopGateway(ctx context.Context, g *gateway.Gateway) error {
	d.leaving.Store(true)
	g.Drain()
	announceCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := find[*members.Service](d.backend.registry, nameMembers).Leave(announceCtx); err != nil {
		// The list may be out; heartbeats still tell the other instances.
		d.log.Warn("platform's list was not told of the planned stop", zap.Error(err))
	}
	return g.Shutdown(ctx)
}
