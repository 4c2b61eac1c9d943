package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/routing"
	"dogwoodknot.example/dogwoodknot/internal/dispatch"
	"dogwoodknot.example/dogwoodknot/internal/limits"
	"dogwoodknot.example/dogwoodknot/internal/operations"
	"dogwoodknot.example/dogwoodknot/internal/peer"
)

// API keys of the test configuration. The secrets are long enough not to occur in other data by chance.
const (
	workshopSecret = "w0rkshopsecret5f0c2f7a9b1e4d6c8a0b"
	boundSecret    = "b0undsecret77aa01c2d3e4f5a6b7c8d9e0"
	workshopKey    = "dk_1k_" + workshopSecret
	boundKey       = "dk_2k_" + boundSecret
)

type fakeView struct {
	revision  int64
	general   *config.Config
	orgs      map[string]*config.Organisation
	keys      map[string]string // names of organisations by key
	withdrawn map[string]bool
}

var _ configsync.View = (*fakeView)(nil)

func (v *fakeView) Revision() int64                               { return v.revision }
func (v *fakeView) General() *config.Config                       { return v.general }
func (v *fakeView) Organisation(name string) *config.Organisation { return v.orgs[name] }
func (v *fakeView) KeyWithdrawn(id string) bool                   { return v.withdrawn[id] }
func (v *fakeView) Organisations(f func(*config.Organisation) bool) {
	for _, o := range v.orgs {
		if !f(o) {
			return
		}
	}
}

func (v *fakeView) Authenticate(key string) (*config.Organisation, string, configsync.KeyStatus) {
	parts := strings.SplitN(key, "_", 3)
	if len(parts) < 3 {
		return nil, "", configsync.KeyUnknown
	}
	if v.withdrawn[parts[1]] {
		return nil, parts[1], configsync.KeyWithdrawn
	}
	if parts[1] == "9new" {
		return nil, parts[1], configsync.KeyNewer
	}
	org := v.orgs[v.keys[key]]
	if org == nil {
		return nil, parts[1], configsync.KeyUnknown
	}
	return org, parts[1], configsync.KeyValid
}

type fakeSource struct {
	mu   sync.Mutex
	view *fakeView
	subs []func(configsync.View)
}

func (s *fakeSource) View() configsync.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *fakeSource) Subscribe(f func(configsync.View)) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subs = append(s.subs, f)
	return func() {}
}

// change applies f to a copy of the view, puts the copy in force and notifies the subscribers.
func (s *fakeSource) change(f func(v *fakeView)) {
	s.mu.Lock()
	next := *s.view
	general := *next.general
	next.general = &general
	next.withdrawn = map[string]bool{}
	for id := range s.view.withdrawn {
		next.withdrawn[id] = true
	}
	orgs := map[string]*config.Organisation{}
	for name, o := range next.orgs {
		copied := *o
		orgs[name] = &copied
	}
	next.orgs = orgs
	next.revision++
	f(&next)
	s.view = &next
	subs := s.subs
	s.mu.Unlock()
	for _, sub := range subs {
		sub(&next)
	}
}

type fakeLimiter struct {
	mu         sync.Mutex
	next       uint64
	rejectWith *limits.RefusedError
	expired    int // charges with an ID up to this are no longer valid
	admitted   []int64
	settled    map[uint64]int64
}

func (l *fakeLimiter) Admit(_ context.Context, org string, tokens int64) (limits.Charge, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rejectWith != nil {
		return limits.Charge{}, l.rejectWith
	}
	l.next++
	l.admitted = append(l.admitted, tokens)
	return limits.Charge{ID: l.next, Organisation: org, Tokens: tokens}, nil
}

func (l *fakeLimiter) StillValid(c limits.Charge) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.ID > uint64(l.expired)
}

func (l *fakeLimiter) Settle(c limits.Charge, used int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.settled == nil {
		l.settled = map[uint64]int64{}
	}
	if _, twice := l.settled[c.ID]; twice {
		panic("charge " + strconv.FormatUint(c.ID, 10) + " was settled twice")
	}
	l.settled[c.ID] = used
}

// waitSettled waits until all charges are settled, and returns their number and the sum of the usage.
func (l *fakeLimiter) waitSettled(t *testing.T) (charges int, used int64) {
	t.Helper()
	eventually(t, "all charges are settled", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.settled) == len(l.admitted)
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range l.settled {
		used += u
	}
	return len(l.admitted), used
}

// fakeNet is an in-memory peer.Network of one instance. Messages are encoded as on the wire.
type fakeNet struct {
	self     peer.Identity
	bus      *fakeBus
	handlers map[string]peer.Handler
}

// fakeBus connects the fakeNets of a test.
type fakeBus struct {
	mu    sync.Mutex
	nets  map[string]*fakeNet
	sent  [][]byte        // all messages
	links map[string]bool // false or missing: the peer cannot be reached
	opens int
	cut   func(message []byte, n int) bool // returns true to break a stream before the handler's nth message
	live  []*fakeStream
}

// breakLinks breaks all open streams, and makes new ones fail.
func (b *fakeBus) breakLinks() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.links)
	for _, s := range b.live {
		s.breaks.Do(func() { close(s.broken) })
		s.cancel()
	}
}

func newBus() *fakeBus { return &fakeBus{nets: map[string]*fakeNet{}, links: map[string]bool{}} }

func (b *fakeBus) join(name, region string) *fakeNet {
	n := &fakeNet{self: peer.Identity{Instance: name, Region: region}, bus: b, handlers: map[string]peer.Handler{}}
	b.nets[name] = n
	b.links[name] = true
	return n
}

func (n *fakeNet) Self() peer.Identity                   { return n.self }
func (n *fakeNet) Handle(service string, h peer.Handler) { n.handlers[service] = h }
func (n *fakeNet) SetPeers(map[string]string)            {}
func (n *fakeNet) Connected() []peer.Identity            { return nil }
func (n *fakeNet) Call(context.Context, string, string, proto.Message, proto.Message) error {
	return peer.ErrNotSent
}

func (n *fakeNet) Open(ctx context.Context, instance, service string) (peer.Stream, error) {
	n.bus.mu.Lock()
	target, up := n.bus.nets[instance], n.bus.links[instance]
	n.bus.opens++
	n.bus.mu.Unlock()
	if target == nil || !up {
		return nil, errors.Mark(errors.New("no session"), peer.ErrNotSent)
	}
	handlerCtx, cancel := context.WithCancel(context.Background())
	there, back := make(chan []byte, 64), make(chan []byte, 64)
	broken := make(chan struct{})
	breaks := &sync.Once{}
	caller := &fakeStream{ctx: ctx, out: there, in: back, bus: n.bus, broken: broken, breaks: breaks, cancel: cancel}
	callee := &fakeStream{ctx: handlerCtx, out: back, in: there, bus: n.bus, broken: broken, breaks: breaks, callee: true}
	n.bus.mu.Lock()
	n.bus.live = append(n.bus.live, caller)
	n.bus.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { caller.Close() })
	go func() {
		defer stop()
		_ = target.handlers[service](handlerCtx, n.self, callee)
		callee.CloseSend()
	}()
	return caller, nil
}

type fakeStream struct {
	ctx    context.Context
	out    chan []byte
	in     chan []byte
	bus    *fakeBus
	broken chan struct{}
	cancel context.CancelFunc
	callee bool
	count  int
	once   sync.Once
	breaks *sync.Once // guards broken, which both ends share
}

func (s *fakeStream) Send(m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	s.bus.mu.Lock()
	s.bus.sent = append(s.bus.sent, raw)
	s.count++
	cut := s.callee && s.bus.cut != nil && s.bus.cut(raw, s.count)
	s.bus.mu.Unlock()
	if cut {
		s.breaks.Do(func() { close(s.broken) })
	}
	select {
	case <-s.broken:
		return peer.ErrBroken
	default:
	}
	select {
	case s.out <- raw:
		return nil
	case <-s.broken:
		return peer.ErrBroken
	case <-s.ctx.Done():
		return peer.ErrBroken
	}
}

func (s *fakeStream) Recv(m proto.Message) error {
	select {
	case raw, ok := <-s.in:
		if !ok {
			return io.EOF
		}
		return proto.Unmarshal(raw, m)
	case <-s.broken:
		return peer.ErrBroken
	case <-s.ctx.Done():
		return peer.ErrBroken
	}
}

func (s *fakeStream) CloseSend() error {
	s.once.Do(func() { close(s.out) })
	return nil
}

func (s *fakeStream) Close() error {
	if s.cancel != nil {
		s.cancel()
	}
	s.breaks.Do(func() { close(s.broken) })
	return nil
}

type fakeRegions struct{ loads []routing.RegionLoad }

func (r *fakeRegions) ForModel(string) []routing.RegionLoad   { return r.loads }
func (r *fakeRegions) ForService(string) []routing.RegionLoad { return r.loads }

type fakeEntries struct{ entries []Entry }

func (e *fakeEntries) Entries(_, region string) ([]Entry, time.Duration) {
	var out []Entry
	for _, x := range e.entries {
		if region == "" || x.Region == region {
			out = append(out, x)
		}
	}
	return out, time.Minute
}

// engine is a fake model endpoint. It answers with the tokens w0, w1 and so on.
type engine struct {
	*httptest.Server
	tokens        int
	tokenInterval time.Duration
	// breakAt is the index of the token before which the first streams are broken, by closing their connections. Resumed
	// streams are not broken.
	breakAt         int
	breaks          int  // number of requests still to be broken
	forgetsRequests bool // resume requests get a 404

	// atStep is called at each step of a stream: 0 before the first token, i+1 after token i of a chat, and tokens+1 before the usage
	// and the end event. It returns false to break the connection, or panics.
	atStep func(step int) bool

	mu        sync.Mutex
	seen      []seenRequest
	cancelled []string
	resumed   int
	active    int
}

type seenRequest struct {
	header http.Header
	target string
	body   []byte
}

func newEngine(t *testing.T) *engine {
	e := &engine{tokens: 5}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /engine/v1/requests/{id}/stream", e.resume)
	mux.HandleFunc("DELETE /engine/v1/requests/{id}", e.cancel)
	mux.HandleFunc("GET /engine/v1/load", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		fmt.Fprintf(w, `{"running":%d,"waiting":0,"queued_tokens":0,"batch_slots":8}`, e.active)
	})
	mux.HandleFunc("GET /engine/v1/cache-events", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"sequence":0,"events":[]}`)
	})
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Server.Close)
	return e
}

func (e *engine) addr() string { return strings.TrimPrefix(e.URL, "http://") }

func (e *engine) requests() []seenRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]seenRequest(nil), e.seen...)
}

func (e *engine) complete(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.seen = append(e.seen, seenRequest{r.Header.Clone(), r.RequestURI, body})
	e.active++
	breakNow := e.breaks > 0
	if breakNow {
		e.breaks--
	}
	e.mu.Unlock()
	countOut := sync.OnceFunc(func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	})
	defer countOut()
	var req struct {
		Stream bool   `json:"stream"`
		Model  string `json:"model"`
	}
	if json.Unmarshal(body, &req) != nil {
		http.Error(w, `{"error":{"message":"bad body"}}`, http.StatusBadRequest)
		return
	}
	chat := strings.Contains(r.URL.Path, "chat")
	if req.Stream {
		e.stream(w, r, chat, 0, breakNow, countOut)
		return
	}
	for range e.tokens {
		if !e.wait(r) {
			return
		}
	}
	var words []string
	for i := range e.tokens {
		words = append(words, fmt.Sprintf("w%d ", i))
	}
	text := strings.Join(words, "")
	choice := map[string]any{"index": 0, "finish_reason": "stop"}
	if chat {
		choice["message"] = map[string]any{"role": "assistant", "content": text}
	} else {
		choice["text"] = text
	}
	w.Header().Set("Content-Type", "application/json")
	raw, _ := json.Marshal(map[string]any{
		"id": "cmpl-1", "object": "chat.completion", "created": 1, "model": req.Model, "choices": []any{choice},
		"usage": map[string]any{"prompt_tokens": 7, "completion_tokens": e.tokens, "total_tokens": 7 + e.tokens},
	})
	if breakNow {
		w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
		w.Write(raw[:len(raw)/2])
		panic(http.ErrAbortHandler)
	}
	w.Write(raw)
}

func (e *engine) wait(r *http.Request) bool {
	if e.tokenInterval == 0 {
		return true
	}
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(e.tokenInterval):
		return true
	}
}

// stream writes the events of an answer. It calls beforeEnd before the last one: a caller may have that before the handler returns.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, chat bool, from int, breakNow bool, beforeEnd func()) {
	w.Header().Set("Content-Type", "text/event-stream")
	id := "c-" + r.Header.Get("X-Request-Id")
	flush := func(format string, args ...any) {
		fmt.Fprintf(w, "data: "+strings.Replace(format, `{"id":"c"`, `{"id":"`+id+`"`, 1)+"\n\n", args...)
		w.(http.Flusher).Flush()
	}
	step := func(n int) {
		if e.atStep != nil && !e.atStep(n) {
			panic(http.ErrAbortHandler)
		}
	}
	step(0)
	for i := from; i < e.tokens; i++ {
		if breakNow && i == e.breakAt {
			panic(http.ErrAbortHandler)
		}
		if !e.wait(r) {
			return
		}
		if chat {
			flush(`{"id":"c","object":"chat.completion.chunk","index_from":%d,"choices":[{"index":0,"delta":{"content":"w%d "},"finish_reason":null}]}`, i, i)
			step(i + 1)
			continue
		}
		flush(`{"id":"c","object":"text_completion","index_from":%d,"choices":[{"index":0,"text":"w%d ","finish_reason":null}]}`, i, i)
	}
	step(e.tokens + 1)
	if chat {
		flush(`{"id":"c","object":"chat.completion.chunk","index_from":%d,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`, e.tokens)
	} else {
		flush(`{"id":"c","object":"text_completion","index_from":%d,"choices":[{"index":0,"text":"","finish_reason":"stop"}]}`, e.tokens)
	}
	flush(`{"id":"c","object":"chat.completion.chunk","index_from":%d,"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":%d,"total_tokens":%d}}`, e.tokens, e.tokens, 7+e.tokens)
	beforeEnd()
	flush("[DONE]")
}

func (e *engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	lost := e.forgetsRequests
	if !lost {
		e.resumed++
	}
	e.mu.Unlock()
	if lost {
		http.NotFound(w, r)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.stream(w, r, true, from, false, func() {})
}

func (e *engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.cancelled = append(e.cancelled, r.PathValue("id"))
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// plainService is a fake service endpoint that counts the executions of its requests.
type plainService struct {
	*httptest.Server
	mu   sync.Mutex
	seen []seenRequest
	// answer, if set, writes the answer instead of the default one. It is called after the execution was counted; n is
	// the number of executions so far.
	answer func(w http.ResponseWriter, r *http.Request, n int)
}

func newService(t *testing.T) *plainService {
	s := &plainService{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.seen = append(s.seen, seenRequest{r.Header.Clone(), r.RequestURI, body})
		n, answer := len(s.seen), s.answer
		s.mu.Unlock()
		if answer != nil {
			answer(w, r, n)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"request_id":%q,"executions":%d}`, r.Header.Get("X-Request-Id"), n)
	}))
	t.Cleanup(s.Server.Close)
	return s
}

func (s *plainService) addr() string { return strings.TrimPrefix(s.URL, "http://") }

func (s *plainService) executions() []seenRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]seenRequest(nil), s.seen...)
}

// instance is a gateway with fake dependencies, listening on loopback.
type instance struct {
	*Gateway
	url        string
	source     *fakeSource
	limiter    *fakeLimiter
	dispatcher *dispatch.Dispatcher
	client     *http.Client
}

func testView(endpoints ...config.Endpoint) *fakeView {
	return &fakeView{
		revision: 1,
		general: &config.Config{
			Regions: []config.Region{{Name: "lima"}, {Name: "cusco"}},
			Models:  []config.Model{{Name: "taller-lm", Version: "1", ContextTokens: 8192, DefaultMaxTokens: 100}},
			Services: []config.Service{
				{Name: "libro-pedidos"}, {Name: "ledger", HomeBound: true},
			},
			Routes: []config.Route{
				{Name: "deposit", Service: "libro-pedidos", Method: "POST", Path: "/deposits/{id}", Deadline: 5 * time.Second, BodyLimit: 1000},
				{Name: "lot", Service: "libro-pedidos", Method: "GET", Path: "/lots/{id}", Idempotent: true, Deadline: 5 * time.Second},
				{Name: "status", Service: "libro-pedidos", Method: "GET", Path: "/status", Idempotent: true, Open: true, Deadline: 5 * time.Second},
				{Name: "entry", Service: "ledger", Method: "POST", Path: "/ledger", Deadline: 5 * time.Second},
			},
			Endpoints: endpoints,
		},
		orgs: map[string]*config.Organisation{
			"workshop": {Name: "workshop", Rate: 1000, Burst: 10000},
			"bound":    {Name: "bound", Rate: 1000, Burst: 10000, Home: "lima"},
		},
		keys:      map[string]string{workshopKey: "workshop", boundKey: "bound"},
		withdrawn: map[string]bool{},
	}
}

func engineAt(e *engine, name, region string) config.Endpoint {
	return config.Endpoint{Name: name, Kind: config.KindEngine, Addr: e.addr(), Region: region, DataCentre: "dc", Models: []string{"taller-lm"}}
}

func serviceAt(s *plainService, name, region string) config.Endpoint {
	return config.Endpoint{Name: name, Kind: config.KindService, Addr: s.addr(), Region: region, DataCentre: "dc", Service: "libro-pedidos"}
}

// noLoadPolls as the poll interval turns off the polling of endpoints for their load. A test that counts connections could not tell the
// polls' connections from those of requests.
const noLoadPolls = time.Hour

// start starts an instance in a region. change may change its options.
func start(t *testing.T, region string, view *fakeView, change func(o *Options, d *dispatch.Options)) *instance {
	t.Helper()
	in := &instance{source: &fakeSource{view: view}, limiter: &fakeLimiter{}}
	do := dispatch.Options{Region: region, DataCentre: "dc", Source: in.source, PollInterval: 50 * time.Millisecond, Seed: 1}
	o := Options{Region: region, Source: in.source, Limiter: in.limiter, StopDelay: 50 * time.Millisecond,
		Entries: &fakeEntries{entries: []Entry{{Name: "lima-1", Region: "lima", CallerAddr: "127.0.0.1:1"}, {Name: "cusco-1", Region: "cusco", CallerAddr: "127.0.0.1:2"}}}}
	if change != nil {
		change(&o, &do)
	}
	d, err := dispatch.New(do)
	if err != nil {
		t.Fatal(err)
	}
	in.dispatcher = d
	if do.PollInterval != noLoadPolls {
		d.Start()
	}
	o.Dispatcher = d
	if in.Gateway, err = New(o); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in.url = "http://" + l.Addr().String()
	served := make(chan error, 1)
	go func() { served <- in.Serve(l) }()
	in.client = &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
	t.Cleanup(func() {
		in.client.CloseIdleConnections()
		in.Close()
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
		d.Stop()
	})
	return in
}

// answer is an answer as the caller received it.
type answer struct {
	status int
	header http.Header
	body   string
	close  bool // the answer has "Connection: close"
}

// events returns the data of the answer's server-sent events.
func (a answer) events() []string {
	var out []string
	for _, block := range strings.Split(a.body, "\n\n") {
		if data, ok := strings.CutPrefix(block, "data: "); ok {
			out = append(out, data)
		}
	}
	return out
}

// text returns the joined text of the answer's events.
func (a answer) text(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	for _, e := range a.events() {
		var c struct {
			Choices []struct {
				Text  string `json:"text"`
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if e == "[DONE]" {
			continue
		}
		if err := json.Unmarshal([]byte(e), &c); err != nil {
			t.Fatalf("event %q: %v", e, err)
		}
		for _, ch := range c.Choices {
			out.WriteString(ch.Text + ch.Delta.Content)
		}
	}
	return out.String()
}

// request sends a request and returns its answer, which must have the headers of every answer.
func (in *instance) request(t *testing.T, method, path, key, body string, headers ...string) answer {
	t.Helper()
	req, err := http.NewRequest(method, in.url+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := in.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("read the answer: %v", err)
	}
	if resp.Header.Get(headerExecution) == "" || resp.Header.Get(headerRequestID) == "" {
		t.Errorf("%s %s: answer %d lacks %s or %s", method, path, resp.StatusCode, headerExecution, headerRequestID)
	}
	return answer{resp.StatusCode, resp.Header, string(raw), resp.Close}
}

// checkError checks the status, code and execution of an error answer, and that it has Retry-After where it must.
func (a answer) checkError(t *testing.T, status int, code string, ex operations.Execution) {
	t.Helper()
	var b errorBody
	if err := json.Unmarshal([]byte(a.body), &b); err != nil {
		t.Fatalf("answer %d %q: %v", a.status, a.body, err)
	}
	if a.status != status || b.Error.Code != code || b.Execution != ex || a.header.Get(headerExecution) != string(ex) {
		t.Fatalf("answer %d %s, want %d %s %s", a.status, a.body, status, code, ex)
	}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		if a.header.Get("Retry-After") == "" {
			t.Fatalf("answer %d has no Retry-After", status)
		}
	}
}

// eventually waits up to 5 s until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not within 5 s: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func chat(stream bool, extra string) string {
	return fmt.Sprintf(`{"model":"taller-lm","stream":%v,"messages":[{"role":"user","content":"which metal?"}]%s}`, stream, extra)
}
