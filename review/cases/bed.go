package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Figures of the sheet of Veletas Andinas (SYSTEM.md).
const (
	grace       = 8 * time.Second
	contact     = 6 * time.Second
	quotaWindow = 8 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 110_000.0
	coldExcess  = 1.5
	coldSlack   = 3.0
)

// bed is a deployment on loopback addresses: the store, runners, machines and clients.
type bed struct {
	binary   string
	record   *record
	trouble  bool
	store    *store
	runners  []*runner
	machines []*machine
	zones    map[string]string // region by zone
	nextPort int               // from which on ports are tried

	mu       sync.Mutex
	sent     map[string]time.Time
	arrivals []arrival
	crashes  []time.Time    // of runners
	answers  map[string]int // by status, "0" for none
}

func newBed(binary string, r *record, trouble bool) (*bed, error) {
	b := &bed{binary: binary, record: r, trouble: trouble, sent: make(map[string]time.Time), answers: make(map[string]int)}
	var err error
	b.store, err = startStore(r)
	return b, err
}

func (b *bed) close() {
	for _, m := range b.machines {
		m.kill()
	}
	for _, n := range b.runners {
		n.close()
	}
	_ = b.store.server.Close()
}

func (b *bed) sentAt(id string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent[id]
}

func (b *bed) arrive(a arrival) {
	b.record.add("runner %s runs %s, %.0f tokens, parts %s", a.runner, a.id, a.tokens, a.parts)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, a)
}

func (b *bed) crashed(runner string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes = append(b.crashes, time.Now())
	b.record.add("runner %s crashes, crash %d", runner, len(b.crashes))
}

// allArrivals returns the requests that runners have begun to run so far.
func (b *bed) allArrivals() []arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]arrival(nil), b.arrivals...)
}

// machine is a process of dogwood-edge with the settings of the deploy file.
type machine struct {
	bed                                     *bed
	name, zone                              string
	caller, ready, directory, peer, metrics string

	cmd   *exec.Cmd
	ended chan struct{}
}

// Ports of machines lie below those that the system hands out by itself. Each process of this program begins at a place of its own.
const (
	firstPort  = 20000
	portPlaces = 200
	portsEach  = 60
	portsEnd   = firstPort + portPlaces*portsEach // end of all places
)

// freeAddr returns the next loopback address on which nothing listens.
func (b *bed) freeAddr() (string, error) {
	if b.nextPort == 0 {
		b.nextPort = firstPort + os.Getpid()%portPlaces*portsEach
	}
	for ; b.nextPort < portsEnd; b.nextPort++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", b.nextPort))
		if err != nil {
			continue // in use
		}
		b.nextPort++
		return l.Addr().String(), l.Close()
	}
	return "", errors.New("no free port")
}

func (b *bed) newMachine(name, zone string) (*machine, error) {
	m := &machine{bed: b, name: name, zone: zone}
	for _, addr := range []*string{&m.caller, &m.ready, &m.directory, &m.peer, &m.metrics} {
		var err error
		if *addr, err = b.freeAddr(); err != nil {
			return nil, err
		}
	}
	b.machines = append(b.machines, m)
	return m, nil
}

// start starts the process with the command and the environment of deploy/system.toml.
func (m *machine) start(bootstrap bool) error {
	zones, err := json.Marshal(m.bed.zones)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.bed.binary)
	cmd.Env = []string{
		"DOGWOOD_EDGE_NAME=" + m.name, "DOGWOOD_EDGE_REGION=" + m.bed.zones[m.zone], "DOGWOOD_EDGE_DATA_CENTRE=" + m.zone,
		"DOGWOOD_EDGE_REGIONS=" + string(zones), "DOGWOOD_EDGE_CALLER_ADDR=" + m.caller, "DOGWOOD_EDGE_READY_ADDR=" + m.ready,
		"DOGWOOD_EDGE_DIRECTORY_ADDR=" + m.directory, "DOGWOOD_EDGE_PEER_ADDR=" + m.peer, "DOGWOOD_EDGE_METRICS_ADDR=" + m.metrics,
		"DOGWOOD_EDGE_STORE=" + m.bed.store.addr, "DOGWOOD_EDGE_FIRST_START=" + strconv.FormatBool(bootstrap),
		fmt.Sprintf("DOGWOOD_EDGE_GRACE=%g", grace.Seconds()), "DOGWOOD_EDGE_RETRY_RATIO=0.2", "DOGWOOD_EDGE_RETRY_WINDOW=10",
		"DOGWOOD_EDGE_RETRY_ALLOWANCE=58", "DOGWOOD_EDGE_DIRECTORY_TTL=5", "DOGWOOD_EDGE_LINK_MBPS=2000.0", "DOGWOOD_EDGE_MEMORY_MB=544",
	}
	if dir := os.Getenv("MACHINE_LOGS"); dir != "" {
		f, err := os.OpenFile(dir+"/"+m.name+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		cmd.Stdout, cmd.Stderr = f, f
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.bed.record.say("machine %s starts, pid %d", m.name, cmd.Process.Pid)
	ended := make(chan struct{})
	m.cmd, m.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // how it ended doesn't matter
		close(ended)
	}()
	return nil
}

func (m *machine) signal(sig syscall.Signal) {
	m.bed.record.say("machine %s gets %s", m.name, sig)
	_ = m.cmd.Process.Signal(sig) // it may have ended
}

func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGCONT) // it may have ended
	_ = m.cmd.Process.Kill()
	<-m.ended
}

// awaitReady waits until the machine says that it is ready.
func (m *machine) awaitReady(within time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-m.ended:
			return fmt.Errorf("machine %s has ended by itself", m.name)
		default:
		}
		resp, err := client.Get("http://" + m.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			m.bed.record.say("machine %s is ready", m.name)
			return nil
		}
	}
	return fmt.Errorf("machine %s is not ready after %s", m.name, within)
}

// startAll starts all machines for the first time and waits until they are ready.
func (b *bed) startAll() error {
	for _, m := range b.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	for _, m := range b.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
