package operations

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/peer"
	"dogwoodknot.example/dogwoodknot/internal/peer/peertest"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

const (
	testRegion = "lima"
	testOrg    = "taller-uno"
)

// hookedStore is the in-memory store with hooks around each call and a count of written bytes.
type hookedStore struct {
	*memory.Store

	mu    sync.Mutex
	bytes int
	// before runs ahead of a call and can refuse it; after runs when the call has taken effect and can lose its answer.
	before, after func(caller, kind, key string) error
}

// callerStore is the store as one instance sees it.
type callerStore struct {
	*hookedStore
	name string
}

func (s *hookedStore) hook(before, after func(caller, kind, key string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before, s.after = before, after
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
	err := f()
	if after != nil {
		if lost := after(s.name, kind, key); lost != nil {
			return lost
		}
	}
	return err
}

// Put writes even if the caller's context has ended, as a write does that is on its way.
func (s callerStore) Put(ctx context.Context, key string, value []byte, o platform.PutOptions) (rev int64, err error) {
	err = s.around(memory.KindPut, key, func() error {
		s.mu.Lock()
		s.bytes += len(key) + len(value)
		s.mu.Unlock()
		rev, err = s.Store.Put(context.WithoutCancel(ctx), key, value, o)
		return err
	})
	return rev, err
}

func (s callerStore) Get(ctx context.Context, key string) (e platform.Entry, err error) {
	err = s.around(memory.KindGet, key, func() error {
		e, err = s.Store.Get(ctx, key)
		return err
	})
	return e, err
}

func (s callerStore) List(ctx context.Context, prefix, after string, limit int) (out []platform.Entry, err error) {
	err = s.around(memory.KindList, prefix, func() error {
		out, err = s.Store.List(ctx, prefix, after, limit)
		return err
	})
	return out, err
}

func (s callerStore) Delete(ctx context.Context, key string, ifRevision *int64) error {
	return s.around(memory.KindDelete, key, func() error { return s.Store.Delete(ctx, key, ifRevision) })
}

// entries returns the number of entries of the log of slot 0.
func (s *hookedStore) entries() int {
	rows, err := s.Store.List(context.Background(), logPrefix(testRegion, 0), "", 0)
	if err != nil {
		return -1
	}
	return len(rows)
}

func (s *hookedStore) writes() int64 { return s.Counts().Calls[memory.KindPut] }

// fakeHub is the in-memory network with hooks around each call.
type fakeHub struct {
	*peertest.Fabric

	mu sync.Mutex
	// before runs ahead of a call and can refuse it; after runs when the answer has arrived and can lose it.
	before, after func(ctx context.Context, from, to, service string) error
	// delay runs while a call is on its way to its handler.
	delay func(from, to string)
}

func (h *fakeHub) hook(before, after func(ctx context.Context, from, to, service string) error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.before, h.after = before, after
}

func (h *fakeHub) hooks() (before, after func(ctx context.Context, from, to, service string) error, delay func(from, to string)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.before, h.after, h.delay
}

// node is the network of one instance.
type node struct {
	*peertest.Network
	hub *fakeHub
}

var _ peer.Network = (*node)(nil)

func (n *node) Handle(service string, h peer.Handler) {
	n.Network.Handle(service, func(ctx context.Context, from peer.Identity, s peer.Stream) error {
		if _, _, delay := n.hub.hooks(); delay != nil {
			delay(from.Instance, n.Self().Instance)
		}
		return h(ctx, from, s)
	})
}

func (n *node) Call(ctx context.Context, to, service string, req, resp proto.Message) error {
	before, after, _ := n.hub.hooks()
	if before != nil {
		if err := before(ctx, n.Self().Instance, to, service); err != nil {
			return err
		}
	}
	err := n.Network.Call(ctx, to, service, req, resp)
	if err == nil && after != nil {
		err = after(ctx, n.Self().Instance, to, service)
	}
	return err
}

func (n *node) Open(ctx context.Context, to, service string) (peer.Stream, error) {
	before, after, _ := n.hub.hooks()
	if before != nil {
		if err := before(ctx, n.Self().Instance, to, service); err != nil {
			return nil, err
		}
	}
	s, err := n.Network.Open(ctx, to, service)
	if err != nil || after == nil {
		return s, err
	}
	return hookedStream{s, func() error { return after(ctx, n.Self().Instance, to, service) }}, nil
}

// hookedStream can lose the answer of a stream.
type hookedStream struct {
	peer.Stream
	after func() error
}

func (s hookedStream) Recv(m proto.Message) error {
	if err := s.Stream.Recv(m); err != nil {
		return err
	}
	return s.after()
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
	return &Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {testContentType}}, Body: fmt.Appendf(nil, "%s %d", name, n)}, Ran, nil
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
	name string
}

// fleet is a set of instances with one store.
type fleet struct {
	t        testing.TB
	store    *hookedStore
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
		store:    &hookedStore{Store: memory.NewStore(memory.StoreOptions{})},
		hub:      &fakeHub{Fabric: peertest.NewFabric(t)},
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
	n := &node{f.hub.Add(id), f.hub}
	o := DefaultOptions()
	o.Network = n
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
	o.Log.ClaimTimeout = 300 * time.Millisecond
	o.Log.StoreRetryDelay = 10 * time.Millisecond
	o.Log.DeleteInterval = time.Millisecond
	if f.tune != nil {
		f.tune(&o)
	}
	s, err := New(o)
	if err != nil {
		f.t.Fatal(err)
	}
	s.Start()
	i := &instance{s, f, name}
	f.t.Cleanup(i.abandon)
	return i
}

// kill ends an instance at once: its connections break and it starts no store call any more. Calls that it has started
// go on like packets on their way.
func (i *instance) kill() {
	i.f.hub.Remove(i.name)
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
// testContentType is that of requests and answers. Headers may hold bytes that are not UTF-8.
const testContentType = "text/plain; name=caf\xe9"

func (i *instance) do(key, body string) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return i.doCtx(ctx, key, body, "")
}

func (i *instance) doCtx(ctx context.Context, key, body, label string) Outcome {
	req := Request{
		Organisation: testOrg,
		Key:          key,
		BodyDigest:   Digest(testOrg, http.MethodPost, "/deposits", testContentType, []byte(body)),
		Method:       http.MethodPost,
		Path:         "/deposits",
		// The label tells attempts apart. The route is not part of the digest.
		Forwardable: &ForwardedRequest{Route: label, Method: http.MethodPost, Path: "/deposits", ContentType: testContentType, Body: []byte(body)},
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
