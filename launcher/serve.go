package launcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"laburnumline/forwarder"
	"laburnumline/recorder"
	"laburnumline/resolver"
	"laburnumline/sleeper"
)

const (
	// drainDelay is how long a stopping daemon still accepts connections. The platform
	// checks readiness once a second and sends no new ones after two failed checks.
	drainDelay = 2300 * time.Millisecond
	// leaveMargin is the part of the grace period that is kept for the last round, the
	// synchronisation with the store that returns this daemon's shares of the balances.
	leaveMargin = 900 * time.Millisecond
	// leaveTimeout limits that round.
	leaveTimeout = 500 * time.Millisecond
	// answerTimeout is how long a daemon waits for the responses to the requests that it ends when it stops.
	// It is a part of leaveMargin, like leaveTimeout.
	answerTimeout = 200 * time.Millisecond
)

// serveReadiness starts the server for readiness checks.
func (d *Daemon) serveReadiness(ctx context.Context) (*http.Server, error) {
	mux := chi.NewRouter()
	mux.Get(d.config.Adapter.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: internalHeaderBytes, ErrorLog: d.config.Recorder.HTTPErrorLog("ready")}
	listener, err := listenUntilFree(ctx, d.config.Recorder, "readiness", d.config.Settings.ReadinessAddress, d.config.Listen)
	if err != nil {
		return nil, err
	}
	go d.serve(server, listener)
	return server, nil
}

// serveMetrics serves the metrics, if configured, until ctx ends. Requests are served without it.
func (d *Daemon) serveMetrics(ctx context.Context) {
	if !d.config.MetricsAddress.IsValid() {
		return
	}
	listener, err := listenUntilFree(ctx, d.config.Recorder, "metrics", d.config.MetricsAddress, d.config.Listen)
	if err != nil {
		if ctx.Err() == nil {
			d.config.Recorder.Event(recorder.MetricsFailed, "address", d.config.MetricsAddress, "err", err)
		}
		return
	}
	server := &http.Server{Handler: d.metricsHandler(), ReadHeaderTimeout: defaultHeaderTimeout, MaxHeaderBytes: internalHeaderBytes}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	d.serve(server, listener)
}

// serveFrontend accepts requests of callers.
func (d *Daemon) serveFrontend(ctx context.Context) (*frontend, error) {
	listener, err := listenUntilFree(ctx, d.config.Recorder, "frontend", d.config.Settings.FrontendAddress, d.config.Listen)
	if err != nil {
		return nil, err
	}
	f := newFrontend(frontendConfig{
		Listener: d.link.Listener(listener), Limits: d.frontendLimits, NewServer: d.newFrontendServer, Recorder: d.config.Recorder,
	})
	d.frontend.Store(f)
	f.update() // a configuration that arrived meanwhile did not find it
	return f, nil
}

// frontendLimits returns the limits of the configuration in force, or the default limits if there is none yet.
func (d *Daemon) frontendLimits() resolver.Limits {
	if table := d.activeTable.Table(); table != nil {
		return table.Limits()
	}
	return resolver.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
}

func (d *Daemon) newFrontendServer(limits resolver.Limits) *http.Server {
	next := d.config.Adapter.NewHandler(d.forwarder)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.lifetime.stopping() || d.saturation.saturated.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	return &http.Server{
		Handler:           d.resetIfIncomplete(handler),
		BaseContext:       d.requestContext,
		ConnContext:       withConnection,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout + idleMargin,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          d.config.Recorder.HTTPErrorLog("front"),
	}
}

// requestContext returns the context of which those of all requests are derived.
func (d *Daemon) requestContext(net.Listener) context.Context { return d.requests }

// stop shuts the daemon down: it waits until the platform sends new connections to other
// daemons, completes the requests in flight, and returns the rest of the shares to the store.
// Requests that are not complete by then are ended with a refusal.
func (d *Daemon) stop(servers ...drainer) error {
	grace := max(d.config.Settings.GracePeriod-leaveMargin, 0)
	now := time.Now()
	d.lifetime.stop(now.Add(min(drainDelay, grace/2)), now.Add(grace))
	defer time.AfterFunc(grace, func() { d.endRequests(forwarder.ErrStopping) }).Stop()
	ctx, cancel := context.WithTimeout(context.Background(), grace+answerTimeout)
	defer cancel()
	d.config.Recorder.Event(recorder.DaemonStopping, "vm", d.config.Settings.Name, "grace", d.config.Settings.GracePeriod)
	// The context ends later than the drain.
	_ = sleeper.Sleep(ctx, min(drainDelay, grace/2))
	err := shutDown(ctx, servers...)
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	d.shares.Leave(leaveCtx)
	d.config.Recorder.Event(recorder.DaemonStopped, "vm", d.config.Settings.Name)
	return err
}

// serve runs a server until it is closed. Any other end is logged.
func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		d.config.Recorder.Event(recorder.DaemonFailed, "address", listener.Addr(), "err", err)
	}
}
