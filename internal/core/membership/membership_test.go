package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodknot.example/dogwoodknot/internal/clock"
	"dogwoodknot.example/dogwoodknot/internal/core/membership"
	"dogwoodknot.example/dogwoodknot/internal/platform"
)

// network runs cores in virtual time. Messages between two instances may be blocked in one direction, and each instance
// may be given any version of the platform's list.
type network struct {
	t        *rapid.T
	random   *rand.Rand
	now      clock.Instant
	cores    map[string]*membership.Core
	rows     map[string]membership.Row // running processes, by name
	blocked  map[[2]string]bool        // from the first instance to the second
	events   []event                   // in order of time
	versions [][]membership.Row        // of the platform's list
	ended    map[membership.Ref]bool
}

type event struct {
	at  clock.Instant
	run func()
}

const (
	step       = 50 * time.Millisecond
	oneWay     = 20 * time.Millisecond
	askTimeout = 800 * time.Millisecond
)

// params returns the default parameters, but with a shorter time until unlisted members are removed.
func params() membership.Params {
	p := membership.DefaultParams()
	p.UnlistedTimeout = 8 * time.Second
	return p
}

func newNetwork(t *rapid.T) *network {
	w := &network{
		t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		cores: map[string]*membership.Core{}, rows: map[string]membership.Row{},
		blocked: map[[2]string]bool{}, ended: map[membership.Ref]bool{},
		versions: [][]membership.Row{nil},
	}
	for i := range rapid.IntRange(2, 12).Draw(t, "instances") {
		w.start(fmt.Sprintf("i%d", i))
	}
	w.publishList()
	for name := range w.cores {
		w.readList(name, len(w.versions)-1)
	}
	return w
}

// start runs a new process under a name. It replaces a former one.
func (w *network) start(name string) {
	if former, runs := w.rows[name]; runs {
		w.ended[ref(former)] = true
	}
	place := int(name[len(name)-1]-'0') % 3
	row := membership.Row{
		Name: name, Kind: platform.KindEntry, Region: fmt.Sprintf("r%d", place%2), DataCentre: fmt.Sprintf("r%d-d%d", place%2, place),
		Incarnation: 1 + w.random.Uint64N(1<<62), PeerAddr: "127.0.0.1:1", State: platform.StateLive,
	}
	core, err := membership.New(row, params(), rand.New(rand.NewPCG(w.random.Uint64(), 1)))
	if err != nil {
		w.t.Fatal(err)
	}
	w.cores[name], w.rows[name] = core, row
}

// stop ends a process. The list contains it until the next version.
func (w *network) stop(name string) {
	if row, runs := w.rows[name]; runs {
		w.ended[ref(row)] = true
		delete(w.rows, name)
		delete(w.cores, name)
	}
}

func ref(r membership.Row) membership.Ref {
	return membership.Ref{Instance: r.Name, Incarnation: r.Incarnation}
}

func (w *network) names() []string {
	var names []string
	for name := range w.rows {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// publishList makes the running processes the next version of the list.
func (w *network) publishList() {
	var rows []membership.Row
	for _, name := range w.names() {
		rows = append(rows, w.rows[name])
	}
	w.versions = append(w.versions, rows)
}

func (w *network) readList(name string, version int) {
	if core := w.cores[name]; core != nil {
		core.ApplyList(w.now, int64(version), w.versions[version])
	}
}

// after schedules a function to run after a duration.
func (w *network) after(d time.Duration, run func()) {
	e := event{w.now.Add(d), run}
	at, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int {
		if a.at <= b.at {
			return -1
		}
		return 1
	})
	w.events = slices.Insert(w.events, at, e)
}

// run advances the time by a duration.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for w.now < end {
		w.now = w.now.Add(step)
		for len(w.events) > 0 && w.events[0].at <= w.now {
			e := w.events[0]
			w.events = w.events[1:]
			e.run()
		}
		for _, name := range w.names() {
			w.perform(name, w.cores[name].Tick(w.now))
		}
	}
}

// roundTrip calls f after a request of one process to another. The arguments are the process that answered, or nil and
// an empty row if none did before the timeout.
func (w *network) roundTrip(from, to string, timeout time.Duration, f func(answerer *membership.Core, row membership.Row)) {
	caller := w.cores[from]
	row, runs := w.rows[to]
	if runs && !w.blocked[[2]string{from, to}] && !w.blocked[[2]string{to, from}] {
		core := w.cores[to]
		w.after(2*oneWay, func() {
			if w.cores[from] == caller {
				f(core, row)
			}
		})
		return
	}
	w.after(timeout, func() {
		if w.cores[from] == caller {
			f(nil, membership.Row{})
		}
	})
}

func (w *network) probe(from string, p membership.Probe, done func(reached bool)) {
	w.roundTrip(from, p.Target.Instance, membership.DefaultParams().ProbeTimeout, func(core *membership.Core, row membership.Row) {
		var answer *membership.Answer
		if core != nil {
			answer = &membership.Answer{Incarnation: row.Incarnation}
			core.RecordContact(w.now, w.rows[from])
		}
		w.perform(from, w.cores[from].ProbeResult(w.now, p, answer))
		done(core != nil && row.Incarnation == p.Target.Incarnation)
	})
}

func (w *network) perform(name string, actions []membership.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case membership.Probe:
			w.probe(name, a, func(bool) {})
		case membership.IndirectProbe:
			for _, helper := range a.Helpers {
				w.ask(name, helper, a.Target)
			}
		case membership.Publish:
			for _, to := range a.Local {
				w.push(name, to, a.Reports, false)
			}
			for _, to := range a.Relays {
				w.push(name, to, a.Reports, true)
			}
		}
	}
}

func (w *network) ask(from, helper string, target membership.Ref) {
	reply := func(v membership.Verdict) {
		if core := w.cores[from]; core != nil {
			w.perform(from, core.IndirectProbeResult(w.now, target, helper, v))
		}
	}
	w.roundTrip(from, helper, askTimeout, func(core *membership.Core, _ membership.Row) {
		switch {
		case core == nil || w.cores[helper] != core || !core.Knows(target):
			reply(membership.Unknown)
		default:
			w.probe(helper, membership.Probe{Target: target, SentAt: w.now}, func(reached bool) {
				if reached {
					reply(membership.Reached)
				} else {
					reply(membership.Unreached)
				}
			})
		}
	})
}

func (w *network) push(from, to string, reports []membership.Report, relay bool) {
	if w.blocked[[2]string{from, to}] {
		return
	}
	for range 1 + w.random.IntN(2) { // sometimes delivered twice
		w.after(time.Duration(w.random.Int64N(int64(200*time.Millisecond))), func() {
			if core := w.cores[to]; core != nil {
				w.perform(to, core.MergeReports(w.now, reports, relay))
			}
		})
	}
}

// exchange makes all pairs of instances that reach each other exchange their reports, as heartbeats do.
func (w *network) exchange() {
	for _, a := range w.names() {
		for _, b := range w.names() {
			if a != b && !w.blocked[[2]string{a, b}] && !w.blocked[[2]string{b, a}] {
				w.perform(a, w.cores[a].MergeReports(w.now, w.cores[b].Reports(), false))
			}
		}
	}
}

// checkGone fails if an instance regards a process as gone although its version of the list has not dropped it, or
// still has a gone process among its members.
func (w *network) checkGone() {
	for _, at := range w.names() {
		s := w.cores[at].Snapshot()
		for listed := range w.versions {
			for _, row := range w.versions[listed] {
				state, known := s.StatusOf(ref(row))
				isGone := known && state == membership.Gone
				dropped := int64(listed) < s.Version && !slices.ContainsFunc(w.versions[s.Version], func(r membership.Row) bool { return ref(r) == ref(row) })
				if isGone && !dropped {
					w.t.Fatalf("%s regards %v as gone at version %d of the list, which still contains it", at, ref(row), s.Version)
				}
				if m, found := s.Member(row.Name); found && isGone && m.Incarnation == row.Incarnation && !m.Self {
					w.t.Fatalf("%s still has the gone process %v among its members", at, ref(row))
				}
			}
		}
	}
}

// Guards against a process that is regarded as gone although the list contains it, against suspicions that remain
// although the process is reached, and against views that still differ after all faults have ended. Faults are cuts in
// one direction, stale versions of the list, crashes and restarts under a new incarnation.
func TestViewsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newNetwork(rt)
		w.run(2 * time.Second)
		for range rapid.IntRange(1, 8).Draw(rt, "faults") {
			names := w.names()
			if len(names) == 0 {
				break
			}
			name := rapid.SampledFrom(names).Draw(rt, "instance")
			switch rapid.SampledFrom([]string{"cut", "cut", "heal", "stop", "restart", "list", "stale list"}).Draw(rt, "fault") {
			case "cut":
				w.blocked[[2]string{name, rapid.SampledFrom(names).Draw(rt, "other")}] = true
			case "heal":
				clear(w.blocked)
			case "stop":
				w.stop(name)
			case "restart":
				w.start(name)
			case "list":
				w.publishList()
				w.readList(name, len(w.versions)-1)
			case "stale list":
				w.readList(name, rapid.IntRange(0, len(w.versions)-1).Draw(rt, "version"))
			}
			w.checkGone()
			w.run(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
			w.checkGone()
		}
		clear(w.blocked)
		w.publishList()
		for _, name := range w.names() {
			w.readList(name, len(w.versions)-1)
		}
		w.run(10 * time.Second)
		w.exchange()
		w.run(6 * time.Second)
		for _, at := range w.names() {
			s := w.cores[at].Snapshot()
			if len(s.Members) != len(w.rows) {
				rt.Fatalf("%s has %d members, %d processes run", at, len(s.Members), len(w.rows))
			}
			for _, m := range s.Members {
				if m.Incarnation != w.rows[m.Name].Incarnation || m.Status != membership.Live || m.Unreachable {
					rt.Fatalf("%s has %s (incarnation %d) as %v, unreachable %v; incarnation %d is running", at, m.Name, m.Incarnation, m.Status, m.Unreachable, w.rows[m.Name].Incarnation)
				}
			}
		}
		w.checkGone()
	})
}

// Guards against a suspicion of a process that an instance of the observer's region still reaches, while other
// instances cannot send to it. With up to six instances, each prober asks all others.
func TestReachedProcessIsNotSuspected(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newNetwork(rt)
		names := w.names()
		if len(names) < 4 || len(names) > 6 {
			return
		}
		w.run(2 * time.Second)
		target := rapid.SampledFrom(names).Draw(rt, "target")
		reachedIn := map[string]bool{}
		for _, name := range names {
			if name == target {
				continue
			}
			if rapid.Bool().Draw(rt, "cut") {
				w.blocked[[2]string{name, target}] = true
			} else {
				reachedIn[w.rows[name].Region] = true
			}
		}
		for range 150 {
			w.run(100 * time.Millisecond)
			for _, at := range names {
				m, found := w.cores[at].Snapshot().Member(target)
				if found && m.Status != membership.Live && reachedIn[w.rows[at].Region] {
					rt.Fatalf("%s has %s as %v, although it is reached from its region", at, target, m.Status)
				}
			}
		}
	})
}

func row(name string, incarnation uint64) membership.Row {
	return membership.Row{
		Name: name, Kind: platform.KindEntry, Region: "r0", DataCentre: "d0", Incarnation: incarnation,
		PeerAddr: "127.0.0.1:1", State: platform.StateLive,
	}
}

func newCore(t *testing.T) *membership.Core {
	t.Helper()
	core, err := membership.New(row("self", 1), membership.DefaultParams(), rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return core
}

func incarnationOf(core *membership.Core, name string) uint64 {
	m, _ := core.Snapshot().Member(name)
	return m.Incarnation
}

// Guards against a paused process that replaces its successor when it resumes, or that becomes a member again after the
// list has ended it.
func TestFormerProcessDoesNotReturn(t *testing.T) {
	core := newCore(t)
	core.ApplyList(0, 1, []membership.Row{row("self", 1), row("x", 10)})
	core.RecordContact(1, row("x", 20))
	if got := incarnationOf(core, "x"); got != 20 {
		t.Fatalf("incarnation %d is the member after contact with the newer process, want 20", got)
	}
	core.RecordContact(2, row("x", 10))
	if got := incarnationOf(core, "x"); got != 20 {
		t.Errorf("incarnation %d is the member after contact with the replaced process, want 20", got)
	}
	core.ApplyList(3, 2, []membership.Row{row("self", 1), row("x", 10)})
	if got := incarnationOf(core, "x"); got != 20 {
		t.Errorf("incarnation %d is the member after an outdated version of the list, want 20", got)
	}
	core.ApplyList(4, 3, []membership.Row{row("self", 1), row("x", 20)})
	core.RecordContact(5, row("x", 10))
	if got := incarnationOf(core, "x"); got != 20 {
		t.Errorf("incarnation %d is the member after contact with a process that the list has ended, want 20", got)
	}
	if state, known := core.Snapshot().StatusOf(membership.Ref{Instance: "x", Incarnation: 10}); !known || state != membership.Gone {
		t.Errorf("status of the replaced process: %v, known: %v; want gone", state, known)
	}
	core.ApplyList(6, 4, []membership.Row{row("self", 1)})
	core.RecordContact(7, row("x", 20))
	if _, found := core.Snapshot().Member("x"); found {
		t.Error("ended process is a member again")
	}
}

// Guards against a process that was paused and takes the late results of its own probes for failures of the targets.
func TestPausedProberSendsNoIndirectProbes(t *testing.T) {
	for _, pause := range []time.Duration{0, 10 * time.Second} {
		core := newCore(t)
		core.ApplyList(0, 1, []membership.Row{row("self", 1), row("x", 10), row("y", 11)})
		indirectProbes := 0
		for now := clock.Instant(0); now < clock.Instant(5*time.Second); now = now.Add(50 * time.Millisecond) {
			for _, action := range core.Tick(now) {
				p, isProbe := action.(membership.Probe)
				if !isProbe {
					continue
				}
				noted := now.Add(membership.DefaultParams().ProbeTimeout + pause)
				for _, next := range core.ProbeResult(noted, p, nil) {
					if _, isAsk := next.(membership.IndirectProbe); isAsk {
						indirectProbes++
					}
				}
			}
		}
		if pause == 0 && indirectProbes == 0 {
			t.Error("failed probes started no indirect probe")
		}
		if pause > 0 && indirectProbes > 0 {
			t.Error("probes whose failure was reported 10 s late started indirect probes")
		}
	}
}

// Guards against an indirect probe that is dropped, and against a region that is taken to be too small to decide about
// its own instances, because other instances of that region become suspect meanwhile.
func TestIndirectProbeCompletesDespiteOtherSuspicions(t *testing.T) {
	core := newCore(t)
	rows := []membership.Row{row("self", 1), row("b", 2), row("c", 3)}
	for i := range 20 {
		remote := row(fmt.Sprintf("far%d", i), uint64(10+i))
		remote.Region, remote.DataCentre = "r1", "d1"
		rows = append(rows, remote)
	}
	core.ApplyList(0, 1, rows)
	var ask *membership.IndirectProbe
	now := clock.Instant(0)
	for ; ask == nil && now < clock.Instant(20*time.Second); now = now.Add(50 * time.Millisecond) {
		for _, action := range core.Tick(now) {
			p := action.(membership.Probe)
			var answer *membership.Answer
			if p.Target.Instance == "b" || p.Target.Instance == "c" {
				answer = &membership.Answer{Incarnation: p.Target.Incarnation}
			}
			for _, next := range core.ProbeResult(now, p, answer) {
				if a, isAsk := next.(membership.IndirectProbe); isAsk {
					ask = &a
				}
			}
		}
	}
	if ask == nil {
		t.Fatal("no indirect probe was started")
	}
	var reports []membership.Report
	for _, remote := range rows[3:] {
		if remote.Name != ask.Target.Instance {
			reports = append(reports, membership.Report{Scope: "r0", Target: ref(remote), Counter: 1})
		}
	}
	core.MergeReports(now, reports, false)
	core.Tick(now)
	for _, helper := range ask.Helpers {
		for _, action := range core.IndirectProbeResult(now, ask.Target, helper, membership.Unreached) {
			for _, r := range action.(membership.Publish).Reports {
				if r.Scope != "r0" {
					t.Errorf("report %+v is not of the scope of this region", r)
				}
			}
		}
	}
	if m, _ := core.Snapshot().Member(ask.Target.Instance); m.Status != membership.Suspect {
		t.Errorf("%s is %v after no asked instance has reached it", m.Name, m.Status)
	}
}

// Guards against merges whose result depends on the order or the number of deliveries.
func TestReportsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rows := []membership.Row{
			{Name: "a", Kind: platform.KindEntry, Region: "r0", DataCentre: "d0", Incarnation: 1, PeerAddr: "x"},
			{Name: "b", Kind: platform.KindEntry, Region: "r0", DataCentre: "d0", Incarnation: 2, PeerAddr: "x"},
			{Name: "c", Kind: platform.KindEntry, Region: "r1", DataCentre: "d1", Incarnation: 3, PeerAddr: "x"},
		}
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) membership.Report {
			target := rapid.SampledFrom(rows[1:]).Draw(t, "target")
			r := membership.Report{Target: ref(target), Counter: rapid.Uint32Range(0, 5).Draw(t, "counter")}
			if rapid.Bool().Draw(t, "own") {
				r.Scope, r.Overrules = "r0", rapid.Uint32Range(0, 5).Draw(t, "overrules")
			} else {
				r.Leaving = rapid.Bool().Draw(t, "leaving")
			}
			return r
		}), 1, 12).Draw(rt, "reports")
		view := func(order []membership.Report) string {
			core, err := membership.New(rows[0], membership.DefaultParams(), rand.New(rand.NewPCG(1, 1)))
			if err != nil {
				rt.Fatal(err)
			}
			core.ApplyList(0, 1, rows)
			for _, r := range order {
				core.MergeReports(0, []membership.Report{r}, false)
			}
			home, own := core.Digests()
			return fmt.Sprint(core.Reports(), home, own)
		}
		shuffled := append(slices.Clone(reports), reports...)
		rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "order"), 2)).Shuffle(len(shuffled), func(i, j int) {
			shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
		})
		if a, b := view(reports), view(shuffled); a != b {
			rt.Fatalf("views differ:\n%s\n%s", a, b)
		}
	})
}

// Guards against too few or too many entries, entries that change more than necessary when an instance leaves, and
// validities outside of their range.
func TestRankEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(rt, "instances")
		rate := rapid.Float64Range(0, 100_000).Draw(rt, "rate")
		p := membership.DefaultEntryParams()
		var rows []membership.Row
		for i := range n {
			row := membership.Row{
				Name: fmt.Sprintf("i%d", i), Kind: platform.KindEntry, Region: "r0", DataCentre: "d0",
				Incarnation: uint64(i + 1), PeerAddr: "x", State: platform.StateLive,
			}
			if rapid.IntRange(0, 3).Draw(rt, "leaving") == 0 && i > 0 {
				row.State = platform.StateLeaving
			}
			rows = append(rows, row)
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 3))
		core, err := membership.New(rows[0], membership.DefaultParams(), random)
		if err != nil {
			rt.Fatal(err)
		}
		core.ApplyList(0, 1, rows)
		entries := membership.RankEntries(core.Snapshot(), "r0", "acme", rate, nil, p, random)
		live := 0
		for _, row := range rows {
			if row.State == platform.StateLive {
				live++
			}
		}
		want := min(live, p.MinEntries+int(rate/p.RatePerEntry))
		if len(entries.Members) != want {
			rt.Fatalf("%d entries for rate %.0f, want %d", len(entries.Members), rate, want)
		}
		for _, m := range entries.Members {
			if m.Status != membership.Live {
				rt.Fatalf("entry %s is %v", m.Name, m.Status)
			}
		}
		if entries.ValidFor > p.Validity || entries.ValidFor < time.Duration(float64(p.Validity)*(1-p.Jitter)) {
			rt.Fatalf("valid for %v", entries.ValidFor)
		}
		// After one instance is removed, the others keep their order.
		core.ApplyList(0, 2, rows[:n-1])
		fewer := membership.RankEntries(core.Snapshot(), "r0", "acme", rate, nil, p, random)
		kept := slices.DeleteFunc(slices.Clone(entries.Members), func(m membership.Member) bool { return m.Name == rows[n-1].Name && n > 1 })
		for i := range min(len(kept), len(fewer.Members)) {
			if kept[i].Name != fewer.Members[i].Name {
				rt.Fatalf("order changed: %v, then %v", kept, fewer.Members)
			}
		}
	})
}

// Guards against callers that are directed to a drained data centre although there is another one, and against an empty
// list of entries where there is none.
func TestRankEntriesOfDrainedDataCentres(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 3))
	var rows []membership.Row
	for i := range 6 {
		rows = append(rows, membership.Row{
			Name: fmt.Sprintf("i%d", i), Kind: platform.KindEntry, Region: "r0", DataCentre: fmt.Sprintf("d%d", i%2),
			Incarnation: uint64(i + 1), PeerAddr: "x", State: platform.StateLive,
		})
	}
	core, err := membership.New(rows[0], membership.DefaultParams(), random)
	if err != nil {
		t.Fatal(err)
	}
	core.ApplyList(0, 1, rows)
	for _, c := range []struct {
		drained    []string
		allowed    []string
		lastResort bool
	}{
		{nil, []string{"d0", "d1"}, false},
		{[]string{"d0"}, []string{"d1"}, false},
		{[]string{"d0", "d1"}, []string{"d0", "d1"}, true},
	} {
		drained := func(dataCentre string) bool { return slices.Contains(c.drained, dataCentre) }
		entries := membership.RankEntries(core.Snapshot(), "r0", "acme", 0, drained, membership.DefaultEntryParams(), random)
		if len(entries.Members) != 2 || entries.LastResort != c.lastResort {
			t.Errorf("drained %v: %d entries, last resort %v", c.drained, len(entries.Members), entries.LastResort)
		}
		for _, m := range entries.Members {
			if !slices.Contains(c.allowed, m.DataCentre) {
				t.Errorf("drained %v: entry %s is in %s", c.drained, m.Name, m.DataCentre)
			}
		}
	}
}
