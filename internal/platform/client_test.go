package platform_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodknot.example/dogwoodknot/internal/platform"
	"dogwoodknot.example/dogwoodknot/internal/platform/memory"
	"dogwoodknot.example/dogwoodknot/internal/standin"
)

func newStoreClient(t *testing.T, o platform.ClientOptions) *platform.StoreClient {
	t.Helper()
	c, err := platform.NewStoreClient(o)
	check(t, err)
	t.Cleanup(c.Close)
	return c
}

// Guards against a faulty response that is reported as a success, and against a write that may have taken effect and is reported as
// not done, or sent twice.
func TestClientBadAnswers(t *testing.T) {
	tests := []struct {
		name    string
		answer  http.HandlerFunc
		unknown bool // outcome of a write
		want    error
	}{
		{"no answer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true, nil},
		{"cut answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, `{"revision":5`)
		}, true, nil},
		{"invalid answer", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"revision":`) }, true, nil},
		{"internal error", status(http.StatusInternalServerError), true, nil},
		{"bad gateway", status(http.StatusBadGateway), true, nil},
		{"unavailable", status(http.StatusServiceUnavailable), false, platform.ErrUnavailable},
		{"rate limit", status(http.StatusTooManyRequests), false, platform.ErrUnavailable},
		{"bad request", status(http.StatusBadRequest), false, nil},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, false, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var calls atomic.Int64
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				test.answer(w, r)
			}))
			server.Start()
			defer server.Close()
			c := newStoreClient(t, platform.ClientOptions{URL: server.URL})
			_, err := c.Put(context.Background(), "k", []byte("v"), platform.PutOptions{})
			if err == nil {
				t.Fatal("the write is reported as done")
			}
			if errors.Is(err, platform.ErrUnknownOutcome) != test.unknown {
				t.Fatalf("error is %v", err)
			}
			if test.want != nil {
				wantError(t, err, test.want)
			}
			if n := calls.Load(); n != 1 {
				t.Fatalf("the write was sent %d times", n)
			}
			if _, err := c.Get(context.Background(), "k"); err == nil || errors.Is(err, platform.ErrUnknownOutcome) {
				t.Fatalf("error of a read is %v", err)
			}
		})
	}
}

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

// Guards against instances that stop following the list because another writer has left one row among the others that cannot be read, or
// that names an address which nobody can reach.
func TestOddRowsHideNoOthers(t *testing.T) {
	const good = `{"name":"good","kind":"entry","region":"north","data_centre":"a","incarnation":1,"caller_addr":"10.0.0.1:80","peer_addr":"10.0.0.1:81","state":"live"}`
	for name, odd := range map[string]string{
		"number too large":      strings.Replace(good, `"incarnation":1`, `"incarnation":1e999`, 1),
		"number of more bits":   strings.Replace(good, `"incarnation":1`, `"incarnation":18446744073709551616`, 1),
		"another type":          strings.Replace(good, `"north"`, `["north"]`, 1),
		"no object":             `"good"`,
		"null":                  `null`,
		"without a name":        strings.Replace(good, `"good"`, `""`, 1),
		"port out of range":     strings.Replace(good, `:81`, `:65536`, 1),
		"callers' port is 0":    strings.Replace(good, `:80"`, `:0"`, 1),
		"deeply nested":         strings.Replace(good, `"live"`, strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000), 1),
		"nested beside strings": strings.Replace(good, `"state"`, `"x":`+strings.Repeat(`{"a\"]}":[`, 20_000)+strings.Repeat("]}", 20_000)+`,"state":1,"y"`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				fmt.Fprintf(w, `{"version":7,"instances":[%s,%s]}`, odd, good)
			}))
			defer server.Close()
			c, err := platform.NewInstanceListClient(platform.ClientOptions{URL: server.URL})
			check(t, err)
			defer c.Close()
			rows, version, err := c.Instances(context.Background())
			if err != nil || version != 7 || len(rows) != 1 || rows[0].Name != "good" || rows[0].PeerAddr != "10.0.0.1:81" {
				t.Errorf("%.300s, version %d, %.300s", fmt.Sprint(rows), version, fmt.Sprint(err))
			}
		})
	}
}

// Guards against a service that cannot be reached being reported as an unknown outcome.
func TestClientRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	check(t, ln.Close())
	c := newStoreClient(t, platform.ClientOptions{URL: "http://" + ln.Addr().String()})
	_, err = c.Put(context.Background(), "k", nil, platform.PutOptions{})
	wantError(t, err, platform.ErrUnavailable)
	if errors.Is(err, platform.ErrUnknownOutcome) {
		t.Fatalf("error is %v", err)
	}
}

// Guards against calls that exceed the client's timeout, and against a client that keeps using a dead connection.
func TestClientTimeoutAndRestart(t *testing.T) {
	store := standin.NewStore(memory.StoreOptions{})
	defer store.Close()
	l, err := standin.Listen(store.Handler())
	check(t, err)
	defer l.Close()
	c := newStoreClient(t, platform.ClientOptions{URL: l.URL(), Timeout: 100 * time.Millisecond})
	store.Twin().SetFaults(memory.Faults{Hang: true})
	start := time.Now()
	_, err = c.Get(context.Background(), "k")
	wantError(t, err, platform.ErrUnavailable)
	_, err = c.Put(context.Background(), "k", nil, platform.PutOptions{})
	wantError(t, err, platform.ErrUnknownOutcome)
	if took := time.Since(start); took > 5*time.Second {
		t.Fatalf("two calls took %v", took)
	}
	store.Twin().SetFaults(memory.Faults{})
	l.Kill()
	_, err = c.Get(context.Background(), "k")
	wantError(t, err, platform.ErrUnavailable)
	check(t, l.Start())
	_, err = c.Get(context.Background(), "k")
	wantError(t, err, platform.ErrNotFound)
}

// Guards against a new connection for each call, which costs a wide-area round trip.
func TestClientReusesConnections(t *testing.T) {
	store := standin.NewStore(memory.StoreOptions{})
	defer store.Close()
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(store.Handler())
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	c := newStoreClient(t, platform.ClientOptions{URL: server.URL + "/"})
	ctx := context.Background()
	for i := range 50 {
		_, err := c.Put(ctx, "k", []byte{byte(i)}, platform.PutOptions{})
		check(t, err)
		_, err = c.Get(ctx, "absent")
		wantError(t, err, platform.ErrNotFound)
		_, err = c.Put(ctx, "k", nil, platform.PutOptions{IfRevision: revision(platform.IfAbsent)})
		wantError(t, err, platform.ErrConflict)
	}
	if n := opened.Load(); n != 1 {
		t.Fatalf("150 calls in a row opened %d connections", n)
	}
}

// Guards against lost updates of concurrent writers, and against a watch that misses the last update or returns an older revision.
func TestStoreConcurrentWriters(t *testing.T) {
	const writers, increments = 6, 20
	forEachImplementation(t, func(t *testing.T, ctx context.Context, s services) {
		_, err := s.store.Put(ctx, "n", []byte("0"), platform.PutOptions{})
		check(t, err)
		var wg sync.WaitGroup
		for range writers {
			wg.Go(func() {
				for range increments {
					if err := increment(ctx, s.store, "n"); err != nil {
						t.Error(err)
						return
					}
				}
			})
		}
		last := int64(0)
		for want := fmt.Sprint(writers * increments); ; {
			e, err := s.store.Watch(ctx, "n", last)
			check(t, err)
			if e.Revision <= last {
				t.Fatalf("watch went from revision %d to %d", last, e.Revision)
			}
			last = e.Revision
			if string(e.Value) == want {
				break
			}
		}
		wg.Wait()
	})
}

func increment(ctx context.Context, store platform.Store, key string) error {
	for {
		e, err := store.Get(ctx, key)
		if err != nil {
			return err
		}
		var n int
		if _, err := fmt.Sscan(string(e.Value), &n); err != nil {
			return err
		}
		_, err = store.Put(ctx, key, []byte(fmt.Sprint(n+1)), platform.PutOptions{IfRevision: &e.Revision})
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
}

// Guards against validation that reports only the first problem of the options.
func TestClientOptions(t *testing.T) {
	_, err := platform.NewDirectoryClient(platform.ClientOptions{URL: "10.0.0.1:80", Timeout: -1, WatchWait: -1})
	if err == nil {
		t.Fatal("wrong options were accepted")
	}
	for _, want := range []string{"URL", "timeout", "watch wait"} {
		if !strings.Contains(err.Error(), want) {
			t.Fatalf("error %q does not name the %s", err, want)
		}
	}
}
