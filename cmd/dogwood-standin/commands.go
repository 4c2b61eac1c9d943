package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// rates are the limits of one service.
type rates struct {
	Writes float64 `help:"Writes per second; 0 is no limit." default:"0"`
	Reads  float64 `help:"Reads per second; 0 is no limit." default:"0"`
}

func (r rates) memory() memory.Rates { return memory.Rates{Writes: r.Writes, Reads: r.Reads} }

// listen is the address of one stand-in.
type listen struct {
	Listen string `help:"Address to listen on (ip:port)." default:"127.0.0.1:0"`
}

type storeCmd struct {
	listen
	rates
}

// Run serves the store until ctx ends.
func (c *storeCmd) Run(ctx context.Context, app *cli) error {
	return app.serve(ctx, "store", c.Listen, standin.NewStore(memory.StoreOptions{Rates: c.memory()}))
}

type directoryCmd struct {
	listen
	rates
}

// Run serves the directory until ctx ends.
func (c *directoryCmd) Run(ctx context.Context, app *cli) error {
	return app.serve(ctx, "directory", c.Listen, standin.NewDirectory(memory.DirectoryOptions{Rates: c.memory()}))
}

type instancesCmd struct {
	listen
	rates
	Lag time.Duration `help:"Time from a change to its appearance in the list." default:"2s"`
}

// Run serves the instance list until ctx ends.
func (c *instancesCmd) Run(ctx context.Context, app *cli) error {
	opts := memory.InstanceListOptions{Rates: c.memory(), Lag: c.Lag}
	return app.serve(ctx, "instances", c.Listen, standin.NewInstanceList(opts))
}

// sizes are weights as model/version=bytes.
type sizes struct {
	Size []string `help:"Size of a version's weights as model/version=bytes. May be repeated."`
}

func (s sizes) parse() ([]standin.WeightSize, error) {
	var out []standin.WeightSize
	var found []error
	for _, text := range s.Size {
		name, number, _ := strings.Cut(text, "=")
		n, err := strconv.ParseInt(number, 10, 64)
		i := strings.LastIndexByte(name, '/') // a model's name may contain slashes
		if err != nil || n < 0 || i < 1 || i == len(name)-1 {
			found = append(found, errors.Newf("size %q is not model/version=bytes", text))
			continue
		}
		out = append(out, standin.WeightSize{Model: name[:i], Version: name[i+1:], Bytes: n})
	}
	return out, errors.Join(found...)
}

type weightsCmd struct {
	listen
	rates
	sizes
}

// Run serves the weight store until ctx ends.
func (c *weightsCmd) Run(ctx context.Context, app *cli) error {
	list, err := c.parse()
	if err != nil {
		return err
	}
	s := standin.NewWeightStore(memory.WeightStoreOptions{Rates: c.memory()})
	for _, w := range list {
		s.Twin().SetSize(w.Model, w.Version, w.Bytes)
	}
	return app.serve(ctx, "weights", c.Listen, s)
}

// engineFlags configure an engine.
type engineFlags struct {
	Model           []string      `help:"Model that is loaded at the start, as name@version or name@version:adapter,adapter. May be repeated, or separated by semicolons." sep:";"`
	Role            string        `help:"Role at the start."`
	BatchSlots      int           `help:"Requests that are worked on at once." default:"8"`
	PrefillRate     float64       `help:"Prompt tokens per second, for all requests together." default:"8000"`
	TokenInterval   time.Duration `help:"Time between tokens of a request that is alone." default:"20ms"`
	DepthSlowdown   float64       `help:"Share by which a full batch lengthens the time between tokens." default:"1"`
	MaxWaiting      int           `help:"Longest queue; further requests get 503. 0 is no limit." default:"0"`
	ContextTokens   int           `help:"Longest prompt and output together. 0 is no limit." default:"0"`
	OutputTokens    int           `help:"Length of an answer without a lower limit." default:"64"`
	CacheBlocks     int           `help:"Size of the prefix cache in blocks of 64 tokens." default:"4096"`
	LoadLag         time.Duration `help:"Age of load reports." default:"500ms"`
	CacheEventDelay time.Duration `help:"Time until a cache event is published." default:"200ms"`
	CacheEventGap   float64       `help:"Probability that a cache event is lost." default:"0"`
	Seed            uint64        `help:"Seed of the random losses." default:"1"`
	ChecksFencing   bool          `help:"Refuse orders with an old fencing number."`
	LoadRate        float64       `help:"Speed of loading weights in bytes per second." default:"2e9"`
	ResumeWindow    time.Duration `help:"Time for which a request runs on without a reader." default:"10s"`
}

func (f engineFlags) options() (standin.EngineOptions, error) {
	models, err := parseModels(f.Model)
	return standin.EngineOptions{
		Models: models, Role: f.Role,
		BatchSlots: f.BatchSlots, PrefillRate: f.PrefillRate, TokenInterval: f.TokenInterval,
		DepthSlowdown: f.DepthSlowdown, MaxWaiting: f.MaxWaiting,
		ContextTokens: f.ContextTokens, OutputTokens: f.OutputTokens,
		CacheBlocks: f.CacheBlocks, LoadLag: f.LoadLag,
		CacheEventDelay: f.CacheEventDelay, CacheEventGap: f.CacheEventGap, Seed: f.Seed,
		ChecksFencing: f.ChecksFencing, LoadBytesPerSecond: f.LoadRate, ResumeWindow: f.ResumeWindow,
	}, err
}

func parseModels(texts []string) ([]standin.EngineModel, error) {
	var out []standin.EngineModel
	var found []error
	for _, text := range texts {
		name, rest, _ := strings.Cut(text, "@")
		version, adapters, _ := strings.Cut(rest, ":")
		if name == "" || version == "" {
			found = append(found, errors.Newf("model %q is not name@version or name@version:adapters", text))
			continue
		}
		m := standin.EngineModel{Name: name, Version: version}
		if adapters != "" {
			m.Adapters = strings.Split(adapters, ",")
		}
		out = append(out, m)
	}
	return out, errors.Join(found...)
}

type engineCmd struct {
	listen
	engineFlags
	WeightsURL string `help:"Base URL of the weight store. Empty: every version has the same size."`
}

// Run serves an engine until ctx ends.
func (c *engineCmd) Run(ctx context.Context, app *cli) error {
	opts, err := c.options()
	if err != nil {
		return err
	}
	if c.WeightsURL != "" {
		weights, err := platform.NewWeightStoreClient(platform.ClientOptions{URL: c.WeightsURL})
		if err != nil {
			return err
		}
		defer weights.Close()
		opts.Weights = weights
	}
	e, err := standin.NewEngine(opts)
	if err != nil {
		return err
	}
	return app.serve(ctx, "engine", c.Listen, e)
}

type serviceCmd struct {
	listen
	Delay time.Duration `help:"Time that each request takes." default:"0"`
}

// Run serves a plain service until ctx ends.
func (c *serviceCmd) Run(ctx context.Context, app *cli) error {
	return app.serve(ctx, "service", c.Listen, standin.NewService(standin.ServiceOptions{Delay: c.Delay}))
}

type allCmd struct {
	engineFlags
	sizes
	Host          string        `help:"IP address to listen on." default:"127.0.0.1"`
	Engines       int           `help:"Number of engines." default:"1"`
	Services      int           `help:"Number of plain services." default:"1"`
	ServiceDelay  time.Duration `help:"Time that each request to a plain service takes." default:"0"`
	StoreWrites   float64       `help:"Store writes per second; 0 is no limit." default:"0"`
	StoreReads    float64       `help:"Store reads per second; 0 is no limit." default:"0"`
	DirectoryRate float64       `help:"Directory writes per second; 0 is no limit." default:"0"`
	WeightsRate   float64       `help:"Weight store reads per second; 0 is no limit." default:"0"`
	InstanceLag   time.Duration `help:"Time from a change to its appearance in the instance list." default:"2s"`
}

// maxMembers bounds engines and services each: a mistyped number must not exhaust the machine's ports.
const maxMembers = 500

// Run serves all stand-ins until ctx ends.
func (c *allCmd) Run(ctx context.Context, app *cli) error {
	engine, engineErr := c.options()
	list, sizeErr := c.parse()
	if err := errors.Join(engineErr, sizeErr, checkMembers("engines", c.Engines), checkMembers("services", c.Services)); err != nil {
		return err
	}
	f, err := standin.StartFleet(standin.FleetOptions{
		Host:      c.Host,
		Store:     memory.StoreOptions{Rates: memory.Rates{Writes: c.StoreWrites, Reads: c.StoreReads}},
		Instances: memory.InstanceListOptions{Lag: c.InstanceLag},
		Directory: memory.DirectoryOptions{Rates: memory.Rates{Writes: c.DirectoryRate}},
		Weights:   memory.WeightStoreOptions{Rates: memory.Rates{Reads: c.WeightsRate}},
		Sizes:     list,
		Engines:   c.Engines,
		Engine:    engine,
		Services:  c.Services,
		Service:   standin.ServiceOptions{Delay: c.ServiceDelay},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	return app.wait(ctx, f.Addresses())
}

func checkMembers(what string, n int) error {
	if n < 0 || n > maxMembers {
		return errors.Newf("number of %s is %d, not 0 to %d", what, n, maxMembers)
	}
	return nil
}

// serve runs one stand-in until ctx ends.
func (c *cli) serve(ctx context.Context, name, addr string, s standin.Server) error {
	defer s.Close()
	l, err := standin.ListenOn(addr, s.Handler())
	if err != nil {
		return err
	}
	defer l.Close()
	return c.wait(ctx, []standin.Address{{Name: name, Addr: l.Addr()}})
}

// wait prints the addresses and waits for the end of ctx.
func (c *cli) wait(ctx context.Context, addrs []standin.Address) error {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	for _, a := range addrs {
		if err := encoder.Encode(a); err != nil {
			return errors.Wrap(err, "encode addresses")
		}
	}
	if _, err := os.Stdout.Write(out.Bytes()); err != nil {
		return errors.Wrap(err, "print addresses")
	}
	if c.ReadyFile != "" {
		if err := writeWhole(c.ReadyFile, out.Bytes()); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}

// writeWhole writes a file so that a reader never sees a part of it.
func writeWhole(path string, data []byte) error {
	temporary := path + ".tmp"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return errors.Wrap(err, "write ready file")
	}
	return errors.Wrap(os.Rename(temporary, path), "write ready file")
}
