package site

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configstore"
	"dogwoodknot.example/dogwoodknot/internal/daemon"
	"dogwoodknot.example/dogwoodknot/internal/kernel"
	"dogwoodknot.example/dogwoodknot/internal/observe"
	"dogwoodknot.example/dogwoodknot/internal/operator"
	"dogwoodknot.example/dogwoodknot/internal/peer/certs"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// clusterSecret signs the operation ids of a deployment in one process.
const clusterSecret = "one process over loopback, no secret"

// certificateValidity of a deployment in one process.
const certificateValidity = 24 * time.Hour

// Site is a running deployment.
type Site struct {
	Store     *standin.Store
	List      *standin.InstanceList
	Directory *standin.Directory
	Runners   []*Runner
	Services  []*Service
	Instances []*Instance
	Links     *Links
	// Keys holds a key of each organisation.
	Keys map[string]string
	// Config writes configurations, as the operators' command does.
	Config *configstore.Store

	opts      Options
	log       *zap.Logger
	platform  map[string]*standin.Listener
	authority *certs.Authority
}

// Runner is a stand-in engine.
type Runner struct {
	Name   string
	Place  Place
	Engine *standin.Engine

	listener   *standin.Listener
	batchSlots int
}

// URL returns the base URL of the runner.
func (r *Runner) URL() string { return r.listener.URL() }

// Kill ends the runner and its connections.
func (r *Runner) Kill() { r.Engine.Die(); r.listener.Kill() }

// Start starts a killed runner again, at the same address and with an empty cache. It does nothing to a running one.
func (r *Runner) Start() error { r.Engine.Revive(); return r.listener.Start() }

// Service is a stand-in plain service.
type Service struct {
	Name    string
	Place   Place
	Service *standin.Service

	listener *standin.Listener
}

// Kill ends the service's port and its connections.
func (s *Service) Kill() { s.listener.Kill() }

// Instance is an entry instance of the process.
type Instance struct {
	Name   string
	Place  Place
	Daemon *daemon.Daemon

	kernel  *kernel.Kernel
	conns   *processConns
	stopped bool
}

// URL returns the base URL for callers.
func (i *Instance) URL() string { return "http://" + i.Daemon.CallerAddr() }

// Stop performs the planned stop.
func (i *Instance) Stop(ctx context.Context) error {
	if i.stopped {
		return nil
	}
	i.stopped = true
	return errors.CombineErrors(i.kernel.Stop(ctx), i.Daemon.Close(ctx))
}

// Kill ends the instance without a planned stop: all its connections are cut at once and it makes no new ones, so that nothing
// of its end is told to anyone. Its goroutines still end in order, unlike those of a crashed process.
func (i *Instance) Kill(ctx context.Context) error {
	i.conns.crash()
	i.Daemon.Abort()
	ctx, cancel := context.WithTimeout(ctx, killTimeout)
	defer cancel()
	return i.Stop(ctx)
}

// killTimeout bounds the end of a killed instance, whose services would try to reach the store and the other instances for as
// long as they may.
const killTimeout = 2 * time.Second

// Start brings a deployment up: platform, endpoints, configuration, keys, instances. It returns when every instance is ready.
func Start(ctx context.Context, o Options) (*Site, error) {
	log, err := observe.NewLogger(observe.FormatConsole, o.LogLevel)
	if err != nil {
		return nil, err
	}
	s := &Site{opts: o, log: log, Links: NewLinks(o.Latency), Keys: make(map[string]string), platform: make(map[string]*standin.Listener)}
	for _, step := range []func(context.Context) error{s.startPlatform, s.startEndpoints, s.configure, s.issueKeys, s.startInstances, s.awaitReady} {
		if err := step(ctx); err != nil {
			return nil, errors.CombineErrors(err, s.Stop(ctx))
		}
	}
	return s, nil
}

func (s *Site) startPlatform(context.Context) error {
	s.Store = standin.NewStore(memory.StoreOptions{Clock: clock.Boot{}})
	s.List = standin.NewInstanceList(memory.InstanceListOptions{Clock: clock.Boot{}, Lag: s.opts.ListLag})
	s.Directory = standin.NewDirectory(memory.DirectoryOptions{Clock: clock.Boot{}})
	for name, h := range map[string]http.Handler{"store": s.Store.Handler(), "list": s.List.Handler(), "directory": s.Directory.Handler()} {
		l, err := standin.Listen(h)
		if err != nil {
			return err
		}
		s.platform[name] = l
		s.Links.SetPlace(l.Addr(), Place{Region: s.opts.StoreRegion})
	}
	s.Config = configstore.New(s.Store.Twin(), configstore.Options{})
	return nil
}

func (s *Site) startEndpoints(context.Context) error {
	for _, r := range s.opts.Regions {
		for i := range r.Runners {
			if err := s.startRunner(fmt.Sprintf("%s-%s-%02d", s.opts.Model, r.Name, i+1), r.place(i)); err != nil {
				return err
			}
		}
		for i := range r.Services {
			if err := s.startService(fmt.Sprintf("%s-%s-%d", s.opts.Service, r.Name, i+1), r.place(i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *Site) startRunner(name string, place Place) error {
	o := s.opts.Engine
	o.Models = []standin.EngineModel{{Name: s.opts.Model, Version: "1"}}
	o.ChecksFencing = true
	engine, err := standin.NewEngine(o)
	if err != nil {
		return err
	}
	l, err := standin.Listen(engine.Handler())
	if err != nil {
		return err
	}
	s.Links.SetPlace(l.Addr(), place)
	slots := o.BatchSlots
	if slots == 0 {
		slots = standin.DefaultBatchSlots
	}
	s.Runners = append(s.Runners, &Runner{Name: name, Place: place, Engine: engine, listener: l, batchSlots: slots})
	return nil
}

func (s *Site) startService(name string, place Place) error {
	service := standin.NewService(standin.ServiceOptions{Delay: s.opts.ServiceDelay})
	l, err := standin.Listen(service.Handler())
	if err != nil {
		return err
	}
	s.Links.SetPlace(l.Addr(), place)
	s.Services = append(s.Services, &Service{Name: name, Place: place, Service: service, listener: l})
	return nil
}

func (s *Site) configure(ctx context.Context) error {
	cfg, err := config.Load(s.base(), s.overlay())
	if err != nil {
		return err
	}
	_, err = s.Config.Apply(ctx, cfg, configstore.Change{Author: "site", Note: "first configuration"})
	return err
}

func (s *Site) base() config.File { return s.opts.base() }

func (s *Site) issueKeys(ctx context.Context) error {
	for _, o := range s.opts.Organisations {
		key, _, err := s.Config.IssueKey(ctx, o.Name, configstore.Change{Author: "site"})
		if err != nil {
			return err
		}
		s.Keys[o.Name] = key.Key
	}
	return nil
}

func (s *Site) startInstances(ctx context.Context) error {
	authority, err := certs.NewAuthority("dogwoodknot site", certificateValidity)
	if err != nil {
		return err
	}
	s.authority = authority
	for _, r := range s.opts.Regions {
		for i := range r.Instances {
			if _, err := s.StartInstance(ctx, r.instance(i), r.place(i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// StartInstance adds an entry instance, such as a replacement.
func (s *Site) StartInstance(ctx context.Context, name string, place Place) (*Instance, error) {
	settings, err := s.settings(name, place)
	if err != nil {
		return nil, err
	}
	dialer := s.Links.Dialer(place)
	if s.opts.Direct {
		dialer = (&net.Dialer{}).DialContext
	}
	conns := newProcessConns(dialer)
	dial := conns.dial
	d, err := daemon.New(settings, daemon.Hooks{
		Log:          s.log,
		DialPeer:     func(ctx context.Context, addr string) (net.Conn, error) { return dial(ctx, "tcp", addr) },
		DialEndpoint: dial,
		DialPlatform: dial,
		Chooser:      s.opts.Chooser,
	})
	if err != nil {
		return nil, err
	}
	s.Links.SetPlace(d.PeerAddr(), place)
	s.Links.SetPlace(d.CallerAddr(), place)
	k, err := d.Kernel()
	if err != nil {
		return nil, err
	}
	if err := k.Start(ctx); err != nil {
		return nil, err
	}
	instance := &Instance{Name: name, Place: place, Daemon: d, kernel: k, conns: conns}
	s.Instances = append(s.Instances, instance)
	return instance, nil
}

func (s *Site) settings(name string, place Place) (daemon.Settings, error) {
	pem, err := s.authority.Issue(certs.Subject{
		Instance: name, Region: place.Region, DataCentre: place.DataCentre,
		NotBefore: time.Now().Add(-time.Minute), NotAfter: time.Now().Add(certificateValidity),
	})
	if err != nil {
		return daemon.Settings{}, err
	}
	return daemon.Settings{
		Name: name, Region: place.Region, DataCentre: place.DataCentre,
		CallerAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", OperatorAddr: "127.0.0.1:0",
		Store: s.platform["store"].URL(), List: s.platform["list"].URL(), Directory: s.platform["directory"].URL(),
		PeerCert: string(pem.Certificate), PeerKey: string(pem.Key), PeerCA: string(pem.CA),
		ClusterSecrets: []string{clusterSecret},
		LogFormat:      observe.FormatConsole, LogLevel: s.opts.LogLevel, Trace: observe.TraceNone,
		StopDelay: s.opts.StopDelay, StopTimeout: time.Minute,
	}, nil
}

// readyTimeout bounds the start: slots are claimed and lists have to lag first.
const readyTimeout = 30 * time.Second

// awaitReady waits until every instance answers callers and all slots are in use.
func (s *Site) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var waiting operator.Status
	err := s.Await(ctx, "every instance to be ready and every slot to have an owner", func() bool {
		slots := 0
		for _, i := range s.Instances {
			status := i.Daemon.Status()
			slots += len(status.Slots)
			if !status.Ready || len(status.Peers) < len(s.Instances)-1 {
				waiting = status
				return false
			}
		}
		return slots == len(s.Instances)
	})
	return errors.Wrapf(err, "last status %+v", waiting)
}

// pollPeriod is the time between two looks at a condition.
const pollPeriod = 20 * time.Millisecond

// Await waits for a condition. The error says what was waited for.
func (s *Site) Await(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		if err := clock.Sleep(ctx, pollPeriod); err != nil {
			return errors.Wrapf(err, "wait for %s", what)
		}
	}
	return nil
}

// Instance returns an entry instance by name, or nil.
func (s *Site) Instance(name string) *Instance {
	for _, i := range s.Instances {
		if i.Name == name {
			return i
		}
	}
	return nil
}

// Homes returns the home region of each bound organisation.
func (s *Site) Homes() map[string]string {
	homes := make(map[string]string)
	for _, o := range s.opts.Organisations {
		if o.Home != "" {
			homes[o.Name] = o.Home
		}
	}
	return homes
}

// Client returns an HTTP client of callers in a region.
func (s *Site) Client(region string) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         s.Links.Dialer(Place{Region: region, DataCentre: clientDataCentre}),
		MaxIdleConnsPerHost: maxIdleConns,
	}}
}

const maxIdleConns = 1024

// Stop ends everything.
func (s *Site) Stop(ctx context.Context) error {
	s.Links.Heal()
	var problems []error
	for _, i := range s.Instances {
		problems = append(problems, i.Stop(ctx))
	}
	for _, r := range s.Runners {
		r.Engine.Close()
		r.listener.Close()
	}
	for _, e := range s.Services {
		e.Service.Close()
		e.listener.Close()
	}
	for _, l := range s.platform {
		l.Close()
	}
	return errors.Join(problems...)
}
