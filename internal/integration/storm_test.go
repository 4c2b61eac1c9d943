package integration

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/faultmatrix"
	"dogwoodknot.example/dogwoodknot/internal/operations"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

// attempts are the answers to all requests with one idempotency key.
type attempts struct {
	key, body string

	mu      sync.Mutex
	answers []answer
}

func (a *attempts) add(got answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers = append(a.answers, got)
}

// count returns how many answers have an execution status.
func (a *attempts) count(execution string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, got := range a.answers {
		if got.execution == execution {
			n++
		}
	}
	return n
}

func (a *attempts) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.body + ":"
	for _, got := range a.answers {
		out += fmt.Sprintf("\n  %d %s %s %v", got.status, got.execution, got.body, got.err)
	}
	return out
}

// storm repeats bookings with the same keys at every instance at once while a fault is in place.
type storm struct {
	keys []*attempts
	// refused counts the answers without "ran" while the fault is in place.
	refused atomic.Int64
}

const (
	stormKeys = 8 // enough to reach both slots of the record region
	// stormPause is between two repeats of one caller.
	stormPause = 100 * time.Millisecond
	// stormLead is the time that callers have before the fault, and stormStep the time between the first requests of two
	// keys: the fault strikes some keys before, some during and some after their first request.
	stormLead, stormStep = 60 * time.Millisecond, 15 * time.Millisecond
)

// run starts the storm, puts the fault in place for a time and removes it, and lets all callers end.
func (s *storm) run(t *testing.T, d *deployment, fault func(), during time.Duration, remove func()) {
	t.Helper()
	var ended atomic.Bool
	var callers sync.WaitGroup
	for n, k := range s.keys {
		for _, i := range d.instances {
			callers.Go(func() {
				time.Sleep(time.Duration(n) * stormStep)
				for !ended.Load() {
					a := d.book(i, "booker", k.key, k.body)
					k.add(a)
					if a.execution != "ran" {
						s.refused.Add(1)
					}
					time.Sleep(stormPause)
				}
			})
		}
	}
	time.Sleep(stormLead)
	fault()
	time.Sleep(during)
	remove()
	ended.Store(true)
	callers.Wait()
}

func newStorm(keys func() string, name string) *storm {
	s := &storm{}
	for n := range stormKeys {
		s.keys = append(s.keys, &attempts{key: keys(), body: fmt.Sprintf(`{"storm":%q,"booking":%d}`, name, n)})
	}
	return s
}

// settle repeats each booking at each instance until an instance says what became of it.
func (s *storm) settle(t *testing.T, d *deployment) {
	t.Helper()
	deadline := time.Now().Add(readyWithin)
	var callers sync.WaitGroup
	for _, k := range s.keys {
		for _, i := range d.instances {
			if !i.running() {
				continue
			}
			callers.Go(func() {
				var last answer
				for time.Now().Before(deadline) {
					last = d.book(i, "booker", k.key, k.body)
					k.add(last)
					if last.execution == "ran" || last.final() {
						return
					}
					time.Sleep(stormPause)
				}
				t.Errorf("outcome of %s at %s stays open, last answer %+v", k.body, i.name, last)
			})
		}
	}
	callers.Wait()
}

// final reports whether the answer says that the outcome is and stays unknown.
func (a answer) final() bool {
	return a.execution == "unknown" && a.status == http.StatusConflict && !strings.Contains(a.body, operations.CodeInProgress)
}

// check compares the answers with what the services have executed.
func (s *storm) check(t *testing.T, d *deployment, lossless bool) {
	t.Helper()
	executed := d.allExecutions(t)
	for _, k := range s.keys {
		n := executed[standin.BodyDigest([]byte(k.body))]
		switch ran, unknown := k.count("ran"), k.count("unknown"); {
		case n > 1:
			t.Errorf("executed %d times: %s", n, k)
		case n == 0 && ran > 0:
			t.Errorf("said to have run, but was not executed: %s", k)
		case n == 1 && ran == 0 && unknown == 0:
			t.Errorf("all answers say not run, but it was executed: %s", k)
		case lossless && n == 0:
			t.Errorf("never executed, although the fault has ended: %s", k)
		}
	}
}

// allExecutions returns the executions of all plain services by body digest.
func (d *deployment) allExecutions(t *testing.T) map[string]int64 {
	t.Helper()
	out := map[string]int64{}
	for _, s := range d.services {
		var e standin.Executions
		if err := d.getJSON(s.url()+"/service/v1/executions", &e); err != nil {
			t.Fatal(err)
		}
		for digest, n := range e.ByBodyDigest {
			out[digest] += n
		}
	}
	return out
}

// storeCounts returns the calls that the store has got.
func (d *deployment) storeCounts(t *testing.T) memory.Counts {
	t.Helper()
	var c memory.Counts
	if err := d.getJSON(d.store().url()+"/standin/v1/counts", &c); err != nil {
		t.Fatal(err)
	}
	return c
}

func (d *deployment) must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Error(err)
	}
}

// stormFault is a fault of the owner of bookings' records, or of what it depends on.
type stormFault struct {
	name   string
	during time.Duration
	// lossless faults leave no outcome open: every booking has run after the end of the fault.
	lossless bool
	start    func(t *testing.T, d *deployment)
	end      func(t *testing.T, d *deployment)
	// inPlace returns whether the fault has struck, from counters outside the instances.
	inPlace func(t *testing.T, d *deployment) bool
}

// leaseLapses is the time in which another instance claims a slot: a lease with four instances (9 s), and the claimer's next
// look at the slots, which it takes every 3 s.
const leaseLapses = 15 * time.Second

// breakingActions are the service's faults that break a connection, each for breaksPerAction requests.
var breakingActions = []string{"break_before", "break_after", "truncate_answer"}

const breaksPerAction = 2

// faultsLeft returns how many requests a plain service will still apply its faults to.
func (d *deployment) faultsLeft(t *testing.T, s *standinProcess) int {
	t.Helper()
	var out struct{ Faults []standin.ServiceFault }
	if err := d.getJSON(s.url()+"/standin/v1/faults", &out); err != nil {
		t.Fatal(err)
	}
	left := 0
	for _, f := range out.Faults {
		left += f.Count
	}
	return left
}

func stormFaults() []stormFault {
	owner := func(d *deployment) *instance { return d.instance("lima-1") }
	nothing := func(*testing.T, *deployment) {}
	var refusedBefore int64
	storeFault := func(fault string) func(t *testing.T, d *deployment) {
		return func(t *testing.T, d *deployment) {
			d.must(t, d.post(d.store().url()+"/standin/v1/faults", fault))
		}
	}
	storeHealthy := storeFault(`{}`)
	sum := func(counts map[string]int64) (n int64) {
		for _, c := range counts {
			n += c
		}
		return n
	}
	otherSlotClaimed := false
	// heldBack is set right before each cut, since the counts of earlier cuts remain.
	var heldBack func() bool
	held := func(*testing.T, *deployment) bool { return heldBack() }
	faultsTaken := 0
	return []stormFault{
		{
			name: "store down", during: 2 * time.Second, lossless: true,
			start: func(t *testing.T, d *deployment) {
				refusedBefore = sum(d.storeCounts(t).Refused)
				storeFault(`{"down":true}`)(t, d)
			},
			end:     storeHealthy,
			inPlace: func(t *testing.T, d *deployment) bool { return sum(d.storeCounts(t).Refused) > refusedBefore },
		},
		{
			name: "answers of store writes lost", during: time.Second, lossless: true,
			start: storeFault(`{"drop_answers":6}`),
			end:   nothing,
			inPlace: func(t *testing.T, d *deployment) bool {
				var f memory.Faults
				d.must(t, d.getJSON(d.store().url()+"/standin/v1/faults", &f))
				return f.DropAnswers < 6
			},
		},
		{
			name: "store writes lost", during: time.Second, lossless: true,
			start: storeFault(`{"drop_writes":6}`),
			end:   nothing,
			inPlace: func(t *testing.T, d *deployment) bool {
				var f memory.Faults
				d.must(t, d.getJSON(d.store().url()+"/standin/v1/faults", &f))
				return f.DropWrites < 6
			},
		},
		{
			name: "owner cut off from the store", during: 3 * time.Second, lossless: true,
			start: func(_ *testing.T, d *deployment) {
				heldBack = d.network.link(owner(d).name, storeName).heldBack()
				d.network.cut(owner(d).name, storeName)
			},
			end:     func(_ *testing.T, d *deployment) { d.network.heal() },
			inPlace: held,
		},
		{
			name: "store hears the owner, but its answers are cut", during: 3 * time.Second, lossless: true,
			start: func(_ *testing.T, d *deployment) {
				heldBack = d.network.link(storeName, owner(d).name).heldBack()
				d.network.link(storeName, owner(d).name).cut()
			},
			end:     func(_ *testing.T, d *deployment) { d.network.heal() },
			inPlace: held,
		},
		{
			name: "owner cut off from its peers", during: 3 * time.Second,
			start: func(_ *testing.T, d *deployment) {
				heldBack = d.network.heldBetween(owner(d).name, "cusco-1")
				for _, i := range d.instances {
					if i != owner(d) {
						d.network.cut(owner(d).name, i.name)
					}
				}
			},
			end:     func(_ *testing.T, d *deployment) { d.network.heal() },
			inPlace: held,
		},
		{
			name: "service breaks connections", during: time.Second,
			start: func(t *testing.T, d *deployment) {
				for _, action := range breakingActions {
					fault := fmt.Sprintf(`{"action":%q,"count":%d,"delay_ms":30}`, action, breaksPerAction)
					d.must(t, d.post(d.standin("service-lima").url()+"/standin/v1/faults", fault))
				}
			},
			end: func(t *testing.T, d *deployment) {
				faultsTaken = len(breakingActions)*breaksPerAction - d.faultsLeft(t, d.standin("service-lima"))
				d.must(t, d.call(http.MethodDelete, d.standin("service-lima").url()+"/standin/v1/faults", ""))
			},
			inPlace: func(t *testing.T, _ *deployment) bool {
				t.Logf("%d connections broken", faultsTaken)
				return faultsTaken > 0
			},
		},
		{
			name: "owner paused beyond its lease", during: leaseLapses,
			start: func(t *testing.T, d *deployment) { d.must(t, owner(d).signal(syscall.SIGSTOP)) },
			end: func(t *testing.T, d *deployment) {
				// Looked at before the owner goes on, since slots are shared evenly again soon after.
				s, err := d.status(d.instance("lima-2"))
				d.must(t, err)
				otherSlotClaimed = len(s.Slots) == 2
				d.must(t, owner(d).signal(syscall.SIGCONT))
			},
			inPlace: func(*testing.T, *deployment) bool { return otherSlotClaimed },
		},
		{
			name: "owner killed", during: leaseLapses,
			start: func(t *testing.T, d *deployment) {
				d.kill(owner(d).process)
				d.must(t, d.dropFromList(owner(d)))
			},
			end:     nothing,
			inPlace: func(_ *testing.T, d *deployment) bool { return !owner(d).running() },
		},
	}
}

// Points 10 and 9, and "no booked action is lost or executed twice". Guards against a second execution, an untrue execution
// status and a lost booking when the same keys come to every instance at once, again and again, while the owner of the records
// or what it depends on fails. Half of the keys are callers' own, half are ids that lima-1 has issued.
func TestBookingsOnceUnderFaults(t *testing.T) {
	faults := stormFaults()
	m := faultmatrix.Matrix{
		Condition: "A non-idempotent request runs at most once, and every execution status is true (real processes)",
		Note:      "The same keys come to all four instances, repeated from before the fault until after its end. Executions are counted at the plain services.",
		Steps:     []string{"concurrent and later repeats at every instance"},
	}
	for _, f := range faults {
		m.Faults = append(m.Faults, f.name)
	}
	var oneAtATime sync.Mutex // the faults share one deployment
	m.Run(t, func(t *testing.T, _, fault string) {
		oneAtATime.Lock()
		t.Cleanup(oneAtATime.Unlock)
		f := faults[slices.Index(m.Faults, fault)]
		d := running(t)
		n := 0
		s := newStorm(func() string {
			n++
			if n%2 == 0 {
				return d.issue(t, d.instance("lima-1"), "booker")
			}
			return newKey(t)
		}, f.name)
		s.run(t, d, func() { f.start(t, d) }, f.during, func() { f.end(t, d) })
		if !f.inPlace(t, d) {
			t.Error("the fault was not in place")
		}
		s.settle(t, d)
		s.check(t, d, f.lossless)
		if s.refused.Load() == 0 {
			t.Error("no caller has noticed the fault")
		}
	})
}

// Shows that the storm finds second executions: the same repeats without idempotency keys run more than once.
func TestStormFindsSecondExecutions(t *testing.T) {
	d := running(t)
	s := newStorm(func() string { return "" }, "no keys")
	s.run(t, d, func() {}, 300*time.Millisecond, func() {})
	doubled := 0
	executed := d.allExecutions(t)
	for _, k := range s.keys {
		if executed[standin.BodyDigest([]byte(k.body))] > 1 {
			doubled++
		}
	}
	if doubled != len(s.keys) {
		t.Errorf("%d of %d bookings without keys were executed more than once", doubled, len(s.keys))
	}
}
