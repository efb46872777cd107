package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// way is what a proxy does with bytes.
type way int

const (
	wayOpen   way = iota // passes them on
	waySlow              // delays each piece
	waySilent            // holds them until the way is open again
	wayRefuse            // resets new connections, and those that are open
	ways
)

// slowness is the delay of each piece on a slow way.
const slowness = 150 * time.Millisecond

// proxy passes connections on to one address.
type proxy struct {
	address  string
	target   string
	listener net.Listener

	mu      sync.Mutex
	way     way
	changed chan struct{} // closed and replaced when the way changes
	conns   map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, listener: l, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// set changes what the proxy does.
func (p *proxy) set(w way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.way = w
	close(p.changed)
	p.changed = make(chan struct{})
	if w == wayRefuse {
		p.reset()
	}
}

// reset ends all connections. The lock is held.
func (p *proxy) reset() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection ends in either way
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(wayRefuse)
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(from)
	}
}

func (p *proxy) serve(from net.Conn) {
	defer from.Close()
	if !p.pass() {
		return
	}
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(to, from) })
	copies.Go(func() { p.copy(from, to) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

// copy passes pieces on until either side ends.
func (p *proxy) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && (!p.pass() || !write(to, buffer[:n])) || err != nil {
			return
		}
	}
}

func write(to io.Writer, b []byte) bool {
	_, err := to.Write(b)
	return err == nil
}

// pass waits as long as the way demands, and reports whether it leads on.
func (p *proxy) pass() bool {
	for {
		p.mu.Lock()
		w, changed := p.way, p.changed
		p.mu.Unlock()
		switch w {
		case wayOpen:
			return true
		case waySlow:
			time.Sleep(slowness)
			return true
		case wayRefuse:
			return false
		}
		<-changed
	}
}
