package launcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"laburnumline/recorder"
	"laburnumline/resolver"
)

const (
	// minAcceptDelay and maxAcceptDelay limit the time until connections are accepted again after an error, such as a
	// lack of descriptors.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// frontendConfig holds what a frontend needs.
type frontendConfig struct {
	Listener net.Listener
	// Limits returns the limits of the configuration in force.
	Limits func() resolver.Limits
	// NewServer returns a server with limits that do not change.
	NewServer func(resolver.Limits) *http.Server
	Recorder  *recorder.Recorder
}

// frontend accepts connections of callers under the limits of the configuration in force. An http.Server cannot change its
// limits while it serves. When they change, another one gets the new connections, and the previous one closes its idle
// connections, and the others after their next response.
type frontend struct {
	config   frontendConfig
	accepted chan struct{} // closed when no connection is accepted any more

	mu       sync.Mutex
	limits   resolver.Limits
	current  *drainableServer
	retired  []*drainableServer
	draining bool
}

func newFrontend(c frontendConfig) *frontend {
	f := &frontend{config: c, accepted: make(chan struct{})}
	f.limits = c.Limits()
	f.current = f.startServer(f.limits)
	go f.accept()
	return f
}

// startServer returns a server that serves the connections that it is handed.
func (f *frontend) startServer(l resolver.Limits) *drainableServer {
	handoff := &handoffListener{address: f.config.Listener.Addr(), connections: make(chan net.Conn), closed: make(chan struct{})}
	server := newDrainableServer(f.config.NewServer(l), handoff)
	go func() {
		if err := server.Serve(server.connectionListener()); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			f.config.Recorder.Event(recorder.DaemonFailed, "address", handoff.address, "err", err)
		}
	}()
	return server
}

// update puts the limits of the configuration into force.
func (f *frontend) update() {
	f.mu.Lock()
	defer f.mu.Unlock()
	limits := f.config.Limits()
	if f.draining || sameConnectionLimits(limits, f.limits) {
		return
	}
	f.config.Recorder.Event(recorder.FrontendLimitsChanged, "header_bytes", limits.HeaderBytes, "header_timeout", limits.HeaderTimeout,
		"idle_timeout", limits.IdleTimeout, "connections", f.current.open.Load())
	previous := f.current
	f.limits, f.current = limits, f.startServer(limits)
	f.retired = append(f.retired, previous)
	go f.retire(previous)
}

// sameConnectionLimits reports whether two configurations have the same limits of a server. The limit of bodies is checked
// for each request.
func sameConnectionLimits(a, b resolver.Limits) bool {
	a.BodyBytes, b.BodyBytes = 0, 0
	return a == b
}

// retire drains a server whose limits are no longer in force. Streams in flight are completed.
func (f *frontend) retire(s *drainableServer) {
	// Without a deadline only an error of the listener is possible, which closing does not return.
	_ = s.shutDown(context.Background())
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, r := range f.retired {
		if r == s {
			f.retired = append(f.retired[:i], f.retired[i+1:]...)
			return
		}
	}
}

// accept hands each connection to the current server until the listener is closed.
func (f *frontend) accept() {
	defer close(f.accepted)
	delay := minAcceptDelay
	for {
		conn, err := f.config.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.config.Recorder.Event(recorder.HTTPServerError, "listener", "front", "message", err, "retry_after", delay)
			time.Sleep(delay)
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		delay = minAcceptDelay
		f.handOver(conn)
	}
}

// handOver hands a connection to the current server, or to the next one if that is retired meanwhile.
func (f *frontend) handOver(conn net.Conn) {
	for {
		f.mu.Lock()
		server := f.current
		f.mu.Unlock()
		if server.listener.(*handoffListener).offer(conn) {
			return
		}
	}
}

// shutDown closes the listener and waits until all connections have ended, or until ctx ends. A nil frontend has none.
func (f *frontend) shutDown(ctx context.Context) error {
	if f == nil {
		return nil
	}
	f.mu.Lock()
	f.draining = true // current does not change any more
	servers := append([]drainer{f.current}, drainers(f.retired)...)
	f.mu.Unlock()
	err := f.config.Listener.Close()
	<-f.accepted
	return errors.Join(err, shutDown(ctx, servers...))
}

func drainers(servers []*drainableServer) []drainer {
	var all []drainer
	for _, s := range servers {
		all = append(all, s)
	}
	return all
}

// handoffListener is the listener of a server whose connections another one accepts.
type handoffListener struct {
	address     net.Addr
	connections chan net.Conn
	closed      chan struct{}
	close       sync.Once
}

// offer hands a connection to the server. It reports false if the listener is closed.
func (l *handoffListener) offer(conn net.Conn) bool {
	select {
	case l.connections <- conn:
		return true
	case <-l.closed:
		return false
	}
}

// Accept waits for the next connection.
func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.connections:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. Connections stay open.
func (l *handoffListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address at which the connections arrive.
func (l *handoffListener) Addr() net.Addr { return l.address }
