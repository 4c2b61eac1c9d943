package edgedaemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/edge"
	"dogwoodknot.example/dogwoodknot/internal/hangup"
	"dogwoodknot.example/dogwoodknot/internal/netdial"
	"dogwoodknot.example/dogwoodknot/internal/observe"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/traffic"
	"dogwoodknot.example/dogwoodknot/platform"
)

const (
	// rejectFraction is the fraction of the grace time after which a planned stop rejects requests that may outlast the process:
	// callers cache an answer of the directory for a few seconds, and the longest streams need the rest.
	rejectFraction = 0.34
	// maxRejectDelay bounds the time until then. The platform expects a whole answer to what was sent more than 3 s after the signal; a busy
	// process begins its stop some 0.2 s after the signal, and its timers are late as well.
	maxRejectDelay = 2400 * time.Millisecond
	// idleStopFraction is the fraction of the grace time after which the process ends as soon as no request is in flight.
	idleStopFraction = 0.6
	// stopPollInterval is the interval of checks whether requests are still in flight.
	stopPollInterval = 50 * time.Millisecond
	// killReserve is subtracted from the grace time, so that the process ends by itself before it is killed.
	killReserve = 700 * time.Millisecond
	// answerReserve is the time for the error answers of requests that have no answer when the process ends.
	answerReserve = 200 * time.Millisecond
	// endpointDialTimeout bounds a connection to an endpoint of the own region: some round trips of a millisecond, with one
	// opening packet lost and sent again after a second.
	endpointDialTimeout = 1300 * time.Millisecond
	// peerDialTimeout bounds the handshake with another instance: five wide-area round trips.
	peerDialTimeout = time.Second
	// peerKeepAlive and peerWriteTimeout end a session with an unresponsive instance.
	peerKeepAlive    = time.Second
	peerWriteTimeout = time.Second
	// peerBackoffMax bounds the delay between dials, so that a restarted instance is reached within a second.
	peerBackoffMax = 500 * time.Millisecond
	// peerMessageBytes bounds a message: the largest usual body and its headers.
	peerMessageBytes = 5 << 20
	// headerTimeout and headerBytes bound the headers that callers send. They exceed the limits of configurations.
	headerTimeout = 5 * time.Second
	headerBytes   = 64 << 10
	// idleTimeout is how long an idle connection of a caller is kept. It exceeds the limits of configurations.
	idleTimeout = 90 * time.Second
	// memoryFraction is the fraction of the memory limit that the garbage collector aims to stay below.
	memoryFraction = 0.7
)

// Daemon is the process of an edge instance.
type Daemon struct {
	settings  Settings
	self      peer.Identity
	writer    *observe.BoundedWriter
	log       *zap.Logger
	metrics   *observe.Metrics
	store     *platform.Store
	transport *peer.Transport
	edge      *edge.Edge
	memory    *edge.Memory
	identity  peer.PEM
	servers   []*http.Server
	callers   *callerServer
	inFlight  atomic.Int64
	hangup    chan os.Signal
}

// New checks the settings and returns an instance that does not serve yet.
func New(s Settings) (*Daemon, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryFraction * (1 << 20)))
	}
	d := &Daemon{
		settings: s, writer: observe.NewBoundedWriter(os.Stdout), hangup: hangup.Signals,
		self: peer.Identity{Instance: s.Name, Region: s.Region, DataCentre: s.DataCentre, Incarnation: rand.Uint64() | 1},
	}
	var err error
	if d.log, err = observe.NewBoundedLogger(d.writer, s.LogLevel); err != nil {
		return nil, err
	}
	d.log = d.log.With(zap.String("instance", s.Name))
	if d.metrics, err = observe.NewMetrics("dogwood_edge", map[string]string{"region": s.Region}); err != nil {
		return nil, err
	}
	d.memory = edge.NewMemory(s.accountBytes(), clock.Boot{}, d.log, d.metrics)
	if err := d.connect(); err != nil {
		return nil, err
	}
	return d, nil
}

// connect creates the transport, the client of the store and the edge.
func (d *Daemon) connect() error {
	var err error
	if d.identity, err = newIdentity(d.self); err != nil {
		return err
	}
	credentials, err := peer.NewCredentials(d.identity)
	if err != nil {
		return err
	}
	listener, err := netdial.ListenConfig().Listen(context.Background(), "tcp", d.settings.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for instances")
	}
	dialer := netdial.Dialer(peerDialTimeout)
	d.transport, err = peer.New(peer.Options{
		Self: d.self, Credentials: credentials, Listener: listener,
		Dial:        func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) },
		DialTimeout: peerDialTimeout, KeepAlive: peerKeepAlive, WriteTimeout: peerWriteTimeout, BackoffMax: peerBackoffMax,
		MaxMessageBytes: peerMessageBytes, Reserve: d.memory.ReserveMessage, Logger: d.log, Scope: d.metrics.SubScope("peer"),
		Traffic: traffic.NewMeter(d.metrics.SubScope("peer")),
	})
	if err != nil {
		return errors.CombineErrors(err, listener.Close())
	}
	regions, err := d.settings.regions()
	if err != nil {
		return err
	}
	d.store = platform.NewStore(d.settings.Store)
	d.edge, err = edge.New(edge.Options{
		Self: d.self, Regions: regions, CallerAddr: d.settings.CallerAddr,
		PeerAddr: cmp.Or(d.settings.AdvertisePeer, d.settings.PeerAddr), LinkMbps: d.settings.LinkMbps, Cores: d.settings.processors(), MemoryMB: float64(d.settings.MemoryMB),
		Utilisation: newUtilisationMeter(d.settings.processors(), time.Now).measure, FirstStart: d.settings.FirstStart, Bounds: d.settings.bounds(),
		Store: d.store, Feed: d.store, Documents: platform.Documents{}, Dialect: platform.Dialect{},
		Dial: netdial.Dialer(endpointDialTimeout).DialContext, Clock: clock.Boot{}, Memory: d.memory, Log: d.log, Scope: d.metrics,
	}, &trustingNetwork{Transport: d.transport, own: d.identity})
	return err
}

// Start listens and begins to serve. An error is logged before it is returned, since the process ends with it.
func (d *Daemon) Start() error {
	err := d.start()
	if err != nil {
		d.log.Error("start failed; the process ends", zap.Error(err))
		err = errors.CombineErrors(err, d.writer.Sync())
	}
	return err
}

func (d *Daemon) start() error {
	d.log.Info("start", zap.Uint64("incarnation", d.self.Incarnation), zap.String("region", d.self.Region),
		zap.String("data_centre", d.self.DataCentre), zap.String("caller_addr", d.settings.CallerAddr),
		zap.String("peer_addr", d.settings.PeerAddr), zap.String("store", d.settings.Store))
	go d.logHangups()
	go d.updateGauges()
	d.transport.Start()
	if err := d.edge.Start(d.identity.Certificate); err != nil {
		return err
	}
	calls := platform.NewHandler(d.edge.Ready, d.edge)
	d.callers = newCallerServer(d.server(http.HandlerFunc(d.serveCaller)))
	d.callers.gate = newConnectionGate(d.memory, d.settings.callerConnections(), cmp.Or(d.settings.ConnectionsPerAddr, defaultConnectionsPerAddr))
	listen := map[string]*http.Server{d.settings.CallerAddr: d.callers.server, d.settings.ReadyAddr: d.server(calls)}
	if d.settings.DirectoryAddr != d.settings.ReadyAddr {
		listen[d.settings.DirectoryAddr] = d.server(calls)
	}
	if d.settings.MetricsAddr != "" {
		listen[d.settings.MetricsAddr] = d.server(d.metrics.Handler)
	}
	for addr, server := range listen {
		config := netdial.ListenConfig()
		if server == d.callers.server {
			config = netdial.CallerListenConfig()
		}
		listener, err := config.Listen(context.Background(), "tcp", addr)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", addr)
		}
		if server == d.callers.server {
			listener = callerListener{Listener: listener, memory: d.memory}
			d.callers.listener = listener
		} else {
			d.servers = append(d.servers, server)
		}
		go d.serve(server, listener)
	}
	return nil
}

func (d *Daemon) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: d.headerTimeout(), IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		DisableGeneralOptionsHandler: true, ErrorLog: zap.NewStdLog(d.log.Named("http")),
	}
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.log.Error("server stopped unexpectedly; its address is not served any more", zap.Stringer("addr", listener.Addr()), zap.Error(err))
	}
}

func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	d.edge.ServeHTTP(w, r)
}

// logHangups logs each request to reload (SIGHUP). Settings come from the environment of the process, which does not change
// while it runs; what may change comes from the store.
func (d *Daemon) logHangups() {
	for range d.hangup {
		d.log.Info("reload asked for: no setting changes while the process runs")
	}
}

// Stop is the planned stop. Callers are sent to other instances, then requests that may outlast the process are rejected, and
// the process ends when no request is in flight or the grace time is over. Requests whose answer has not begun by then get an error.
func (d *Daemon) Stop(ctx context.Context) error {
	began := time.Now()
	grace := seconds(d.settings.Grace)
	d.log.Info("stop", zap.Int64("in_flight", d.inFlight.Load()), zap.Int64("forwarded", d.edge.Forwarded()), zap.Duration("grace", grace))
	d.edge.Leave()
	end := clock.Boot{}.Now().Add(grace - killReserve - answerReserve)
	d.edge.DeclineForwardedBeyond(end)
	ctx, cancel := context.WithTimeout(ctx, grace-killReserve)
	defer cancel()
	waitCtx, cancelWait := context.WithTimeout(ctx, grace-killReserve-answerReserve)
	defer cancelWait()
	// An error means that the grace time is over, which the following steps check themselves.
	_ = clock.Sleep(waitCtx, min(maxRejectDelay, time.Duration(float64(grace)*rejectFraction)))
	d.edge.RejectBeyond(end)
	for time.Since(began) < time.Duration(float64(grace)*idleStopFraction) || d.inFlight.Load() > 0 {
		if clock.Sleep(waitCtx, stopPollInterval) != nil {
			break
		}
	}
	// An attempt of another region that came later would find neither the fleet nor the queue for endpoints in operation.
	d.edge.DeclineForwardedBeyond(clock.Boot{}.Now())
	for d.edge.Forwarded() > 0 && clock.Sleep(waitCtx, stopPollInterval) == nil {
	}
	defer context.AfterFunc(waitCtx, d.edge.EndUnanswered)()
	err := d.callers.drain(ctx)
	unfinished := d.inFlight.Load()
	err = errors.CombineErrors(err, d.callers.close())
	unfinishedForwarded := d.edge.Forwarded()
	d.edge.Close()
	err = errors.CombineErrors(err, d.transport.Close(ctx))
	for _, s := range d.servers {
		err = errors.CombineErrors(err, s.Close())
	}
	d.store.Close()
	d.log.Info("stopped", zap.Duration("took", time.Since(began)), zap.Int64("cut", unfinished),
		zap.Int64("forwarded", unfinishedForwarded), zap.Int64("log_lines_dropped", d.writer.Dropped()), zap.Error(err))
	err = errors.CombineErrors(err, d.metrics.Close())
	return errors.CombineErrors(err, d.writer.Close())
}
