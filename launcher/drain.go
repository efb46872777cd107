package launcher

import (
	"context"
	"errors"
	"net"
	"net/http"
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
// open ones. http.Server.Shutdown would close a connection whose request it has just read, and the caller could
// not know that the request does not run.
type drainableServer struct {
	*http.Server
	listener net.Listener
	open     atomic.Int64 // connections
}

func newDrainableServer(server *http.Server, listener net.Listener) *drainableServer {
	s := &drainableServer{Server: server, listener: listener}
	server.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			s.open.Add(1)
		case http.StateClosed, http.StateHijacked:
			s.open.Add(-1)
		}
	}
	return s
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
		s.SetKeepAlivesEnabled(false) // closes idle connections, and the others after their next response
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
