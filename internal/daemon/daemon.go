package daemon

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/kernel"
	"dogwoodknot.example/dogwoodknot/internal/observe"
	"dogwoodknot.example/dogwoodknot/internal/operator"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/traffic"
)

// Daemon is an entry instance. Its parts are services of the kernel.
type Daemon struct {
	settings    Settings
	self        peer.Identity
	log         *zap.Logger
	metrics     *observe.Metrics
	traffic     *traffic.Meter
	stopTracing func(context.Context) error
	clock       clock.Clock
	hooks       Hooks
	listeners   listeners
	backend     *backend

	drainOnce sync.Once
	drained   chan struct{}
	leaving   atomic.Bool
}

// Hooks replace parts of a daemon that an experiment or test needs to influence. The zero value replaces nothing.
type Hooks struct {
	// Log replaces the logger made from the settings.
	Log *zap.Logger
	// DialPeer and DialEndpoint replace the diallers towards other instances and endpoints, for injected latency and cuts.
	DialPeer     func(ctx context.Context, addr string) (net.Conn, error)
	DialEndpoint func(ctx context.Context, network, addr string) (net.Conn, error)
	// DialPlatform replaces the dialler towards the platform's services.
	DialPlatform func(ctx context.Context, network, addr string) (net.Conn, error)
	// Chooser replaces the choice of endpoints, for baselines of experiments.
	Chooser routing.Chooser
	// TraceWriter takes the spans of the stdout exporter. Nil: standard output.
	TraceWriter io.Writer
	// Clock replaces the boot clock.
	Clock clock.Clock
}

// listeners are the sockets of an instance. They are opened first, so that the addresses are known to all services.
type listeners struct {
	caller, peer, operator net.Listener
}

// New checks the settings and opens the sockets for callers, peers and operators. The kernel makes the services.
func New(settings Settings, hooks Hooks) (*Daemon, error) {
	if problems := settings.Validate(); len(problems) > 0 {
		return nil, errors.Join(problems...)
	}
	d := &Daemon{
		settings: settings,
		hooks:    hooks,
		clock:    hooks.Clock,
		drained:  make(chan struct{}),
		self: peer.Identity{
			Instance:    settings.Name,
			Region:      settings.Region,
			DataCentre:  settings.DataCentre,
			Incarnation: newIncarnation(),
		},
	}
	if d.clock == nil {
		d.clock = clock.Boot{}
	}
	if err := d.observe(); err != nil {
		return nil, err
	}
	if err := d.listen(); err != nil {
		return nil, errors.CombineErrors(err, d.metrics.Close())
	}
	return d, nil
}

// newIncarnation returns a random number above 0, which stands for no incarnation.
func newIncarnation() uint64 {
	for {
		if n := rand.Uint64(); n != 0 {
			return n
		}
	}
}

func (d *Daemon) observe() error {
	d.log = d.hooks.Log
	if d.log == nil {
		log, err := observe.NewLogger(d.settings.LogFormat, d.settings.LogLevel)
		if err != nil {
			return err
		}
		d.log = log
	}
	d.log = d.log.With(zap.String("instance", d.self.Instance))
	writer := d.hooks.TraceWriter
	if writer == nil {
		writer = os.Stdout
	}
	stop, err := observe.NewTracing(context.Background(), observe.TraceOptions{
		Exporter: d.settings.Trace,
		Ratio:    d.settings.TraceRatio,
		Instance: d.self.Instance,
		Region:   d.self.Region,
		Writer:   writer,
	})
	if err != nil {
		return err
	}
	d.stopTracing = stop
	d.metrics, err = observe.NewMetrics("dogwoodknot", map[string]string{"region": d.self.Region, "data_centre": d.self.DataCentre})
	if err == nil {
		d.traffic = traffic.NewMeter(d.metrics)
	}
	return err
}

func (d *Daemon) listen() error {
	caller, err := net.Listen("tcp", d.settings.CallerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", d.settings.PeerAddr)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "listen for peers"), caller.Close())
	}
	operators, err := net.Listen("tcp", d.settings.OperatorAddr)
	if err != nil {
		return errors.Join(errors.Wrap(err, "listen for operators"), caller.Close(), peers.Close())
	}
	d.listeners = listeners{caller: caller, peer: peers, operator: operators}
	return nil
}

// CallerAddr returns the address that callers are told to use.
func (d *Daemon) CallerAddr() string {
	return cmp.Or(d.settings.AdvertiseCallerAddr, d.listeners.caller.Addr().String())
}

// PeerAddr returns the address that other instances are told to use.
func (d *Daemon) PeerAddr() string {
	return cmp.Or(d.settings.AdvertisePeerAddr, d.listeners.peer.Addr().String())
}

// OperatorAddr returns the address that operators are told to use.
func (d *Daemon) OperatorAddr() string {
	return cmp.Or(d.settings.AdvertiseOperatorAddr, d.listeners.operator.Addr().String())
}

// Identity returns the instance's name, place and incarnation.
func (d *Daemon) Identity() peer.Identity { return d.self }

// Status returns what the instance says of itself. The kernel must have been made.
func (d *Daemon) Status() operator.Status { return d.backend.Status() }

// ControlTraffic returns the bytes of control traffic by kind since the start.
func (d *Daemon) ControlTraffic() map[string]traffic.Bytes { return d.traffic.Control() }

// Log returns the daemon's logger.
func (d *Daemon) Log() *zap.Logger { return d.log }

// Drained is closed when an operator has asked for the planned stop of the instance.
func (d *Daemon) Drained() <-chan struct{} { return d.drained }

func (d *Daemon) drain() {
	d.drainOnce.Do(func() { close(d.drained) })
}

// Abort cuts all connections of callers and instances at once, as a crash would. The kernel must have been made.
func (d *Daemon) Abort() {
	_ = d.listeners.caller.Close()
	_ = d.listeners.peer.Close()
	// Errors have nobody left to tell.
	_ = d.backend.gateway().Close()
}

// Close flushes metrics and spans. The kernel must have stopped.
func (d *Daemon) Close(ctx context.Context) error {
	return errors.Join(d.metrics.Close(), d.stopTracing(ctx))
}

// Kernel returns the kernel of the daemon's services, for a process that holds several instances.
func (d *Daemon) Kernel() (*kernel.Kernel, error) {
	registry := kernel.NewRegistry()
	for _, s := range d.Services() {
		if err := registry.Register(s); err != nil {
			return nil, err
		}
	}
	return kernel.New(registry, d.log)
}
