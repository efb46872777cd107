package launcher

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// lifetime is until when a stopping daemon accepts connections, and when it ends the requests in flight. It implements
// forwarder.Lifetime.
type lifetime struct {
	times atomic.Pointer[stopTimes]
}

type stopTimes struct{ acceptsUntil, end time.Time }

func (l *lifetime) stop(acceptsUntil, end time.Time) {
	l.times.Store(&stopTimes{acceptsUntil, end})
}

func (l *lifetime) stopping() bool { return l.times.Load() != nil }

// End returns when a stopping daemon ends the requests in flight, and whether it still accepts connections.
func (l *lifetime) End() (at time.Time, accepting bool) {
	t := l.times.Load()
	if t == nil {
		return time.Time{}, true
	}
	return t.end, time.Now().Before(t.acceptsUntil)
}

// connectionCheckInterval is the time between two checks whether a server that drains has open connections.
const connectionCheckInterval = 20 * time.Millisecond

// drainableServer is a server that accepts no new connections while it drains, and still responds to what arrives on
// open ones. http.Server.Shutdown and SetKeepAlivesEnabled would close a connection whose request it is reading or has just
// read, and the caller could not know whether the request runs.
type drainableServer struct {
	*http.Server
	listener net.Listener
	draining atomic.Bool
	open     atomic.Int64 // connections

	mu          sync.Mutex
	connections map[*requestConn]struct{}
}

func newDrainableServer(server *http.Server, listener net.Listener) *drainableServer {
	s := &drainableServer{Server: server, listener: listener, connections: make(map[*requestConn]struct{})}
	server.ConnState = s.recordState
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	return s
}

// connectionListener returns the listener from which the server accepts connections.
func (s *drainableServer) connectionListener() net.Listener { return requestListener{s.listener} }

// requestListener is a listener whose connections are requestConns.
type requestListener struct{ net.Listener }

// Accept waits for the next connection.
func (l requestListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newRequestConn(conn, time.Now()), nil
}

// recordState records that the state of a connection has changed.
func (s *drainableServer) recordState(conn net.Conn, state http.ConnState) {
	c := conn.(*requestConn)
	switch state {
	case http.StateNew:
		s.open.Add(1)
		s.mu.Lock()
		s.connections[c] = struct{}{}
		s.mu.Unlock()
	case http.StateActive:
		c.beginRequest()
	case http.StateIdle:
		c.awaitRequest()
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
	}
}

// drainConnections ends the wait for requests on all connections.
func (s *drainableServer) drainConnections() {
	s.draining.Store(true)
	s.mu.Lock()
	connections := slices.Collect(maps.Keys(s.connections))
	s.mu.Unlock()
	for _, c := range connections {
		// An error means that the connection is closed already.
		_ = c.drain()
	}
}

// drainer is what a stopping daemon shuts down.
type drainer interface {
	shutDown(ctx context.Context) error
}

// shutDown closes the listener and waits until all connections have ended, or until ctx ends. A nil server has none.
func (s *drainableServer) shutDown(ctx context.Context) error {
	if s == nil {
		return nil
	}
	err := s.listener.Close()
	ticker := time.NewTicker(connectionCheckInterval)
	defer ticker.Stop()
	for s.open.Load() > 0 && ctx.Err() == nil {
		s.drainConnections()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	if shutdownErr := s.Shutdown(ctx); !errors.Is(shutdownErr, net.ErrClosed) {
		err = errors.Join(err, shutdownErr)
	}
	return err
}

// shutDown completes the requests in flight of servers until ctx ends, after which they end with the
// process.
func shutDown(ctx context.Context, servers ...drainer) error {
	results := make(chan error, len(servers))
	for _, s := range servers {
		go func() { results <- s.shutDown(ctx) }()
	}
	var failed error
	for range servers {
		if err := <-results; !errors.Is(err, context.DeadlineExceeded) {
			failed = errors.Join(failed, err)
		}
	}
	return failed
}
