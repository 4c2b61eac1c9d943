package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/placement"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/wire"
)

// Peer services of the exchange of state.
const (
	serviceState    = "edge.state"
	serviceDocument = "edge.document"
)

const (
	// nearEvery is the interval of messages within a region: their work at shared endpoints must be known before the next
	// few requests are placed.
	nearEvery = 80 * time.Millisecond
	// farEvery is the interval of messages to other regions, whose latency is of the same size.
	farEvery = 200 * time.Millisecond
	// stateTimeout bounds one message: a wide-area round trip and its repetition after a loss.
	stateTimeout = 700 * time.Millisecond
	// housekeepEvery is the interval of checks for instances that have gone and connections that are not used.
	housekeepEvery = 500 * time.Millisecond
)

// talk tells an instance this one's state until ctx ends.
func (e *Edge) talk(ctx context.Context, name string, near bool) {
	every := farEvery
	if near {
		every = nearEvery
	}
	cursor := int64(0)
	for ; ctx.Err() == nil; _ = clock.Sleep(ctx, every) {
		message, next := e.ownState(near, cursor)
		call, cancel := context.WithTimeout(ctx, stateTimeout)
		err := e.network.Call(call, name, serviceState, message, &wire.EdgeStateAck{})
		cancel()
		if err == nil {
			cursor = next
		}
	}
}

// ownState returns this instance's state, and the number of the next prompt part to tell.
func (e *Edge) ownState(near bool, cursor int64) (*wire.EdgeState, int64) {
	s := &wire.EdgeState{Ready: e.Ready(), Leaving: e.leaving.Load(), Refusing: e.closing(), ConfigurationVersion: e.state.version()}
	e.quotaMu.Lock()
	e.quota.Used(func(name string, total float64) {
		s.Organisations = append(s.Organisations, &wire.EdgeOrganisationUse{Name: name, Used: total})
	})
	e.quotaMu.Unlock()
	now := e.clock.Now()
	e.pools.each(func(name string, pool *servicePool) {
		if !near {
			sum := pool.worstSummary(now)
			s.Services = append(s.Services, &wire.EdgeServiceLoad{
				Name: name, Usable: uint32(sum.Usable), WaitMillis: uint32(sum.Wait.Milliseconds()),
			})
			return
		}
		pool.OwnWork(func(id string, w placement.PeerWork) {
			s.Endpoints = append(s.Endpoints, &wire.EdgeEndpointWork{
				Id: id, Running: uint32(w.Running), UnreadTokens: w.Unread, MemoryTokens: w.Memory,
			})
		})
	})
	if !near {
		return s, cursor
	}
	uses, next := e.pools.partsSince(cursor)
	for _, u := range uses {
		parts := &wire.EdgeEndpointParts{Id: u.endpoint}
		for _, p := range u.parts {
			parts.Keys = append(parts.Keys, p.Key)
			parts.Tokens = append(parts.Tokens, uint32(p.Tokens))
		}
		s.Parts = append(s.Parts, parts)
	}
	return s, next
}

// serveState takes another instance's state.
func (e *Edge) serveState(_ context.Context, from peer.Identity, s *wire.EdgeState) (proto.Message, error) {
	now := e.clock.Now()
	services := make(map[string]routing.RegionLoad, len(s.GetServices()))
	for _, l := range s.GetServices() {
		if l.GetUsable() == 0 {
			continue
		}
		services[l.GetName()] = routing.RegionLoad{
			Region: from.Region, Instance: from.Instance, OneWay: unknownOneWay,
			Wait: time.Duration(l.GetWaitMillis()) * time.Millisecond,
		}
	}
	if !e.fleet.heardFrom(from, s, services) {
		return nil, errors.Newf("incarnation %d of %s is not known", from.Incarnation, from.Instance)
	}
	used := make(map[string]float64, len(s.GetOrganisations()))
	for _, o := range s.GetOrganisations() {
		used[o.GetName()] = o.GetUsed()
	}
	e.quotaMu.Lock()
	e.quota.Heard(now, from.Instance, from.Incarnation, used)
	e.quotaMu.Unlock()
	e.pools.peerReported(from.Instance, s, now)
	if s.GetConfigurationVersion() > e.state.version() {
		e.wantDocument(from.Instance)
	}
	return &wire.EdgeStateAck{}, nil
}

// peerReported takes what another instance of the region has under way at endpoints.
func (p *pools) peerReported(instance string, s *wire.EdgeState, now clock.Instant) {
	if len(s.GetEndpoints()) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	parts := make(map[string][]placement.Part)
	for _, u := range s.GetParts() {
		for i, key := range u.GetKeys() {
			if i < len(u.GetTokens()) {
				parts[u.GetId()] = append(parts[u.GetId()], placement.Part{Key: key, Tokens: float64(u.GetTokens()[i])})
			}
		}
	}
	for _, pool := range p.byService {
		for _, w := range s.GetEndpoints() {
			pool.PeerReported(instance, w.GetId(), placement.PeerWork{
				Running: int(w.GetRunning()), Unread: w.GetUnreadTokens(), Memory: w.GetMemoryTokens(),
			}, now)
		}
		for id, list := range parts {
			pool.Holds(id, list)
		}
	}
	p.pumpAll()
}

// partsSince returns the prompt parts that own requests have read since number n, and the next number.
func (p *pools) partsSince(n int64) ([]partUse, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used.since(n)
}

// wantDocument fetches a newer configuration from the instance that has it in force, unless that is under way. The store may
// turn this instance away while it serves others.
func (e *Edge) wantDocument(instance string) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	e.spawn(func(ctx context.Context) {
		defer e.fetching.Store(false)
		// The store's own answer is usually on its way.
		if clock.Sleep(ctx, documentDelay) != nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, documentTimeout)
		defer cancel()
		var doc wire.EdgeDocument
		if err := e.network.Call(ctx, instance, serviceDocument, &wire.EdgeDocumentRequest{}, &doc); err != nil {
			e.log.Warn("configuration not fetched", zap.String("peer", instance), zap.Error(err))
			return
		}
		if doc.GetVersion() > e.state.version() {
			e.state.accept(doc.GetValue(), instance)
		}
	})
}

const (
	// documentDelay is the wait for the store before a configuration is fetched from another instance: its watch returns
	// within the pause between watches.
	documentDelay = 400 * time.Millisecond
	// documentTimeout bounds the fetch of up to a megabyte over a wide-area link.
	documentTimeout = 2 * time.Second
)

func (e *Edge) serveDocument(context.Context, peer.Identity, *wire.EdgeDocumentRequest) (proto.Message, error) {
	c := e.state.configuration.Load()
	if c == nil {
		return nil, errors.New("no configuration is in force")
	}
	return &wire.EdgeDocument{Version: c.Version, Value: c.document}, nil
}
