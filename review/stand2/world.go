package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"dogwoodknot.example/dogwoodknot/platform/platformtest"
)

// zones are the data centres of the small deployment, with their regions.
var zones = map[string]string{"cluj-a": "ro-nord", "brasov-a": "ro-centru", "pitesti-a": "ro-sud"}

const (
	host         = "trace.example"
	apiKey       = "key-of-mill"
	organisation = "mill"
	// graceSeconds, and the other settings of a machine, are those of the small deployment.
	graceSeconds = 8
	// restartDelay is how long the platform takes to start a process again that has ended.
	restartDelay = 400 * time.Millisecond
	// beat is the interval at which an endpoint renews its entry.
	beat = 1200 * time.Millisecond
)

// record writes what happens to a file.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// world is all that runs in a case.
type world struct {
	binary   string
	dir      string
	record   *record
	store    *platformtest.Store
	ports    *platformtest.Ports
	machines []*machine
	runners  []*runner
	ended    chan struct{} // closed at the end of the case
	beats    sync.WaitGroup
}

func newWorld(binary, recordPath string) (*world, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{binary: binary, dir: dir, record: &record{file: file, began: time.Now()}, store: platformtest.StartStore(),
		ports: platformtest.NewPorts(12_000, 8_000), ended: make(chan struct{})}
	w.store.SetPageSize(500)
	return w, nil
}

func (w *world) close() {
	close(w.ended)
	for _, m := range w.machines {
		m.stop()
	}
	w.beats.Wait()
	for _, r := range w.runners {
		r.end()
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir)
	_ = w.record.file.Close()
}

// machine runs one dogwood-edge process, and starts it again when it ends by itself.
type machine struct {
	world                          *world
	name, zone                     string
	caller, ready, directory, peer string
	metrics                        string
	memoryMB, fds                  int
	cores, share                   float64
	linkMbps                       float64

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	ownEnds  int // of the process, by itself
	watched  sync.WaitGroup
}

// addMachine adds a machine of the small deployment and starts its process.
func (w *world) addMachine(name, zone string) (*machine, error) {
	m := &machine{world: w, name: name, zone: zone, memoryMB: 414, fds: 6150, cores: 1, share: 0.608, linkMbps: 1500}
	for _, addr := range []*string{&m.caller, &m.ready, &m.directory, &m.peer, &m.metrics} {
		var err error
		if *addr, err = w.ports.FreeAddr(); err != nil {
			return nil, err
		}
	}
	w.machines = append(w.machines, m)
	return m, m.start(true)
}

// start runs the command of the deploy file with its environment.
func (m *machine) start(first bool) error {
	regions, err := json.Marshal(zones)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	env := map[string]any{
		"NAME": m.name, "REGION": zones[m.zone], "DATA_CENTRE": m.zone, "REGIONS": string(regions), "CALLER_ADDR": m.caller, "READY_ADDR": m.ready,
		"DIRECTORY_ADDR": m.directory, "PEER_ADDR": m.peer, "METRICS_ADDR": m.metrics, "STORE": m.world.store.Addr, "FIRST_START": first,
		"GRACE": graceSeconds, "RETRY_RATIO": 0.2, "RETRY_WINDOW": 10, "RETRY_ALLOWANCE": 56, "DIRECTORY_TTL": 5, "LINK_MBPS": m.linkMbps,
		"MEMORY_MB": m.memoryMB, "MAX_FDS": m.fds, "CPU_SHARE": m.share, "CORES": m.cores,
	}
	cmd := exec.Command(m.world.binary)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.world.dir}
	for name, value := range env {
		cmd.Env = append(cmd.Env, fmt.Sprintf("DOGWOOD_EDGE_%s=%v", name, value))
	}
	failure := &tail{}
	cmd.Stdout, cmd.Stderr = log, failure
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return log.Close()
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd = cmd
	m.watched.Go(func() {
		err := cmd.Wait()
		_ = log.Close()
		m.restart(err, failure.firstLines())
	})
	return nil
}

// restart starts a process again that has ended by itself.
func (m *machine) restart(end error, stderr string) {
	m.mu.Lock()
	stopping := m.stopping
	if !stopping {
		m.ownEnds++
	}
	m.mu.Unlock()
	if stopping {
		return
	}
	m.world.record.line("%s: process has ended by itself: %v: %s", m.name, end, stderr)
	select {
	case <-m.world.ended:
		return
	case <-time.After(restartDelay):
	}
	if err := m.start(false); err != nil {
		m.world.record.line("%s: process could not be started: %v", m.name, err)
	}
}

func (m *machine) ends() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownEnds
}

func (m *machine) stop() {
	m.mu.Lock()
	m.stopping = true
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(syscall.SIGKILL) // it may have ended
	}
	m.mu.Unlock()
	m.watched.Wait()
}

// startMachines starts the four machines of the small deployment and waits until all are ready.
func (w *world) startMachines(ctx context.Context) error {
	for _, at := range [][2]string{{"front-cluj-a-1", "cluj-a"}, {"front-cluj-a-2", "cluj-a"}, {"front-brasov-a-1", "brasov-a"}, {"front-pitesti-a-1", "pitesti-a"}} {
		if _, err := w.addMachine(at[0], at[1]); err != nil {
			return err
		}
	}
	ready, cancel := context.WithTimeout(ctx, settling)
	defer cancel()
	for _, m := range w.machines {
		if err := m.awaitReady(ready); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the process says that it is ready.
func (m *machine) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		if status, err := get(ctx, "http://"+m.ready+platformtest.ReadyPath); err == nil && status == 200 {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", m.name, ctx.Err())
}

// tail keeps the beginning of what a process writes to its standard error.
type tail struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// maxTail bounds what is kept.
const maxTail = 4 << 10

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if room := maxTail - t.buf.Len(); room > 0 {
		t.buf.Write(p[:min(len(p), room)])
	}
	return len(p), nil
}

// firstLines returns the message and the innermost functions of a panic on one line.
func (t *tail) firstLines() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := []string{}
	for line := range strings.SplitSeq(t.buf.String(), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "/") || strings.HasPrefix(line, "goroutine") {
			continue
		}
		if name, _, found := strings.Cut(line, "("); found && strings.Contains(name, "/") {
			line = name[strings.LastIndexByte(name, '/')+1:]
		}
		if lines = append(lines, line); len(lines) == 8 {
			break
		}
	}
	return strings.Join(lines, " | ")
}

// listen returns a listener on a free loopback port.
func (w *world) listen() (net.Listener, error) {
	addr, err := w.ports.FreeAddr()
	if err != nil {
		return nil, err
	}
	return net.Listen("tcp", addr)
}
