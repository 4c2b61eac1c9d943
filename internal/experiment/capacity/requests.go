package capacity

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/core/configview"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/gateway"
	"dogwoodknot.example/dogwoodknot/internal/limits"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

// requestsPerSize is the number of requests that an average is taken over.
const requestsPerSize = 150

// measureRequests streams answers of several lengths through a gateway over loopback and subtracts what the same caller and
// endpoint take without it.
func measureRequests(ctx context.Context, o Options, s *Section) error {
	endpoint, err := startEndpoint()
	if err != nil {
		return err
	}
	defer endpoint.close()
	entry, err := startEntry(ctx, endpoint.addr, o.Organisations)
	if err != nil {
		return err
	}
	defer entry.stop()
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	lengths := []int{1, 16, 64, 256}
	var nanos, bytes, factors []float64
	for _, tokens := range lengths {
		endpoint.tokens.Store(int64(tokens))
		direct, err := streams(ctx, client, endpoint.addr, "")
		if err != nil {
			return err
		}
		through, err := streams(ctx, client, entry.addr, configview.FormatKey(keyOf(0, 0)))
		if err != nil {
			return err
		}
		nanos = append(nanos, through.nanos-direct.nanos)
		bytes = append(bytes, through.bytes-direct.bytes)
		factors = append(factors, through.nanos/direct.nanos)
	}
	if err := errors.Join(
		s.add("processor time of the gateway for a request", "ns", "token", points(lengths, nanos)...),
		s.add("bytes allocated by the gateway for a request", "bytes", "token", points(lengths, bytes)...),
		s.add("processor time with the gateway against without it", "times", "token", points(lengths, factors)...),
	); err != nil {
		return err
	}
	return nil
}

// entryInstance is the data path of one instance, without peers.
type entryInstance struct {
	addr string
	stop func()
}

func startEntry(ctx context.Context, endpointAddr string, organisations int) (*entryInstance, error) {
	cfg := generalOf(1, 0)
	cfg.Regions = []config.Region{{Name: regionName(0), DataCentres: []string{dataCentreName(0, 0)}, Slots: 1}}
	cfg.Endpoints = []config.Endpoint{{
		Name: "runner", Kind: config.KindEngine, Addr: endpointAddr, Region: regionName(0), DataCentre: dataCentreName(0, 0),
		Models: []string{modelName(0)}, Slots: 64,
	}}
	for i := range organisations {
		org := organisation(i)
		org.Home, org.Rate, org.Burst = "", 1e9, 1e9
		cfg.Organisations = append(cfg.Organisations, org)
	}
	view, err := viewOf(ctx, cfg)
	if err != nil {
		return nil, err
	}
	self := rowsOf(minDaemons)[0]
	network := newFabric().add(identityOf(self))
	limiter, err := limits.New(limits.Options{
		Network: network, Store: memory.NewStore(memory.StoreOptions{}), Clock: clock.Boot{}, Config: view, Peers: fixedPeers{},
		RenewBase: slotInterval,
	})
	if err != nil {
		return nil, err
	}
	d, err := dispatch.New(dispatch.Options{Region: regionName(0), DataCentre: dataCentreName(0, 0), Source: view, Clock: clock.Boot{}})
	if err != nil {
		return nil, err
	}
	g, err := gateway.New(gateway.Options{Region: regionName(0), Source: view, Limiter: limiter, Dispatcher: d, Clock: clock.Boot{}, Metrics: tally.NoopScope})
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	if err := limiter.Start(ctx); err != nil {
		return nil, err
	}
	d.Start()
	go func() { _ = g.Serve(l) }()
	stop := func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
		defer cancel()
		_ = g.Close()
		_ = limiter.Stop(ctx)
		d.Stop()
	}
	if err := waitForTokens(ctx, limiter); err != nil {
		stop()
		return nil, err
	}
	return &entryInstance{addr: l.Addr().String(), stop: stop}, nil
}

// waitForTokens waits until the new slot has gathered tokens for all requests.
func waitForTokens(ctx context.Context, l *limits.Service) error {
	const enough = 1e8
	for {
		if u, ok := l.Usage(organisationName(0)); ok && u.Level > enough {
			return nil
		}
		if err := clock.Sleep(ctx, 5*time.Millisecond); err != nil {
			return err
		}
	}
}

// streams sends requests one after the other and returns the processor time and allocated bytes of one, of the whole process.
func streams(ctx context.Context, client *http.Client, addr, key string) (cost, error) {
	if err := streamOnce(ctx, client, addr, key); err != nil {
		return cost{}, err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := cpuTime()
	for range requestsPerSize {
		if err := streamOnce(ctx, client, addr, key); err != nil {
			return cost{}, err
		}
	}
	used := cpuTime() - start
	runtime.ReadMemStats(&after)
	return cost{float64(used.Nanoseconds()) / requestsPerSize, float64(after.TotalAlloc-before.TotalAlloc) / requestsPerSize}, nil
}

func streamOnce(ctx context.Context, client *http.Client, addr, key string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(chatBody()))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(body), "[DONE]") {
		return errors.Newf("status %d: %.200s", resp.StatusCode, body)
	}
	return nil
}
