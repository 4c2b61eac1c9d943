package operations

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

const (
	testRegion = "lima"
	testOrg    = "taller-uno"
)

// fakeStore is a key-value store whose calls can be held, refused or stripped of their answers.
type fakeStore struct {
	platform.Store // panics on calls that the package does not use

	mu       sync.Mutex
	entries  map[string]platform.Entry
	revision int64
	writes   int
	reads    int
	deletes  int
	bytes    int
	// before runs ahead of a call and can refuse it; after runs when the call has taken effect and can lose its answer.
	before, after func(caller, kind, key string) error
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]platform.Entry{}} }

// callerStore is the store as one instance sees it.
type callerStore struct {
	*fakeStore
	name string
}

func (s callerStore) around(kind, key string, f func() error) error {
	s.mu.Lock()
	before, after := s.before, s.after
	s.mu.Unlock()
	if before != nil {
		if err := before(s.name, kind, key); err != nil {
			return err
		}
	}
	s.mu.Lock()
	err := f()
	s.mu.Unlock()
	if after != nil {
		if lost := after(s.name, kind, key); lost != nil {
			return lost
		}
	}
	return err
}

func (s *fakeStore) hook(before, after func(caller, kind, key string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before, s.after = before, after
}

func (s callerStore) Put(_ context.Context, key string, value []byte, o platform.PutOptions) (int64, error) {
	var rev int64
	err := s.around("put", key, func() error {
		s.writes++
		if _, ok := s.entries[key]; ok && o.IfRevision != nil && *o.IfRevision == platform.IfAbsent {
			return platform.ErrConflict
		}
		s.revision++
		rev = s.revision
		s.bytes += len(key) + len(value)
		s.entries[key] = platform.Entry{Key: key, Value: value, Revision: rev}
		return nil
	})
	return rev, err
}

func (s callerStore) Get(_ context.Context, key string) (platform.Entry, error) {
	var e platform.Entry
	err := s.around("get", key, func() error {
		s.reads++
		var ok bool
		if e, ok = s.entries[key]; !ok {
			return platform.ErrNotFound
		}
		return nil
	})
	return e, err
}

func (s callerStore) List(_ context.Context, prefix, after string, limit int) ([]platform.Entry, error) {
	var out []platform.Entry
	err := s.around("list", prefix, func() error {
		s.reads++
		for k, e := range s.entries {
			if strings.HasPrefix(k, prefix) && k > after {
				out = append(out, e)
			}
		}
		sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
		out = out[:min(len(out), limit)]
		return nil
	})
	return out, err
}

func (s callerStore) Delete(_ context.Context, key string, _ *int64) error {
	return s.around("delete", key, func() error {
		s.deletes++
		if _, ok := s.entries[key]; !ok {
			return platform.ErrNotFound
		}
		delete(s.entries, key)
		return nil
	})
}

func (s *fakeStore) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

// fakeHub connects the instances of a test.
type fakeHub struct {
	mu    sync.Mutex
	nodes map[string]*fakeNode
	// before runs ahead of a call and can refuse it; after runs when the handler has answered and can lose the answer.
	before, after func(from, to, service string) error
	// delay runs while a call is on its way to its handler.
	delay func(from, to string)
}

type fakeNode struct {
	hub      *fakeHub
	id       peer.Identity
	handlers map[string]peer.Handler
	down     chan struct{} // closed when the instance has ended
}

var _ peer.Network = (*fakeNode)(nil)

func (h *fakeHub) join(id peer.Identity) *fakeNode {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := &fakeNode{hub: h, id: id, handlers: map[string]peer.Handler{}, down: make(chan struct{})}
	h.nodes[id.Instance] = n
	return n
}

func (h *fakeHub) leave(n *fakeNode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(n.down)
	if h.nodes[n.id.Instance] == n {
		delete(h.nodes, n.id.Instance)
	}
}

func (h *fakeHub) hook(before, after func(from, to, service string) error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.before, h.after = before, after
}

func (n *fakeNode) Self() peer.Identity                    { return n.id }
func (n *fakeNode) Handle(service string, h peer.Handler)  { n.handlers[service] = h }
func (n *fakeNode) SetPeers(map[string]string)             {}
func (n *fakeNode) find(instance string) (*fakeNode, bool) { return n.hub.find(instance) }

func (h *fakeHub) find(instance string) (*fakeNode, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	to, ok := h.nodes[instance]
	return to, ok
}

func (n *fakeNode) Connected() []peer.Identity {
	n.hub.mu.Lock()
	defer n.hub.mu.Unlock()
	var out []peer.Identity
	for name, to := range n.hub.nodes {
		if name != n.id.Instance {
			out = append(out, to.id)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

func (n *fakeNode) Call(ctx context.Context, instance, service string, req, resp proto.Message) error {
	s, err := n.Open(ctx, instance, service)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.Send(req); err != nil {
		return err
	}
	if err := s.CloseSend(); err != nil {
		return err
	}
	return s.Recv(resp)
}

func (n *fakeNode) Open(ctx context.Context, instance, service string) (peer.Stream, error) {
	to, ok := n.find(instance)
	n.hub.mu.Lock()
	before, after, delay := n.hub.before, n.hub.after, n.hub.delay
	n.hub.mu.Unlock()
	if !ok || instance == n.id.Instance {
		return nil, errors.Wrap(peer.ErrUnknownPeer, instance)
	}
	if before != nil {
		if err := before(n.id.Instance, instance, service); err != nil {
			return nil, err
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	client := &fakeStream{ctx: ctx, cancel: cancel, down: to.down, in: make(chan []byte, 64), out: make(chan []byte, 64), ended: make(chan error, 1)}
	server := &fakeStream{ctx: ctx, cancel: func() {}, down: n.down, in: client.out, out: client.in}
	go func() {
		if delay != nil {
			delay(n.id.Instance, instance)
		}
		err := to.handlers[service](ctx, n.id, server)
		if after != nil {
			if lost := after(n.id.Instance, instance, service); lost != nil {
				client.ended <- lost
				return
			}
		}
		if err != nil {
			client.ended <- &peer.RemoteError{Instance: instance, Service: service, Message: err.Error()}
			return
		}
		client.ended <- nil
		_ = server.CloseSend()
	}()
	return client, nil
}

// fakeStream delivers the answer of a handler after its end, so that the hub's after hook can lose it.
type fakeStream struct {
	ctx     context.Context
	cancel  func()
	down    chan struct{}
	in, out chan []byte
	ended   chan error // end of the handler, at the caller's side only
	once    sync.Once
}

func (s *fakeStream) Send(m proto.Message) error {
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	select {
	case s.out <- b:
		return nil
	case <-s.down:
	case <-s.ctx.Done():
	}
	return errors.Wrap(peer.ErrBroken, "send")
}

func (s *fakeStream) Recv(m proto.Message) error {
	if s.ended != nil {
		select {
		case err := <-s.ended:
			if err != nil {
				return err
			}
		case <-s.down:
			return errors.Wrap(peer.ErrBroken, "instance has ended")
		case <-s.ctx.Done():
			return errors.Wrap(peer.ErrBroken, "call has ended")
		}
	}
	select {
	case b, ok := <-s.in:
		if !ok {
			return io.EOF
		}
		return proto.Unmarshal(b, m)
	case <-s.down:
	case <-s.ctx.Done():
	}
	return errors.Wrap(peer.ErrBroken, "receive")
}

func (s *fakeStream) CloseSend() error {
	s.once.Do(func() { close(s.out) })
	return nil
}

func (s *fakeStream) Close() error {
	s.cancel()
	return nil
}

// fakeSlots is the table of slot owners, shared by the instances of a test.
type fakeSlots struct {
	mu     sync.Mutex
	owners map[string]map[int]string // by region
	subs   map[int]slotSub
	next   int
	// deaf instances keep the table they had and hear of no change.
	deaf map[string]map[string]map[int]string
}

type slotSub struct {
	instance string
	f        func()
}

func (t *fakeSlots) set(region string, slot int, instance string) {
	t.mu.Lock()
	if t.owners[region] == nil {
		t.owners[region] = map[int]string{}
	}
	t.owners[region][slot] = instance
	var subs []func()
	for _, sub := range t.subs {
		if t.deaf[sub.instance] == nil {
			subs = append(subs, sub.f)
		}
	}
	t.mu.Unlock()
	for _, f := range subs {
		f()
	}
}

// deafen freezes the table of an instance.
func (t *fakeSlots) deafen(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	frozen := map[string]map[int]string{}
	for region, slots := range t.owners {
		frozen[region] = maps.Clone(slots)
	}
	t.deaf[instance] = frozen
}

// undeafen lets an instance see the table again.
func (t *fakeSlots) undeafen(instance string) {
	t.mu.Lock()
	delete(t.deaf, instance)
	var subs []func()
	for _, sub := range t.subs {
		if sub.instance == instance {
			subs = append(subs, sub.f)
		}
	}
	t.mu.Unlock()
	for _, f := range subs {
		f()
	}
}

func (v slotView) table() map[string]map[int]string {
	if frozen := v.deaf[v.self.Instance]; frozen != nil {
		return frozen
	}
	return v.owners
}

// slotView is the table as one instance sees it.
type slotView struct {
	*fakeSlots
	self peer.Identity
}

func (v slotView) Owned() []int {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []int
	for slot, name := range v.table()[v.self.Region] {
		if name == v.self.Instance {
			out = append(out, slot)
		}
	}
	return out
}

func (v slotView) Owner(region string, slot int) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	name, ok := v.table()[region][slot]
	return name, ok
}

func (v slotView) Subscribe(f func()) func() {
	v.mu.Lock()
	defer v.mu.Unlock()
	id := v.next
	v.next++
	v.subs[id] = slotSub{v.self.Instance, f}
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.subs, id)
	}
}

// noView panics on calls that the package does not make.
type noView struct{ configsync.View }

// fakeView is a fixed configuration.
type fakeView struct {
	noView
	general *config.Config
	orgs    map[string]*config.Organisation
}

func (v fakeView) View() configsync.View                         { return v }
func (v fakeView) Subscribe(func(configsync.View)) func()        { return func() {} }
func (v fakeView) General() *config.Config                       { return v.general }
func (v fakeView) Organisation(name string) *config.Organisation { return v.orgs[name] }

// endpoint counts executions by the name of the operation and by the label of the attempt.
type endpoint struct {
	mu     sync.Mutex
	ran    map[string]int
	labels map[string]int
	first  func(name string) // runs before the first byte is sent
	after  func(name string) // runs when the endpoint has executed the request
	answer func(name string) // runs when the answer has arrived
}

func (e *endpoint) run(_ context.Context, name, label string) (*Answer, Execution, error) {
	e.mu.Lock()
	first, after, answer := e.first, e.after, e.answer
	e.mu.Unlock()
	notify(first, name)
	e.mu.Lock()
	e.ran[name]++
	e.labels[label]++
	n := e.ran[name]
	e.mu.Unlock()
	notify(after, name)
	notify(answer, name)
	return &Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: fmt.Appendf(nil, "%s %d", name, n)}, Ran, nil
}

func notify(f func(string), name string) {
	if f != nil {
		f(name)
	}
}

func (e *endpoint) byLabel(label string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.labels[label]
}

func (e *endpoint) executions(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[name]
}

// instance is an instance of a test.
type instance struct {
	*Service
	f    *fleet
	node *fakeNode
	name string
}

// fleet is a set of instances with one store.
type fleet struct {
	t        testing.TB
	store    *fakeStore
	hub      *fakeHub
	slots    *fakeSlots
	view     fakeView
	endpoint *endpoint
	mu       sync.Mutex
	wallSkew time.Duration
	next     uint64
	// tune changes the options of instances that are started later.
	tune func(*Options)
}

func newFleet(t testing.TB) *fleet {
	general := &config.Config{Regions: []config.Region{{Name: testRegion, Slots: 1}, {Name: "cusco", Slots: 1}}}
	return &fleet{
		t:        t,
		store:    newFakeStore(),
		hub:      &fakeHub{nodes: map[string]*fakeNode{}},
		slots:    &fakeSlots{owners: map[string]map[int]string{}, subs: map[int]slotSub{}, deaf: map[string]map[string]map[int]string{}},
		view:     fakeView{general: general, orgs: map[string]*config.Organisation{testOrg: {Name: testOrg, RecordsRegion: testRegion}, "otro": {Name: "otro", RecordsRegion: testRegion}}},
		endpoint: &endpoint{ran: map[string]int{}, labels: map[string]int{}},
	}
}

func (f *fleet) wall() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Add(f.wallSkew)
}

func (f *fleet) advanceWall(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wallSkew += d
}

// RunForwarded runs a forwarded request at the endpoint.
func (f *fleet) RunForwarded(ctx context.Context, _ string, req *ForwardedRequest) (*Answer, Execution, error) {
	return f.endpoint.run(ctx, string(req.Body), req.Route)
}

var testSecret = []byte("test secret of thirty-two bytes.")

// start starts an instance. The name is reused by a restart, the incarnation is not.
func (f *fleet) start(name string) *instance {
	f.t.Helper()
	f.mu.Lock()
	f.next++
	id := peer.Identity{Instance: name, Region: testRegion, DataCentre: testRegion + "-a", Incarnation: f.next}
	f.mu.Unlock()
	node := f.hub.join(id)
	o := DefaultOptions()
	o.Network = node
	o.Store = callerStore{f.store, name}
	o.Slots = slotView{f.slots, id}
	o.Config = f.view
	o.Runner = f
	o.Wall = f.wall
	o.Secrets = [][]byte{testSecret}
	o.StoreTimeout = 200 * time.Millisecond
	o.ReopenDelay = 20 * time.Millisecond
	o.Log.GroupDelay = time.Millisecond
	o.Log.ResultDelay = 5 * time.Millisecond
	o.Log.Patience = 300 * time.Millisecond
	o.Log.StoreRetry = 10 * time.Millisecond
	o.Log.DeleteInterval = time.Millisecond
	if f.tune != nil {
		f.tune(&o)
	}
	s, err := New(o)
	if err != nil {
		f.t.Fatal(err)
	}
	s.Start()
	i := &instance{s, f, node, name}
	f.t.Cleanup(i.abandon)
	return i
}

// kill ends an instance at once: its connections break and it starts no store call any more. Calls that it has started
// go on like packets on their way.
func (i *instance) kill() {
	i.f.hub.leave(i.node)
	i.endSlots()
	i.mu.Lock()
	i.stopping, i.stopped = true, true
	i.mu.Unlock()
	i.cancel()
}

// crash kills an instance and waits until it has ended.
func (i *instance) crash() {
	i.kill()
	i.abandon()
}

// do sends the request that is named by body.
func (i *instance) do(key, body string) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return i.doCtx(ctx, key, body, "")
}

func (i *instance) doCtx(ctx context.Context, key, body, label string) Outcome {
	req := Request{
		Organisation: testOrg,
		Key:          key,
		BodyDigest:   Digest(testOrg, http.MethodPost, "/deposits", "text/plain", []byte(body)),
		Method:       http.MethodPost,
		Path:         "/deposits",
		// The label tells attempts apart. The route is not part of the digest.
		Forwardable: &ForwardedRequest{Route: label, Method: http.MethodPost, Path: "/deposits", ContentType: "text/plain", Body: []byte(body)},
	}
	return i.Do(ctx, req, func(ctx context.Context) (*Answer, Execution, error) { return i.f.endpoint.run(ctx, body, label) })
}

// doReady repeats a request until the owner has finished its takeover.
func (i *instance) doReady(key, body string) Outcome {
	var o Outcome
	for range 400 {
		o = i.do(key, body)
		if o.Code != CodeOwnerStarting && o.Code != CodeOwnerChanged {
			return o
		}
		time.Sleep(5 * time.Millisecond)
	}
	return o
}

func newKey(t testing.TB) string {
	t.Helper()
	u, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return u.String()
}

// keyAt returns a UUIDv7 with the given time.
func keyAt(t testing.TB, at time.Time) string {
	t.Helper()
	u := uuid.MustParse(newKey(t))
	ms := at.UnixMilli()
	for i := range 6 {
		u[5-i] = byte(ms >> (8 * i))
	}
	return u.String()
}

// eventually waits until a condition holds.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for range 600 {
		if cond() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not reached: %s", what)
}
