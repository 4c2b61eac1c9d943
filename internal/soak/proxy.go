package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy carries the connections to one address and injects faults from outside the processes.
type proxy struct {
	addr   string
	target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	delay    time.Duration
	silent   [2]bool // towards the target, and back: bytes are held until that ends
	released chan struct{}
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), target: target, listener: l, conns: make(map[net.Conn]struct{}), released: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(in)
	}
}

func (p *proxy) carry(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(in)
		return
	}
	defer out.Close()
	p.mu.Lock()
	p.conns[in], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, in)
		delete(p.conns, out)
		p.mu.Unlock()
	}()
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, 0) })
	both.Go(func() { p.copy(in, out, 1) })
	both.Wait()
}

// copy carries one direction, with the faults in force at each piece.
func (p *proxy) copy(to, from net.Conn, direction int) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p.hold(direction)
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			if half, ok := to.(*net.TCPConn); ok && half.CloseWrite() == nil {
				return
			}
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// hold waits for the delay and for the end of a silence.
func (p *proxy) hold(direction int) {
	for {
		p.mu.Lock()
		delay, silent, released := p.delay, p.silent[direction], p.released
		p.mu.Unlock()
		if !silent {
			time.Sleep(delay)
			return
		}
		<-released
	}
}

// set changes the faults in force. Silences that end let the held bytes pass.
func (p *proxy) set(delay time.Duration, toTarget, back bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.silent = delay, [2]bool{toTarget, back}
	close(p.released)
	p.released = make(chan struct{})
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(0, false, false)
	p.resetAll()
}

// reset closes a connection with a reset instead of an orderly end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// Without linger, closing discards what is unsent and resets. An error means that the connection has ended.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
