package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/zap"

	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/operator"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

func TestMain(m *testing.M) { testscript.Main(m, map[string]func(){"dogwoodctl": main}) }

// The scripts run the command against stand-ins of the platform and instances that follow the store.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"instance": cmdInstance,
			"store":    cmdStore,
			"race":     cmdRace,
			"capture":  cmdCapture,
			"slot":     cmdSlot,
		},
	})
}

// testSite is the platform and the instances of one script.
type testSite struct {
	store     *standin.Store
	list      *standin.InstanceList
	storeURL  string
	listURL   string
	mu        sync.Mutex
	instances map[string]*testInstance
	snapshot  memory.Snapshot
	// beforeHead is called once before the next write of the head.
	beforeHead func()
}

// callTimeout bounds a call of the scripts to a stand-in, which answers at once also when it is down. 2 s were too short: beside load the
// process with the stand-ins may get no processor time for longer.
const callTimeout = time.Minute

type siteKey struct{}

func setup(env *testscript.Env) error {
	s := &testSite{
		store:     standin.NewStore(memory.StoreOptions{}),
		list:      standin.NewInstanceList(memory.InstanceListOptions{}),
		instances: make(map[string]*testInstance),
	}
	serve := func(h http.Handler) (string, error) {
		l, err := standin.Listen(h)
		if err != nil {
			return "", err
		}
		env.Defer(l.Close)
		return l.URL(), l.Start()
	}
	var err error
	if s.storeURL, err = serve(s.interceptHead(s.store.Handler())); err != nil {
		return err
	}
	if s.listURL, err = serve(s.list.Handler()); err != nil {
		return err
	}
	env.Setenv("DOGWOODKNOT_STORE", s.storeURL)
	env.Setenv("DOGWOODKNOT_INSTANCES", s.listURL)
	env.Setenv("DOGWOODKNOT_AUTHOR", "ana")
	env.Setenv("DOGWOODKNOT_RETRY_FOR", "1s")
	env.Setenv("DOGWOODKNOT_TIMEOUT", callTimeout.String())
	env.Values[siteKey{}] = s
	env.Defer(s.stopAll)
	return nil
}

func siteOf(ts *testscript.TestScript) *testSite { return ts.Value(siteKey{}).(*testSite) }

func (s *testSite) interceptHead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "config/head") {
			s.mu.Lock()
			f := s.beforeHead
			s.beforeHead = nil
			s.mu.Unlock()
			if f != nil {
				f()
			}
		}
		next.ServeHTTP(w, r)
	})
}

// testInstance is the part of an instance that operators talk to.
type testInstance struct {
	status operator.Status
	sync   *configsync.Syncer
	kv     *platform.StoreClient
	port   *operator.Server
	// applied bounds the applied revision, if not 0.
	applied atomic.Int64
}

var _ operator.Backend = (*testInstance)(nil)

func (i *testInstance) Status() operator.Status {
	st := i.status
	st.Revision = i.sync.View().Revision()
	st.Applied = min(st.Revision, cmp.Or(i.applied.Load(), st.Revision))
	if err := i.sync.Ready(); err != nil {
		st.Reason = err.Error()
	} else {
		st.Ready = true
	}
	return st
}

func (i *testInstance) Usage() []operator.Usage {
	return []operator.Usage{{Name: "rosa", RateShare: 250, BurstShare: 1500, Level: 1000, UsedPerSecond: 125}}
}

func (i *testInstance) Orders() operator.Orders {
	return operator.Orders{
		Instance: i.status.Instance, Region: i.status.Region, Issuer: i.status.Incarnation == 101, Fencing: 42,
		Blocked: []operator.BlockedLoad{{Endpoint: "taller-01", Model: "taller-lm", Reason: "it would take one of the last ready copies of the model"}},
	}
}

func (i *testInstance) Withdraw(ctx context.Context, ids []string) error {
	i.sync.Withdraw(ctx, ids)
	return nil
}

func (i *testInstance) Drain() {}

func (i *testInstance) stop() {
	_ = i.port.Stop(context.Background())
	_ = i.sync.Stop(context.Background())
	i.kv.Close()
}

// start starts an instance. Its incarnation is the number of instances before it plus 101.
func (s *testSite) start(name, region string) error {
	kv, err := platform.NewStoreClient(platform.ClientOptions{URL: s.storeURL})
	if err != nil {
		return err
	}
	sync, err := configsync.New(configsync.Options{Store: kv})
	if err != nil {
		return err
	}
	i := &testInstance{sync: sync, kv: kv, status: operator.Status{
		Instance: name, Region: region, DataCentre: region + "-a", Incarnation: uint64(101 + len(s.instances)),
	}}
	i.port = operator.NewServer(operator.Options{Addr: "127.0.0.1:0", Token: "t0ken", Backend: i, Metrics: http.NotFoundHandler(), Log: zap.NewNop()})
	if err := i.port.Start(context.Background()); err != nil {
		return err
	}
	if err := sync.Start(context.Background()); err != nil {
		return err
	}
	s.mu.Lock()
	s.instances[name] = i
	s.mu.Unlock()
	return s.list.Twin().Announce(context.Background(), platform.ListedInstance{
		Name: name, Kind: platform.KindEntry, Region: region, DataCentre: region + "-a", Incarnation: i.status.Incarnation,
		OperatorAddr: i.port.Addr(), State: platform.StateLive,
	})
}

func (s *testSite) stopAll() {
	for _, i := range s.instances {
		i.stop()
	}
}

// cmdInstance starts and stops instances: instance start NAME REGION; instance stop NAME.
func cmdInstance(ts *testscript.TestScript, neg bool, args []string) {
	s := siteOf(ts)
	if neg || len(args) < 2 {
		ts.Fatalf("usage: instance start NAME REGION | instance stop NAME | instance applied NAME REVISION")
	}
	switch args[0] {
	case "start":
		ts.Check(s.start(args[1], args[2]))
		ts.Setenv("DOGWOODKNOT_OPERATOR_TOKEN", "t0ken")
	case "applied": // 0: whatever is in force
		n, err := strconv.ParseInt(args[2], 10, 64)
		ts.Check(err)
		s.instances[args[1]].applied.Store(n)
	case "stop":
		s.instances[args[1]].stop()
		delete(s.instances, args[1])
	}
}

// cmdStore injects faults: store down|up|drop-answers N|snapshot|restore.
func cmdStore(ts *testscript.TestScript, _ bool, args []string) {
	s := siteOf(ts)
	twin := s.store.Twin()
	switch args[0] {
	case "down":
		twin.SetFaults(memory.Faults{Down: true})
	case "up":
		twin.SetFaults(memory.Faults{})
	case "drop-answers":
		n, err := strconv.Atoi(args[1])
		ts.Check(err)
		twin.SetFaults(memory.Faults{DropAnswers: n})
	case "snapshot":
		s.snapshot = twin.Snapshot()
	case "restore":
		twin.Restore(s.snapshot)
	default:
		ts.Fatalf("store: unknown fault %q", args[0])
	}
}

// cmdRace runs another operator's command right before the next write of the head: race ARGS.
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	s := siteOf(ts)
	line := []string{"--store", s.storeURL, "--author", "bea"}
	for _, arg := range args {
		if strings.HasSuffix(arg, ".yaml") {
			arg = ts.MkAbs(arg)
		}
		line = append(line, arg)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeHead = func() {
		var out bytes.Buffer
		if code := run(context.Background(), line, &out, &out); code != 0 {
			panic(fmt.Sprintf("race: exit code %d\n%s", code, out.String()))
		}
	}
}

// cmdCapture sets a variable to the first group of a pattern in the last output: capture NAME PATTERN.
func cmdCapture(ts *testscript.TestScript, _ bool, args []string) {
	m := regexp.MustCompile(args[1]).FindStringSubmatch(ts.ReadFile("stdout"))
	if m == nil {
		ts.Fatalf("capture: no match of %q in stdout", args[1])
	}
	ts.Setenv(args[0], m[1])
}

// cmdSlot writes the record of a slot as internal/limits keeps it: slot REGION INDEX OWNER INCARNATION.
func cmdSlot(ts *testscript.TestScript, _ bool, args []string) {
	value := fmt.Sprintf(`{"owner":{"name":%q,"incarnation":%s}}`, args[2], args[3])
	_, err := siteOf(ts).store.Twin().Put(context.Background(), "slots/"+args[0]+"/"+args[1], []byte(value), platform.PutOptions{})
	ts.Check(err)
}

// Guards against a progress line that lists hundreds of instances, and against an empty fleet that counts as reached.
func TestProgress(t *testing.T) {
	var reports []report
	if progressOf(reports, 1).done() {
		t.Error("no instances count as done")
	}
	for i := range 9 {
		reports = append(reports, report{instance: instance{Name: fmt.Sprintf("i-%d", i)}, Revision: 9, Applied: int64(i)})
	}
	p := progressOf(reports, 8)
	if want := "in force on 1 of 9 instances, waiting for i-0, i-1, i-2, i-3, i-4 and 3 more"; p.String() != want {
		t.Errorf("%s, want %s", p, want)
	}
	reports[8].Failure = "gone"
	if p := progressOf(reports, 8); p.Reached != 0 {
		t.Errorf("an unreachable instance counts as reached: %s", p)
	}
}

// Guards against scripts that hang on an unreachable fleet: waiting must end at its timeout.
func TestWaitEnds(t *testing.T) {
	var out bytes.Buffer
	a := newApp(t.Context(), &settings{Operators: []string{"127.0.0.1:1"}, Timeout: time.Second}, nil, &out, &out)
	start := time.Now()
	_, err := a.waitInForce(1, 300*time.Millisecond)
	if codeOf(err) != codeIncomplete || time.Since(start) > 5*time.Second {
		t.Errorf("after %s: %v", time.Since(start), err)
	}
}

// Guards against previous entitlements that are dropped while an owner of a slot, which the instance list may no longer show, can
// still apply them.
func TestInForceCoversSlotOwners(t *testing.T) {
	kv := memory.NewStore(memory.StoreOptions{})
	a := newApp(t.Context(), &settings{}, nil, &bytes.Buffer{}, &bytes.Buffer{})
	record := func(value string) {
		if _, err := kv.Put(t.Context(), "slots/lima/0", []byte(value), platform.PutOptions{}); err != nil {
			t.Fatal(err)
		}
	}
	reports := []report{{Incarnation: 1, Revision: 9, Applied: 7}, {Incarnation: 2, Revision: 9, Applied: 5}}
	for _, tc := range []struct {
		name, record string
		want         int64
	}{
		{"owner is listed", `{"owner":{"name":"lima-1","incarnation":1}}`, 5},
		{"slot is free", `{"owner":{"name":"","incarnation":0}}`, 5},
		{"owner is not listed", `{"owner":{"name":"lima-9","incarnation":9}}`, 0},
		{"predecessor is not listed", `{"owner":{"name":"lima-1","incarnation":1},"predecessors":[{"name":"lima-9","incarnation":9}]}`, 0},
		{"record cannot be read", `[]`, 0},
	} {
		record(tc.record)
		if got := a.inForce(kv, reports); got != tc.want {
			t.Errorf("%s: revision %d, want %d", tc.name, got, tc.want)
		}
	}
	record(`{"owner":{"name":"lima-1","incarnation":1}}`)
	if got := a.inForce(kv, append(reports, report{Failure: "gone"})); got != 0 {
		t.Errorf("revision %d with an instance that was not asked", got)
	}
	if got := a.inForce(kv, append(reports, report{Incarnation: 3, Revision: 9, Applied: 9, Waiting: []int{0}})); got != 0 {
		t.Errorf("revision %d while loans of a predecessor may run", got)
	}
	if got := a.inForce(kv, nil); got != 0 {
		t.Errorf("revision %d without instances", got)
	}
}
