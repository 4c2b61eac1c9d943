package operations

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/core/atmostonce"
	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

var nextSecret = []byte("the secret that follows the first one")

// Guards against repeats that are not recognised while the cluster secret changes.
func TestSecretRotation(t *testing.T) {
	f, a := startOwner(t)
	key, id := newKey(t), issue(t, a)
	expect(t, a.doReady(key, "deposit"), Ran, "")
	eventually(t, "result recorded", func() bool { return f.store.entries() == 3 })
	f.tune = func(o *Options) { o.Secrets = [][]byte{nextSecret, testSecret} }
	b := f.start("lima-2")
	expect(t, b.do(id, "by id"), Ran, "")
	expect(t, a.do(issue(t, b), "by a new id"), NotRun, CodeForeignKey)
	a.crash()
	f.slots.set(testRegion, 0, "lima-2")
	expect(t, b.doReady(key, "deposit"), Ran, CodeAnswerGone)
	expect(t, b.do(key, "other"), NotRun, CodeReused)
}

// Guards against a second run where a new owner lacks the secret that the records are hashed with.
func TestUnknownSecret(t *testing.T) {
	f, a := startOwner(t)
	key := newKey(t)
	expect(t, a.doReady(key, "deposit"), Ran, "")
	f.tune = func(o *Options) { o.Secrets = [][]byte{nextSecret} }
	b := f.start("lima-2")
	a.crash()
	f.slots.set(testRegion, 0, "lima-2")
	expect(t, b.doReady(key, "deposit"), Unknown, CodeExpired)
	eventually(t, "later key", func() bool { return b.do(newKey(t), "later").Execution == Ran })
	if n := f.endpoint.executions("deposit"); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// Guards against records beyond the bound, and against answers that displace it.
func TestMemoryBounds(t *testing.T) {
	f := newFleet(t)
	f.slots.set(testRegion, 0, "lima-1")
	f.tune = func(o *Options) { o.MaxRecords, o.MaxAnswers = 5, 2 }
	a := f.start("lima-1")
	var keys []string
	for range 5 {
		keys = append(keys, newKey(t))
		expect(t, a.doReady(keys[len(keys)-1], "deposit"), Ran, "")
	}
	expect(t, a.do(newKey(t), "sixth"), NotRun, CodeFull)
	expect(t, a.do(issue(t, a), "sixth"), NotRun, CodeFull)
	expect(t, a.do(keys[0], "deposit"), Ran, CodeAnswerGone)
	expect(t, a.do(keys[4], "deposit"), Ran, "")
	if n := a.answers.Count(); n > 2 {
		t.Fatalf("%d answers held", n)
	}
}

// Guards against answers that keep their bytes when records need them, and against answers that stay out afterwards.
func TestAnswersGiveWayToRecords(t *testing.T) {
	f := newFleet(t)
	f.slots.set(testRegion, 0, "lima-1")
	f.tune = func(o *Options) {
		o.MaxRecords, o.MaxAnswerBytes, o.MaxBytes = 100, 100<<10, 100*recordBytes
	}
	a := f.start("lima-1")
	var keys []string
	for range 30 {
		keys = append(keys, newKey(t))
		expect(t, a.doReady(keys[len(keys)-1], "deposit"), Ran, "")
		if sum := a.answers.Bytes() + a.budget.Used()*recordBytes; sum > 100*recordBytes {
			t.Fatalf("%d bytes of records and answers after %d operations", sum, len(keys))
		}
	}
	if a.answers.Count() == 0 {
		t.Fatal("no answer is held")
	}
	expect(t, a.do(keys[len(keys)-1], "deposit"), Ran, "")
	for range 70 {
		expect(t, a.doReady(newKey(t), "deposit"), Ran, "")
	}
	expect(t, a.do(keys[len(keys)-1], "deposit"), Ran, CodeAnswerGone)
	if n := a.answers.Count(); n != 0 {
		t.Errorf("%d answers are held at the bound of records", n)
	}
}

// Guards against a takeover that loads more records than the bound, and against running the keys it has dropped.
func TestTakeoverBounds(t *testing.T) {
	f, a := startOwner(t)
	for i := range 6 {
		expect(t, a.doReady(keyAt(t, time.Now().Add(-time.Duration(i)*3*time.Hour)), "deposit"), Ran, "")
	}
	old := keyAt(t, time.Now().Add(-20*time.Hour))
	expect(t, a.do(old, "old deposit"), Ran, "")
	f.tune = func(o *Options) { o.MaxRecords = 4 }
	b := f.start("lima-2")
	a.crash()
	f.slots.set(testRegion, 0, "lima-2")
	expect(t, b.doReady(old, "old deposit"), Unknown, CodeExpired)
	if n := b.budget.Used(); n > 4 {
		t.Fatalf("%d records", n)
	}
	expect(t, b.do(newKey(t), "new deposit"), Ran, "")
}

// Guards against claims at an owner that has not read the log, and against a takeover that gives up on a slow store.
func TestRefusedDuringTakeover(t *testing.T) {
	f := newFleet(t)
	f.slots.set(testRegion, 0, "lima-1")
	f.store.hook(func(string, string, string) error { return platform.ErrUnavailable }, nil)
	a := f.start("lima-1")
	o := a.do(newKey(t), "deposit")
	expect(t, o, NotRun, CodeOwnerStarting)
	if o.RetryAfter == 0 {
		t.Fatal("no time to retry")
	}
	f.store.hook(nil, nil)
	expect(t, a.doReady(newKey(t), "deposit"), Ran, "")
}

// Guards against a booking that is held, or answered as unknown, while the store is out or slow.
func TestStoreOut(t *testing.T) {
	f, a := startOwner(t)
	expect(t, a.doReady(newKey(t), "warm-up"), Ran, "")
	for name, faults := range map[string]memory.Faults{"down": {Down: true}, "slow": {Latency: time.Second}} {
		f.store.SetFaults(faults)
		for range 3 {
			begin := time.Now()
			o := a.do(newKey(t), name)
			expect(t, o, NotRun, CodeStoreOut)
			if d := time.Since(begin); d > time.Second || o.RetryAfter == 0 {
				t.Fatalf("%s: refused after %v, retry after %v", name, d, o.RetryAfter)
			}
		}
		f.store.SetFaults(memory.Faults{})
		eventually(t, "store is used again", func() bool { return a.do(newKey(t), "after "+name).Execution == Ran })
		if n := f.endpoint.executions(name); n > 0 {
			t.Fatalf("%s: %d executions", name, n)
		}
	}
}

// Guards against bookings refused for a short rate limit of the store.
func TestRateLimitedStore(t *testing.T) {
	f, a := startOwner(t)
	expect(t, a.doReady(newKey(t), "warm-up"), Ran, "")
	f.store.SetRates(memory.Rates{Writes: 50})
	var wg sync.WaitGroup
	outcomes := make([]Outcome, 100)
	for i := range outcomes {
		wg.Go(func() { outcomes[i] = a.do(newKey(t), "deposit") })
	}
	wg.Wait()
	for _, o := range outcomes {
		expect(t, o, Ran, "")
	}
}

// Guards against a second run after the store has come back without the latest records, the owner having lived on.
func TestStoreRestartsWithOlderData(t *testing.T) {
	f, a := startOwner(t)
	expect(t, a.doReady(newKey(t), "before"), Ran, "")
	snapshot := f.store.Snapshot()
	lost := newKey(t)
	expect(t, a.do(lost, "deposit"), Ran, "")
	expect(t, a.do(newKey(t), "filler"), Ran, "")
	f.store.Restore(snapshot)
	expect(t, a.do(lost, "deposit"), Ran, "")
	expect(t, a.do(newKey(t), "after"), Ran, "")
	eventually(t, "horizon recorded", func() bool { return carriesHorizon(t, f) })
	b := f.start("lima-2")
	a.crash()
	f.slots.set(testRegion, 0, "lima-2")
	expect(t, b.doReady(lost, "deposit"), Unknown, CodeExpired)
	if n := f.endpoint.executions("deposit"); n != 1 {
		t.Fatalf("%d executions", n)
	}
}

// Guards against a second run after the store has lost records and the owner, where the new owner knew later revisions.
func TestNewOwnerSeesOlderStore(t *testing.T) {
	f, a := startOwner(t)
	expect(t, a.doReady(newKey(t), "before"), Ran, "")
	snapshot := f.store.Snapshot()
	lost := newKey(t)
	expect(t, a.do(lost, "deposit"), Ran, "")
	b := f.start("lima-2")
	for range 5 {
		expect(t, a.do(newKey(t), "filler"), Ran, "")
	}
	a.mu.Lock()
	seen := a.revision
	a.mu.Unlock()
	b.mu.Lock()
	b.revision = seen // as after any work of its own with the store
	b.mu.Unlock()
	a.crash()
	f.store.Restore(snapshot)
	f.slots.set(testRegion, 0, "lima-2")
	expect(t, b.doReady(lost, "deposit"), Unknown, CodeExpired)
}

func carriesHorizon(t *testing.T, f *fleet) bool {
	rows, err := f.store.Store.List(context.Background(), logPrefix(testRegion, 0), "", 0)
	if err != nil {
		t.Fatal(err)
	}
	secrets, _ := atmostonce.NewSecrets(testSecret)
	e, err := decodeEntry(1, rows[len(rows)-1].Value, secrets)
	return err == nil && e.Horizon > 0
}

// Guards against requests of bound organisations that cross regions, and of region-bound routes that leave theirs.
func TestRegions(t *testing.T) {
	f, a := startOwner(t)
	f.view.orgs[testOrg].RecordsRegion = "cusco"
	f.slots.set("cusco", 0, "cusco-1")
	req := Request{Organisation: testOrg, Key: newKey(t), StayInRegion: true, Forwardable: &ForwardedRequest{}}
	expect(t, a.Do(context.Background(), req, nil), NotRun, CodeOtherRegion)
	req.StayInRegion = false
	expect(t, a.Do(context.Background(), req, nil), NotRun, CodeOwnerAway)
	f.view.orgs[testOrg].RecordsRegion, f.view.orgs[testOrg].Home = "", "cusco"
	expect(t, a.do(issue(t, a), "by id"), Unknown, CodeIssuerGone)
	c := call{organisation: testOrg}
	if o := a.refuseRegion(c, a.o.Network.Self()); o == nil || o.Execution != NotRun {
		t.Fatalf("a request of an organisation bound elsewhere is taken: %+v", o)
	}
}

// Guards against log entries that change on their way through the store.
func TestEntryCodec(t *testing.T) {
	secrets, err := atmostonce.NewSecrets(testSecret)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		e := atmostonce.Entry{
			Sequence:  rapid.Uint64().Draw(t, "sequence"),
			Token:     atmostonce.Token{Incarnation: rapid.Uint64().Draw(t, "incarnation"), Number: rapid.Uint64().Draw(t, "number")},
			Seal:      rapid.Bool().Draw(t, "seal"),
			Horizon:   rapid.Int64Range(0, 1<<42).Draw(t, "horizon"),
			NewestKey: rapid.Int64Range(0, 1<<42).Draw(t, "newest"),
		}
		for range rapid.IntRange(0, 20).Draw(t, "claims") {
			var c atmostonce.Claim
			c.Key[3], c.Body[4], c.KeyTime = rapid.Byte().Draw(t, "key"), rapid.Byte().Draw(t, "body"), rapid.Int64Range(0, 1<<42).Draw(t, "time")
			e.Claims = append(e.Claims, c)
		}
		for range rapid.IntRange(0, 20).Draw(t, "results") {
			r := atmostonce.Result{KeyTime: rapid.Int64Range(0, 1<<42).Draw(t, "time"), Ran: rapid.Bool().Draw(t, "ran")}
			r.Key[5] = rapid.Byte().Draw(t, "key")
			e.Results = append(e.Results, r)
		}
		value, err := encodeEntry(e, secrets.SigningID())
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeEntry(e.Sequence, value, secrets)
		if err != nil || fmt.Sprint(got) != fmt.Sprint(e) {
			t.Fatalf("%+v became %+v, error %v", e, got, err)
		}
		cut := rapid.IntRange(0, len(value)).Draw(t, "cut")
		_, _ = decodeEntry(1, value[:cut], secrets) // must not panic
	})
}

// Guards against a takeover that passes over an entry it cannot read.
func TestUnreadableEntry(t *testing.T) {
	f := newFleet(t)
	if _, err := f.store.Store.Put(context.Background(), logKey(testRegion, 0, 1), []byte("not a log entry"), platform.PutOptions{}); err != nil {
		t.Fatal(err)
	}
	f.slots.set(testRegion, 0, "lima-1")
	a := f.start("lima-1")
	time.Sleep(30 * time.Millisecond)
	expect(t, a.do(newKey(t), "deposit"), NotRun, CodeOwnerStarting)
}

// Guards against a run that ends without a true execution.
func TestRunResults(t *testing.T) {
	f, a := startOwner(t)
	a.doReady(newKey(t), "warm-up")
	do := func(key string, answer *Answer, x Execution, err error) Outcome {
		req := Request{Organisation: testOrg, Key: key, Method: "POST", Path: "/deposits"}
		return a.Do(context.Background(), req, func(context.Context) (*Answer, Execution, error) { return answer, x, err })
	}
	for _, key := range []string{newKey(t), issue(t, a)} {
		expect(t, do(key, nil, NotRun, errors.New("no endpoint")), NotRun, CodeNotRun)
		expect(t, do(key, nil, NotRun, errors.New("no endpoint")), NotRun, CodeNotRun)
		expect(t, do(key, &Answer{Status: 200}, Ran, nil), Ran, "")
	}
	expect(t, do(newKey(t), nil, Ran, nil), Unknown, CodeUnknown)
	expect(t, do(newKey(t), &Answer{}, "", nil), Unknown, CodeUnknown)
	key := newKey(t)
	expect(t, do(key, nil, Unknown, errors.New("reset")), Unknown, CodeUnknown)
	expect(t, do(key, &Answer{}, Ran, nil), Unknown, CodeUnknown)
	panics := func(context.Context) (*Answer, Execution, error) { panic("run") }
	expect(t, a.Do(context.Background(), Request{Organisation: testOrg, Key: newKey(t)}, panics), Unknown, CodeUnknown)
	free := newKey(t)
	expect(t, do(free, nil, NotRun, nil), NotRun, CodeNotRun)
	eventually(t, "result recorded", func() bool { return f.store.entries() > 4 })
}
