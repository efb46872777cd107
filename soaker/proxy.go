package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is how a proxy treats connections and the data on them.
type proxyMode int

const (
	modeForward proxyMode = iota // forwards data
	modeDelay                    // delays each chunk of data by forwardDelay
	modeHold                     // holds data back until the mode changes
	modeReset                    // closes new connections and resets those that are open
	modeCount
)

// forwardDelay is the delay of each chunk of data, and of each new connection, in modeDelay.
const forwardDelay = 150 * time.Millisecond

// proxy forwards TCP connections to one address.
type proxy struct {
	address  string
	target   string
	listener net.Listener

	mu          sync.Mutex
	mode        proxyMode
	modeChanged chan struct{} // closed and replaced when the mode is set
	conns       map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), target: target, listener: l, modeChanged: make(chan struct{}), conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// setMode changes the mode. It takes effect on connections that are open, too.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if mode == modeReset {
		p.resetConnections()
	}
}

// resetConnections resets all connections. The caller holds the lock.
func (p *proxy) resetConnections() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // if this fails, the connection is closed without a reset
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeReset)
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
	if !p.awaitForwarding() {
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
	copies.Go(func() { p.forward(to, from) })
	copies.Go(func() { p.forward(from, to) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
}

// forward copies data from one connection to the other until either ends.
func (p *proxy) forward(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && (!p.awaitForwarding() || !write(to, buffer[:n])) || err != nil {
			return
		}
	}
}

func write(to io.Writer, b []byte) bool {
	_, err := to.Write(b)
	return err == nil
}

// awaitForwarding waits until the mode lets data through. It returns false in modeReset.
func (p *proxy) awaitForwarding() bool {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.modeChanged
		p.mu.Unlock()
		switch mode {
		case modeForward:
			return true
		case modeDelay:
			time.Sleep(forwardDelay)
			return true
		case modeReset:
			return false
		}
		<-changed
	}
}
