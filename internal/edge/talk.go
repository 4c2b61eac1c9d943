package edge

import (
	"context"
	"io"
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
	// peerReadTime is how long after another instance has told of it a request's prompt is taken to be read.
	peerReadTime = 250 * time.Millisecond
	// completeEvery is the number of messages after which all is told again: endpoints may have been listed there since.
	completeEvery = 20
	// housekeepEvery is the interval of checks for instances that have gone and connections that are not used.
	housekeepEvery = 500 * time.Millisecond
)

// talk tells an instance this one's state until ctx ends.
func (e *Edge) talk(ctx context.Context, name string, near bool) {
	every := farEvery
	if near {
		every = nearEvery
	}
	for ctx.Err() == nil {
		err := e.tell(ctx, name, near, every)
		e.log.Debug("stream of states ended", zap.String("peer", name), zap.Error(err))
		_ = clock.Sleep(ctx, every) // the loop sees the end of ctx
	}
}

// tell sends this instance's state over one stream until it breaks. A stream costs each side a fraction of a call a message.
func (e *Edge) tell(ctx context.Context, name string, near bool, every time.Duration) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := e.network.Open(ctx, name, serviceState)
	if err != nil {
		return err
	}
	defer stream.Close()
	e.work.Go(func() { cancel(stream.Recv(&wire.EdgeStateEnd{})) })
	t := teller{edge: e, near: near}
	for n := 0; ; n++ {
		if err := stream.Send(t.next(n%completeEvery == 0)); err != nil {
			return err
		}
		if clock.Sleep(ctx, every) != nil {
			return context.Cause(ctx)
		}
	}
}

// teller makes the messages of one stream of states.
type teller struct {
	edge        *Edge
	near        bool
	nextPart    int64 // number of the next prompt part to tell
	nextRefusal int64 // number of the next refusal to tell
	// What the other instance was told.
	used map[string]float64            // by organisation
	work map[string]placement.PeerWork // by endpoint
}

// next returns what has changed since the last message, or all.
func (t *teller) next(complete bool) *wire.EdgeState {
	e := t.edge
	s := &wire.EdgeState{
		Ready: e.Ready(), Leaving: e.leaving.Load(), Refusing: e.closing(), ConfigurationVersion: e.state.version(), Complete: complete,
	}
	if complete {
		t.used, t.work = make(map[string]float64), make(map[string]placement.PeerWork)
	}
	e.quotaMu.Lock()
	e.quota.Used(func(name string, total float64) {
		if before, told := t.used[name]; !told || before != total {
			t.used[name] = total
			s.Organisations = append(s.Organisations, &wire.EdgeOrganisationUse{Name: name, Used: total})
		}
	})
	e.quotaMu.Unlock()
	if t.near {
		t.addWork(s)
		t.addParts(s)
		t.addRefusals(s)
	} else {
		t.addLoad(s)
	}
	return s
}

// addLoad adds the load of each service, for instances of other regions.
func (t *teller) addLoad(s *wire.EdgeState) {
	now := t.edge.clock.Now()
	t.edge.pools.each(func(name string, pool *servicePool) {
		sum := pool.worstSummary(now)
		s.Services = append(s.Services, &wire.EdgeServiceLoad{
			Name: name, Usable: uint32(sum.Usable), WaitMillis: uint32(sum.Wait.Milliseconds()),
		})
	})
}

// addWork adds the endpoints at which this instance's work has changed.
func (t *teller) addWork(s *wire.EdgeState) {
	t.edge.pools.each(func(_ string, pool *servicePool) {
		pool.OwnWork(func(id string, w placement.PeerWork) {
			if t.work[id] == w {
				return
			}
			t.work[id] = w
			s.Endpoints = append(s.Endpoints, &wire.EdgeEndpointWork{
				Id: id, Running: uint32(w.Running), UnreadTokens: uint32(w.Unread), MemoryTokens: uint32(w.Memory),
			})
		})
	})
}

// addParts adds the prompt parts that were read since the last message.
func (t *teller) addParts(s *wire.EdgeState) {
	uses, next := t.edge.pools.partsSince(t.nextPart)
	t.nextPart = next
	for _, u := range uses {
		parts := &wire.EdgeEndpointParts{Id: u.endpoint}
		for _, p := range u.parts {
			parts.Keys = append(parts.Keys, p.Key)
			parts.Tokens = append(parts.Tokens, uint32(p.Tokens))
		}
		s.Parts = append(s.Parts, parts)
	}
}

// addRefusals adds the requests that were refused since the last message.
func (t *teller) addRefusals(s *wire.EdgeState) {
	refusals, next := t.edge.returns.since(t.nextRefusal)
	t.nextRefusal = next
	now := t.edge.clock.Now()
	for _, r := range refusals {
		if r.expires > now {
			s.Refusals = append(s.Refusals, &wire.EdgeRefusal{
				Key: r.key, AgeMillis: uint32(now.Sub(r.first).Milliseconds()), ValidMillis: uint32(r.expires.Sub(now).Milliseconds()),
			})
		}
	}
}

// serveState takes another instance's states until the stream ends, or until this instance does: the other one would keep it open
// until it has noticed.
func (e *Edge) serveState(_ context.Context, from peer.Identity, stream peer.Stream) error {
	stop := context.AfterFunc(e.ctx, func() { _ = stream.Close() }) // Recv returns the error
	defer stop()
	for {
		var s wire.EdgeState
		if err := stream.Recv(&s); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := e.takeState(from, &s); err != nil {
			return err
		}
	}
}

// takeState takes another instance's state.
func (e *Edge) takeState(from peer.Identity, s *wire.EdgeState) error {
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
		return errors.Newf("incarnation %d of %s is not known", from.Incarnation, from.Instance)
	}
	used := make(map[string]float64, len(s.GetOrganisations()))
	for _, o := range s.GetOrganisations() {
		used[o.GetName()] = o.GetUsed()
	}
	e.quotaMu.Lock()
	e.quota.Heard(now, from.Instance, from.Incarnation, used)
	e.quotaMu.Unlock()
	e.pools.peerReported(from.Instance, s, now)
	for _, r := range s.GetRefusals() {
		e.returns.heard(r.GetKey(), time.Duration(r.GetAgeMillis())*time.Millisecond, time.Duration(r.GetValidMillis())*time.Millisecond)
	}
	if s.GetConfigurationVersion() > e.state.version() {
		e.wantDocument(from.Instance)
	}
	return nil
}

// peerReported takes what another instance of the region has under way at endpoints.
func (p *pools) peerReported(instance string, s *wire.EdgeState, now clock.Instant) {
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
		pool.PeerHeard(instance, s.GetComplete(), now)
		for _, w := range s.GetEndpoints() {
			pool.PeerReported(instance, w.GetId(), placement.PeerWork{
				Running: int(w.GetRunning()), Unread: float64(w.GetUnreadTokens()), Memory: float64(w.GetMemoryTokens()),
			})
		}
		for id, list := range parts {
			pool.Holds(id, list, now.Add(peerReadTime))
		}
	}
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
