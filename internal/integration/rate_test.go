package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// meteredTokens is what a call of the metered route is charged.
const meteredTokens = 20

// admission is a request that was admitted at some time between its sending and its answer.
type admission struct{ sent, answered time.Time }

// excess returns by how many tokens the admissions exceed a rate and burst in the worst window. A window counts only the
// requests that lie in it wholly.
func excess(admitted []admission, rate, burst float64) float64 {
	worst := -burst
	for _, from := range admitted {
		for _, to := range admitted {
			if !to.answered.After(from.sent) {
				continue
			}
			tokens := 0.0
			for _, a := range admitted {
				if !a.sent.Before(from.sent) && !a.answered.After(to.answered) {
					tokens += meteredTokens
				}
			}
			worst = max(worst, tokens-rate*to.answered.Sub(from.sent).Seconds()-burst)
		}
	}
	return worst
}

// Point 7. Guards against more tokens than rate and burst over all instances together, in any window, when every instance is
// asked for far more while instances are killed, paused, cut off and started again.
func TestRateOverAllInstances(t *testing.T) {
	d := running(t)
	const rate, burst = 300.0, 1500.0 // of the organisation metered
	var (
		mu       sync.Mutex
		admitted []admission
		refused  int
		by       = map[string]int{}
		ended    atomic.Bool
		callers  sync.WaitGroup
	)
	for _, i := range d.instances {
		for n := range 4 {
			callers.Go(func() {
				for !ended.Load() {
					sent := time.Now()
					a := d.request(context.Background(), i, http.MethodGet, fmt.Sprintf("/metered/%d", n), d.keys["metered"], nil, "")
					mu.Lock()
					switch {
					case a.status == http.StatusOK:
						admitted = append(admitted, admission{sent, time.Now()})
						by[i.name]++
					case a.status == http.StatusTooManyRequests:
						refused++
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	killed, paused, apart := d.instance("cusco-1"), d.instance("lima-2"), d.instance("arequipa-1")
	time.Sleep(2 * time.Second)
	d.kill(killed.process)
	d.must(t, d.dropFromList(killed))
	time.Sleep(time.Second)
	d.must(t, paused.signal(syscall.SIGSTOP))
	time.Sleep(2 * time.Second)
	d.must(t, paused.signal(syscall.SIGCONT))
	heldBack := d.network.heldBetween(apart.name, "lima-1")
	for _, i := range d.instances {
		if i != apart {
			d.network.cut(apart.name, i.name)
		}
	}
	d.must(t, d.network.acceptAll())
	d.must(t, d.startInstance(killed))
	time.Sleep(3 * time.Second)
	if !heldBack() {
		t.Error("the cut was not in place")
	}
	d.network.heal()
	d.must(t, apart.signal(syscall.SIGSTOP))
	time.Sleep(leaseLapses) // the slots of the paused and the killed instance lapse and come back
	d.must(t, apart.signal(syscall.SIGCONT))
	time.Sleep(2 * time.Second)
	ended.Store(true)
	callers.Wait()
	if over := excess(admitted, rate, burst); over > 0 {
		t.Errorf("%d admissions exceed rate and burst by %.0f tokens in a window", len(admitted), over)
	}
	t.Logf("%d admitted, %d refused, by instance %v", len(admitted), refused, by)
	if refused == 0 || len(by) != len(d.instances) {
		t.Errorf("load does not reach the limit: %d refused, admitted by instance %v", refused, by)
	}
	// Shares that each instance used alone, as if nothing were divided, would show: the load exceeds a quarter of the rate and burst.
	if over := excess(admitted, rate/4, burst/4); over <= 0 {
		t.Errorf("the count of windows finds no excess over a quarter of rate and burst: %.0f", over)
	}
}
