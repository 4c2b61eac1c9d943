package integration

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// network carries every connection to instances' peer ports, the platform and the endpoints. Toxiproxy cannot be used here:
// it drops the bytes of a cut link, where TCP would deliver them after the cut, and it does not tell clients of one address
// apart, so that it could not cut a link between two instances.
type network struct {
	mu      sync.Mutex
	pids    map[int]string // processes that open connections
	links   map[string]*link
	proxies []*proxy
	conns   map[net.Conn]string // by the name of the link that the connection was opened on
}

// link is one direction between two processes. Bytes on a cut link wait for the end of the cut.
type link struct {
	mu      sync.Mutex
	open    chan struct{} // closed while the link carries bytes
	latency time.Duration

	opened  atomic.Int64 // connections
	carried atomic.Int64 // bytes that have passed
	held    atomic.Int64 // reads that have waited for the end of a cut
}

// proxy accepts the connections to one process.
type proxy struct {
	network  *network
	name     string
	target   string // ip:port
	addr     string
	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
}

func newNetwork() *network {
	return &network{pids: map[int]string{}, links: map[string]*link{}, conns: map[net.Conn]string{}}
}

func newLink() *link {
	l := &link{open: make(chan struct{})}
	close(l.open)
	return l
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.open:
		l.open = make(chan struct{})
	default:
	}
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.open:
	default:
		close(l.open)
	}
}

func (l *link) state() (<-chan struct{}, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, l.latency
}

func (l *link) setLatency(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latency = d
}

// link returns the direction between two processes.
func (n *network) link(from, to string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	name := from + ">" + to
	if n.links[name] == nil {
		n.links[name] = newLink()
	}
	return n.links[name]
}

// heldBack returns a function that reports whether the link has held bytes back since the call of heldBack. The counts add up over
// all tests of the deployment, so that a count alone may come from an earlier cut.
func (l *link) heldBack() func() bool {
	before := l.held.Load()
	return func() bool { return l.held.Load() > before }
}

// heldBetween is heldBack for both directions between two processes.
func (n *network) heldBetween(a, b string) func() bool {
	forth, back := n.link(a, b).heldBack(), n.link(b, a).heldBack()
	return func() bool { return forth() || back() }
}

// cut stops both directions between two processes.
func (n *network) cut(a, b string) {
	n.link(a, b).cut()
	n.link(b, a).cut()
}

// breakLink closes the connections that one process has opened to another.
func (n *network) breakLink(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, name := range n.conns {
		if name == from+">"+to {
			_ = c.Close()
		}
	}
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.heal()
	}
}

func (n *network) setProcess(pid int, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, other := range n.pids {
		if other == name {
			delete(n.pids, p)
		}
	}
	n.pids[pid] = name
}

// proxy starts a proxy on addr towards a process.
func (n *network) proxy(addr, name, target string) error {
	p := &proxy{network: n, name: name, target: target, addr: addr}
	n.mu.Lock()
	n.proxies = append(n.proxies, p)
	n.mu.Unlock()
	return p.accept()
}

// accept takes connections, after refuse as well.
func (p *proxy) accept() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.serve(listener)
	return nil
}

// refuse makes new connections fail as those to a port that nobody listens on.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

// refuse refuses new connections to a process and breaks those that instances have.
func (n *network) refuse(to string) {
	n.mu.Lock()
	proxies := append([]*proxy{}, n.proxies...)
	n.mu.Unlock()
	for _, p := range proxies {
		if p.name == to {
			p.refuse()
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, name := range n.conns {
		if strings.HasSuffix(name, ">"+to) {
			_ = c.Close()
		}
	}
}

// acceptAll ends all refusals.
func (n *network) acceptAll() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.proxies {
		if err := p.accept(); err != nil {
			return err
		}
	}
	return nil
}

func (n *network) close() {
	n.heal()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.proxies {
		p.refuse()
	}
	for c := range n.conns {
		_ = c.Close()
	}
}

// isInstance reports whether a process is an instance.
func (n *network) isInstance(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, known := range n.pids {
		if known == name {
			return true
		}
	}
	return false
}

func (p *proxy) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.carry(client)
	}
}

func (p *proxy) carry(client net.Conn) {
	defer client.Close()
	from := p.network.processOf(client)
	if from == otherProcess && p.network.isInstance(p.name) {
		return // only instances connect to instances: a cut would not hold this connection
	}
	forth, back := p.network.link(from, p.name), p.network.link(p.name, from)
	forth.opened.Add(1)
	if open, _ := forth.state(); !isClosed(open) {
		forth.held.Add(1)
	}
	server, err := net.DialTimeout("tcp", p.target, 5*time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	p.network.track(client, from+">"+p.name)
	defer p.network.untrack(client)
	done := make(chan struct{}, 2)
	go func() { forth.pump(server, client); done <- struct{}{} }()
	go func() { back.pump(client, server); done <- struct{}{} }()
	<-done
	<-done
}

func (n *network) track(c net.Conn, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = name
}

func (n *network) untrack(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

type packet struct {
	data []byte
	due  time.Time
}

// maxPackets bounds the bytes under way on one connection and direction to 16 MB.
const maxPackets = 512

// pump copies one direction of a connection, later by the link's latency, and then its end.
func (l *link) pump(dst, src net.Conn) {
	packets := make(chan packet, maxPackets)
	stop := make(chan struct{})
	go func() {
		defer close(packets)
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			_, latency := l.state()
			if n > 0 {
				select {
				case packets <- packet{append([]byte(nil), buffer[:n]...), time.Now().Add(latency)}:
				case <-stop:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	defer close(stop)
	for p := range packets {
		time.Sleep(time.Until(p.due))
		l.wait()
		if _, err := dst.Write(p.data); err != nil {
			_ = src.Close()
			return
		}
		l.carried.Add(int64(len(p.data)))
	}
	l.wait() // the end of a connection does not pass a cut either
	_ = dst.Close()
}

// wait returns when the link carries bytes.
func (l *link) wait() {
	open, _ := l.state()
	if !isClosed(open) {
		l.held.Add(1)
		<-open
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// otherProcess is the name of a client that is none of the deployment's instances, such as the test process.
const otherProcess = "test"

// processOf returns the name of the child process at the other end of a connection, by its socket.
func (n *network) processOf(c net.Conn) string {
	for range attributeTries {
		if name := n.attribute(c); name != otherProcess {
			return name
		}
		time.Sleep(10 * time.Millisecond)
	}
	return otherProcess
}

// attributeTries bounds the search for the process of a connection. The kernel's table of connections misses some while others come
// and go, and a process that has just been started is not known yet.
const attributeTries = 20

func (n *network) attribute(c net.Conn) string {
	inode, err := socketInode(c.RemoteAddr().(*net.TCPAddr).AddrPort(), c.LocalAddr().(*net.TCPAddr).AddrPort())
	if err != nil {
		return otherProcess
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for pid, name := range n.pids {
		if holds(pid, inode) {
			return name
		}
	}
	return otherProcess
}

// socketInode returns the inode of the connected socket with the given IPv4 addresses, as seen by its owner. Ports alone do not identify a
// connection: the kernel gives one port to several connections with different destinations.
func socketInode(local, remote netip.AddrPort) (string, error) {
	f, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return "", err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1] == tableAddress(local) && fields[2] == tableAddress(remote) {
			return fields[9], nil
		}
	}
	return "", fmt.Errorf("no socket is connected from %s to %s: %w", local, remote, io.EOF)
}

// tableAddress returns an IPv4 address as /proc/net/tcp has it: as a number in the byte order of the machine.
func tableAddress(a netip.AddrPort) string {
	ip := a.Addr().Unmap().As4()
	return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), a.Port())
}

func holds(pid int, inode string) bool {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if name, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && name == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// Guards against a connection that is taken for one of another process, whose cuts and counts then apply to it, because both have the same
// ports.
func TestConnectionsWithTheSamePortsAreToldApart(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	port := server.Addr().(*net.TCPAddr).Port
	other, err := net.Listen("tcp", fmt.Sprintf("127.0.0.2:%d", port))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	var local *net.TCPAddr
	for _, destination := range []net.Listener{server, other} {
		// The kernel lets both connections have one source port; tests get the same with two source addresses.
		dialer := &net.Dialer{}
		if local != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 0, 0, 3), Port: local.Port}
		}
		c, err := dialer.Dial("tcp", destination.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		local = c.LocalAddr().(*net.TCPAddr)
		f, err := c.(*net.TCPConn).File()
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		var own syscall.Stat_t
		if err := syscall.Fstat(int(f.Fd()), &own); err != nil {
			t.Fatal(err)
		}
		inode, err := socketInode(local.AddrPort(), destination.Addr().(*net.TCPAddr).AddrPort())
		if want := fmt.Sprint(own.Ino); inode != want {
			t.Errorf("connection %s to %s: inode %q, want %s: %v", local, destination.Addr(), inode, want, err)
		}
	}
}
