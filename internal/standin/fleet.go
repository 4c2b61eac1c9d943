package standin

import (
	"net"
	"strconv"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// FleetOptions configure one of each platform service and any number of endpoints.
type FleetOptions struct {
	// Host is the IP address to listen on, each stand-in on a free port. Empty: 127.0.0.1.
	Host      string
	Store     memory.StoreOptions
	Instances memory.InstanceListOptions
	Directory memory.DirectoryOptions
	Weights   memory.WeightStoreOptions
	// Sizes are the weights' sizes. If there are any, the engines ask the weight store for them.
	Sizes    []WeightSize
	Engines  int
	Engine   EngineOptions // of each engine; the seeds count up
	Services int
	Service  ServiceOptions
}

// WeightSize is the size of a model's version in bytes.
type WeightSize struct {
	Model   string
	Version string
	Bytes   int64
}

// Address is where a stand-in listens.
type Address struct {
	Name string `json:"name"`
	Addr string `json:"addr"` // ip:port
}

// Fleet is a running set of stand-ins.
type Fleet struct {
	Store     *Store
	Instances *InstanceList
	Directory *Directory
	Weights   *WeightStore
	Engines   []*Engine
	Services  []*Service

	running []runningServer
}

type runningServer struct {
	name     string
	server   Server
	listener *Listener
}

// StartFleet starts the stand-ins. On an error, none is left running.
func StartFleet(opts FleetOptions) (*Fleet, error) {
	f := &Fleet{
		Store:     NewStore(opts.Store),
		Instances: NewInstanceList(opts.Instances),
		Directory: NewDirectory(opts.Directory),
		Weights:   NewWeightStore(opts.Weights),
	}
	for _, s := range opts.Sizes {
		f.Weights.Twin().SetSize(s.Model, s.Version, s.Bytes)
	}
	if err := f.start(opts); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(opts FleetOptions) error {
	var failed []error
	add := func(name string, s Server) {
		failed = append(failed, f.add(opts.Host, name, s))
	}
	add("store", f.Store)
	add("instances", f.Instances)
	add("directory", f.Directory)
	add("weights", f.Weights)
	for i := range opts.Engines {
		engineOpts := opts.Engine
		engineOpts.Seed += uint64(i)
		if len(opts.Sizes) > 0 {
			engineOpts.Weights = f.Weights.Twin()
		}
		e, err := NewEngine(engineOpts)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, e)
		add("engine-"+strconv.Itoa(i), e)
	}
	for i := range opts.Services {
		s := NewService(opts.Service)
		f.Services = append(f.Services, s)
		add("service-"+strconv.Itoa(i), s)
	}
	return errors.Join(failed...)
}

func (f *Fleet) add(host, name string, s Server) error {
	if host == "" {
		host = "127.0.0.1"
	}
	l, err := ListenOn(net.JoinHostPort(host, "0"), s.Handler())
	if err != nil {
		s.Close()
		return errors.Wrap(err, name)
	}
	f.running = append(f.running, runningServer{name: name, server: s, listener: l})
	return nil
}

// Addresses returns where the stand-ins listen, in the order of their start: store, instances, directory, weights,
// engine-0 and so on, service-0 and so on.
func (f *Fleet) Addresses() []Address {
	out := make([]Address, 0, len(f.running))
	for _, r := range f.running {
		out = append(out, Address{Name: r.name, Addr: r.listener.Addr()})
	}
	return out
}

// Listener returns the listener of a stand-in by name, or nil.
func (f *Fleet) Listener(name string) *Listener {
	for _, r := range f.running {
		if r.name == name {
			return r.listener
		}
	}
	return nil
}

// Close ends all stand-ins.
func (f *Fleet) Close() {
	for _, r := range f.running {
		r.server.Close()
		r.listener.Close()
	}
}
