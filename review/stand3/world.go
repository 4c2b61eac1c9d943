// Command stand3 starts dogwood-edge processes with the settings of the deploy file, beside stand-ins of the platform's store, of
// endpoints and of callers, and plays one scenario of the third review. It exits with 1 if the rule of the scenario was broken, with 0 if
// it held, and with 2 if the scenario could not run.
package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// words holds the platform's names and documents.
//
//go:embed words.json
var wordsJSON []byte

var words struct {
	Headers          map[string]string `json:"headers"`
	ConfigKey        string            `json:"config_key"`
	EvacuationPrefix string            `json:"evacuation_prefix"`
	EndpointPrefix   string            `json:"endpoint_prefix"`
	ReportPath       string            `json:"report_path"`
	CacheListPath    string            `json:"cache_list_path"`
	Config           map[string]any    `json:"config"`
	Entry            map[string]any    `json:"entry"`
}

const (
	host = "ask.example"
	key  = "i9n73hh2b9wu3fexd9dn"
	// heartbeat is the interval at which endpoints write their entries.
	heartbeat = 1200 * time.Millisecond
)

// dataCentres holds the region of each data centre of the stand-in deployment.
var dataCentres = map[string]string{"cluj-a": "ro-nord", "pitesti-a": "ro-sud"}

// world is a small deployment.
type world struct {
	binary string
	began  time.Time
	store  *platformtest.Store
	edges  []*edgeProcess
	ends   []func()
	logDir string

	mu     sync.Mutex
	record io.Writer
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

func (w *world) since() time.Duration { return time.Since(w.began) }

func (w *world) close() {
	for i := len(w.ends) - 1; i >= 0; i-- {
		w.ends[i]()
	}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the documents come from JSON
	}
	return data
}

func newWorld(binary, recordPath string) (*world, error) {
	if err := json.Unmarshal(wordsJSON, &words); err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	logDir, err := os.MkdirTemp("", "review-stand3-")
	if err != nil {
		return nil, err
	}
	w := &world{binary: binary, began: time.Now(), store: platformtest.StartStore(), record: record, logDir: logDir}
	w.store.SetPageSize(500)
	w.ends = append(w.ends, func() { _ = os.RemoveAll(logDir) }, w.store.Close)
	w.store.Put(words.ConfigKey, encode(words.Config))
	return w, nil
}

var ports = platformtest.NewPorts(20_000, 10_000)

// edgeProcess is a dogwood-edge process.
type edgeProcess struct {
	name, dataCentre, caller, ready string
	env                             []string
	cmd                             *exec.Cmd
	done                            chan struct{}
}

// startEdge starts a process with the variables that the deploy file gives it.
func (w *world) startEdge(name, dataCentre string) (*edgeProcess, error) {
	e := &edgeProcess{name: name, dataCentre: dataCentre}
	var directory, peer, metrics string
	for _, addr := range []*string{&e.caller, &e.ready, &directory, &peer, &metrics} {
		var err error
		if *addr, err = ports.FreeAddr(); err != nil {
			return nil, err
		}
	}
	e.env = append(os.Environ(),
		"DOGWOOD_EDGE_NAME="+name, "DOGWOOD_EDGE_REGION="+dataCentres[dataCentre], "DOGWOOD_EDGE_DATA_CENTRE="+dataCentre,
		"DOGWOOD_EDGE_REGIONS="+string(encode(dataCentres)), "DOGWOOD_EDGE_CALLER_ADDR="+e.caller, "DOGWOOD_EDGE_READY_ADDR="+e.ready,
		"DOGWOOD_EDGE_DIRECTORY_ADDR="+directory, "DOGWOOD_EDGE_PEER_ADDR="+peer, "DOGWOOD_EDGE_METRICS_ADDR="+metrics,
		"DOGWOOD_EDGE_STORE="+w.store.Addr, "DOGWOOD_EDGE_FIRST_START=true", "DOGWOOD_EDGE_GRACE=8", "DOGWOOD_EDGE_RETRY_RATIO=0.2",
		"DOGWOOD_EDGE_RETRY_WINDOW=10", "DOGWOOD_EDGE_RETRY_ALLOWANCE=56", "DOGWOOD_EDGE_DIRECTORY_TTL=5", "DOGWOOD_EDGE_LINK_MBPS=2000",
		"DOGWOOD_EDGE_MEMORY_MB=544", "DOGWOOD_EDGE_MAX_FDS=8200", "DOGWOOD_EDGE_CPU_SHARE=0.8", "DOGWOOD_EDGE_CORES=1")
	if err := w.launch(e); err != nil {
		return nil, err
	}
	w.edges = append(w.edges, e)
	w.ends = append(w.ends, func() {
		if e.running() {
			_ = e.cmd.Process.Signal(syscall.SIGCONT)
			_ = e.cmd.Process.Kill()
		}
		<-e.done
	})
	return e, nil
}

func (w *world) launch(e *edgeProcess) error {
	log, err := os.OpenFile(filepath.Join(w.logDir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(w.binary)
	cmd.Env, cmd.Stdout, cmd.Stderr = e.env, log, log
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	e.cmd, e.done = cmd, make(chan struct{})
	done := e.done
	go func() {
		_ = cmd.Wait() // how it has ended shows in its log
		_ = log.Close()
		close(done)
	}()
	return nil
}

func (e *edgeProcess) running() bool {
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

// awaitReady waits until all processes say that they are ready.
func (w *world) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, e := range w.edges {
		for {
			resp, err := http.Get("http://" + e.ready + platformtest.ReadyPath)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// endpoint is the stand-in of an endpoint. Its fields that change are guarded by mu.
type endpoint struct {
	world                   *world
	id, service, dataCentre string
	slots                   int
	born                    int64
	addr                    string
	answer                  http.HandlerFunc // for requests of callers, after the checks that all endpoints make

	// quiet says that a change is written with the next heartbeat only.
	quiet bool

	mu        sync.Mutex
	server    *http.Server
	down      bool
	sequence  int
	state     string
	coldUntil time.Time
	running   int
}

// serve listens at the endpoint's address.
func (e *endpoint) serve() error {
	listener, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: e, IdleTimeout: 10 * time.Second}
	e.mu.Lock()
	e.server, e.down = server, false
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with the listener
	return nil
}

// restart ends the endpoint with all its connections and starts it again under its id after a time. It is cold then.
func (e *endpoint) restart(after, coldFor time.Duration) error {
	e.mu.Lock()
	e.down = true
	server := e.server
	e.mu.Unlock()
	if err := server.Close(); err != nil {
		return err
	}
	time.Sleep(after)
	e.mu.Lock()
	e.born, e.coldUntil, e.sequence = time.Now().UnixMilli(), time.Now().Add(coldFor), 0
	e.mu.Unlock()
	if err := e.serve(); err != nil {
		return err
	}
	e.write()
	return nil
}

// becomeCold makes the endpoint cold while it runs.
func (e *endpoint) becomeCold(d time.Duration) {
	e.mu.Lock()
	e.coldUntil = time.Now().Add(d)
	e.mu.Unlock()
	if !e.quiet {
		e.write()
	}
}

// startEndpoint starts an endpoint and registers it.
func (w *world) startEndpoint(id, service, dataCentre string, slots int, answer func(e *endpoint) http.HandlerFunc) (*endpoint, error) {
	addr, err := ports.FreeAddr()
	if err != nil {
		return nil, err
	}
	e := &endpoint{world: w, id: id, service: service, dataCentre: dataCentre, slots: slots, born: time.Now().UnixMilli(), addr: addr, state: "ready"}
	e.answer = answer(e)
	if err := e.serve(); err != nil {
		return nil, err
	}
	w.ends = append(w.ends, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.server.Close()
	})
	e.write()
	stop := make(chan struct{})
	w.ends = append(w.ends, func() { close(stop) })
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				e.write()
			}
		}
	}()
	return e, nil
}

// coldLeft returns how long the endpoint stays cold. The caller holds mu.
func (e *endpoint) coldLeft() time.Duration { return max(0, time.Until(e.coldUntil)) }

// write writes the endpoint's entry.
func (e *endpoint) write() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.sequence++
	entry := make(map[string]any, len(words.Entry))
	for name, value := range words.Entry {
		switch name {
		case "service":
			value = e.service
		case "addr":
			value = e.addr
		case "zone":
			value = e.dataCentre
		case "slots":
			value = e.slots
		case "state":
			value = e.state
		case "sequence":
			value = e.sequence
		case "born":
			value = e.born
		}
		if strings.HasPrefix(name, "cold") {
			value = e.coldLeft().Milliseconds()
		}
		entry[name] = value
	}
	e.world.store.Put(words.EndpointPrefix+e.id, encode(entry))
}

// ServeHTTP answers like a sound endpoint.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := words.Headers
	w.Header().Set("Keep-Alive", "timeout=10")
	e.mu.Lock()
	cold, born := e.coldLeft(), e.born
	load := fmt.Sprintf("%d,0,%d", e.running, e.slots)
	e.mu.Unlock()
	switch {
	case r.URL.Path == words.CacheListPath:
		platformtest.WriteEmptyCacheList(w)
	case r.URL.Path == words.ReportPath:
		_, _ = w.Write(encode(map[string]any{"stage": "both", "born": born, "busy": false, "sequence": 1})) // the caller may have left
	case r.URL.Path == "/health":
		w.Header().Set(h["instance"], e.id)
		w.Header().Set(h["load"], load)
		if cold > 0 {
			w.Header().Set(h["cold"], fmt.Sprint(cold.Milliseconds()))
		}
	case r.Header.Get(h["expected"]) != "" && r.Header.Get(h["expected"]) != e.id:
		w.Header().Set(h["id"], r.Header.Get(h["id"]))
		w.Header().Set(h["not_run"], "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		w.Header().Set(h["load"], load)
		e.mu.Lock()
		e.running++
		e.mu.Unlock()
		defer func() {
			e.mu.Lock()
			e.running--
			e.mu.Unlock()
		}()
		e.answer(w, r)
	}
}

// sign marks an answer as the endpoint's own.
func sign(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set(words.Headers["id"], r.Header.Get(words.Headers["id"]))
	w.Header().Set(words.Headers["stamp"], id+".signed")
}

// newRequest returns a caller's request.
func newRequest(method, addr, path, id, body string, deadline time.Duration) (*http.Request, error) {
	var content io.Reader
	if body != "" {
		content = strings.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+addr+path, content)
	if err != nil {
		return nil, err
	}
	r.Host = host
	r.Header.Set(words.Headers["id"], id)
	r.Header.Set(words.Headers["deadline"], fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+key)
	return r, nil
}
