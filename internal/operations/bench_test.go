package operations

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/core/atmostonce"
)

// BenchmarkGroupCommit measures store writes against operations with a store that answers in 3 ms and an endpoint that
// answers in 5 ms. Results share the entries of later claims.
func BenchmarkGroupCommit(b *testing.B) {
	for _, callers := range []int{4, 64, 1024} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			f := newFleet(b)
			f.slots.set(testRegion, 0, "lima-1")
			f.tune = func(o *Options) { o.Log = atmostonce.DefaultLogOptions() }
			a := f.start("lima-1")
			a.doReady(newKey(b), "warm-up")
			f.store.hook(func(string, string, string) error { time.Sleep(3 * time.Millisecond); return nil }, nil)
			f.endpoint.mu.Lock()
			f.endpoint.after = func(string) { time.Sleep(5 * time.Millisecond) }
			f.endpoint.mu.Unlock()
			writes, bytes := f.store.writes(), f.store.bytes
			var next atomic.Int64
			var wg sync.WaitGroup
			b.ResetTimer()
			for range callers {
				wg.Go(func() {
					for next.Add(1) <= int64(b.N) {
						if o := a.do(newKey(b), "deposit"); o.Execution != Ran {
							b.Errorf("%s %s", o.Execution, o.Code)
						}
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			seconds := b.Elapsed().Seconds()
			f.store.mu.Lock()
			defer f.store.mu.Unlock()
			b.ReportMetric(float64(b.N)/seconds, "operations/s")
			b.ReportMetric(float64(f.store.writes()-writes)/seconds, "writes/s")
			b.ReportMetric(float64(f.store.bytes-bytes)/float64(b.N), "storeB/operation")
		})
	}
}

// BenchmarkEntrySize measures the store bytes of a claim with its result, by the size of the group.
func BenchmarkEntrySize(b *testing.B) {
	secrets, err := atmostonce.NewSecrets(testSecret)
	if err != nil {
		b.Fatal(err)
	}
	for _, n := range []int{1, 10, 1000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			e := atmostonce.Entry{Sequence: 1, Token: atmostonce.Token{Incarnation: 1 << 60, Number: 1<<32 | 7}, Horizon: 1_796_000_000_000}
			for i := range n {
				ident := secrets.Idents(testOrg, fmt.Sprint(i), [32]byte{})[0]
				e.Claims = append(e.Claims, atmostonce.Claim{Ident: ident, KeyTime: 1_796_344_200_000 - int64(i%50)})
				e.Results = append(e.Results, atmostonce.Result{Key: ident.Key, KeyTime: 1_796_344_200_000 - int64(i%50), Ran: true})
			}
			e.NewestKey = 1_796_344_200_000
			var value []byte
			for b.Loop() {
				value, _ = encodeEntry(e, secrets.SigningID())
			}
			b.ReportMetric(float64(len(value)+len(logKey(testRegion, 0, 1)))/float64(n), "B/record")
		})
	}
}

// BenchmarkIdent measures the MACs that name a request, with two secrets as during rotation.
func BenchmarkIdent(b *testing.B) {
	secrets, err := atmostonce.NewSecrets(testSecret, []byte("another secret of the cluster"))
	if err != nil {
		b.Fatal(err)
	}
	key := newKey(b)
	for b.Loop() {
		secrets.Idents(testOrg, key, [32]byte{})
	}
}
