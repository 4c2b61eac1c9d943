package operations

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
)

const (
	chaosSlots   = 3
	chaosCallers = 24
	// chaosTime bounds the faults. A longer run takes its time from DOGWOODKNOT_TEST_CHAOS_SECONDS.
	chaosTime = 2 * time.Second
	// chaosRate bounds the requests of a caller.
	chaosPause = 3 * time.Millisecond
)

// chaos runs callers against instances while faults come and go at random.
type chaos struct {
	*fleet
	t         *testing.T
	mu        sync.Mutex
	instances map[string]*instance
	keys      []string
	outcomes  []labelled
	attempts  atomic.Int64
}

func (c *chaos) pick(rnd *rand.Rand) *instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances[fmt.Sprintf("lima-%d", 1+rnd.IntN(len(c.instances)))]
}

// pickKey returns a new key, an issued id, or one used lately.
func (c *chaos) pickKey(rnd *rand.Rand, at *instance) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.keys) > 0 && rnd.IntN(3) > 0 {
		return c.keys[max(0, len(c.keys)-1-rnd.IntN(20))]
	}
	key := newKey(c.t)
	if rnd.IntN(3) == 0 {
		if id, err := at.Issue(testOrg); err == nil {
			key = id
		}
	}
	c.keys = append(c.keys, key)
	return key
}

func (c *chaos) call(end time.Time, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	for time.Now().Before(end) {
		at := c.pick(rnd)
		key := c.pickKey(rnd, at)
		label := fmt.Sprintf("attempt %d", c.attempts.Add(1))
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+rnd.IntN(400))*time.Millisecond)
		o := at.doCtx(ctx, key, key, label)
		cancel()
		c.mu.Lock()
		c.outcomes = append(c.outcomes, labelled{label, o})
		c.mu.Unlock()
		time.Sleep(chaosPause)
	}
}

// restart replaces an instance, with or without a planned stop.
func (c *chaos) restart(rnd *rand.Rand) {
	old := c.pick(rnd)
	if rnd.IntN(2) == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = old.Stop(ctx) // may not finish under the other faults
		c.hub.Remove(old.name)
	} else {
		old.crash()
	}
	i := c.start(old.name)
	c.mu.Lock()
	c.instances[old.name] = i
	c.mu.Unlock()
}

func (c *chaos) disturb(end time.Time, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	for time.Now().Before(end) {
		a, b := c.pick(rnd).name, c.pick(rnd).name
		switch rnd.IntN(8) {
		case 0:
			c.hub.CutOneWay(a, b)
		case 1:
			c.hub.Cut(a, b)
		case 2:
			c.store.SetFaults(memory.Faults{DropAnswers: rnd.IntN(5), DropWrites: rnd.IntN(3)})
		case 3:
			c.store.SetFaults(memory.Faults{Latency: time.Duration(rnd.IntN(60)) * time.Millisecond})
		case 4:
			c.store.SetFaults(memory.Faults{Down: true})
		case 5:
			c.slots.deafen(a)
			c.slots.set(testRegion, rnd.IntN(chaosSlots), b)
		case 6:
			c.slots.set(testRegion, rnd.IntN(chaosSlots), b)
		case 7:
			c.restart(rnd)
		}
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
		c.hub.Heal(a, b)
		c.slots.undeafen(a)
		if rnd.IntN(2) == 0 {
			c.store.SetFaults(memory.Faults{})
		}
	}
	c.store.SetFaults(memory.Faults{})
}

// Guards against two executions and untrue outcomes under random faults with real timing.
func TestChaos(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d (timing is not reproduced)", seed)
	d := chaosTime
	if n, err := strconv.Atoi(os.Getenv("DOGWOODKNOT_TEST_CHAOS_SECONDS")); err == nil {
		d = time.Duration(n) * time.Second
	}
	f := newFleet(t)
	f.view.general.Regions = []config.Region{{Name: testRegion, Slots: chaosSlots}}
	f.hub.SetBreakAfter(50 * time.Millisecond)
	c := &chaos{fleet: f, t: t, instances: map[string]*instance{}}
	for i := range 4 {
		name := fmt.Sprintf("lima-%d", i+1)
		f.slots.set(testRegion, i%chaosSlots, name)
		c.instances[name] = f.start(name)
	}
	end := time.Now().Add(d)
	var wg sync.WaitGroup
	for i := range chaosCallers {
		wg.Go(func() { c.call(end, seed+uint64(i)) })
	}
	wg.Go(func() { c.disturb(end, seed) })
	wg.Wait()
	c.check()
}

func (c *chaos) check() {
	counts := map[string]int{}
	for _, o := range c.outcomes {
		counts[string(o.Execution)+" "+o.Code]++
		if o.Execution == NotRun && c.endpoint.byLabel(o.label) > 0 {
			c.t.Errorf("%s: not-run (%s), but it ran", o.label, o.Code)
		}
		if o.Execution == Ran && o.Answer != nil && o.Answer.Status != 200 {
			c.t.Errorf("%s: answer %+v", o.label, o.Answer)
		}
	}
	ran := 0
	for _, key := range c.keys {
		n := c.endpoint.executions(key)
		ran += n
		if n > 1 {
			c.t.Errorf("%d executions of %.12s", n, key)
		}
	}
	c.t.Logf("%d keys, %d executions, outcomes %v", len(c.keys), ran, counts)
	if ran == 0 || counts["ran "] == 0 {
		c.t.Error("nothing ran")
	}
}
