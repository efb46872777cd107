package launcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"laburnumline/director"
	"laburnumline/recorder"
)

const (
	// handOver is how long a stopping daemon still takes connections: the platform
	// asks once a second and sends no new ones after two misses.
	handOver = 2300 * time.Millisecond
	// stopMargin is kept of the grace time for the last round of the shares.
	stopMargin = 900 * time.Millisecond
	// leaveTime bounds that round.
	leaveTime = 500 * time.Millisecond
)

// serveSide serves readiness and counters.
func (d *Daemon) serveSide() (*http.Server, error) {
	mux := chi.NewRouter()
	mux.Get(d.config.Adapter.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !d.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: defaultHeaderTime, ErrorLog: d.config.Recorder.HTTPErrorLog("ready")}
	listener, err := d.config.Listen(d.config.Settings.ReadinessAddress)
	if err != nil {
		return nil, err
	}
	go d.serve(server, listener)
	if !d.config.MetricsAddress.IsValid() {
		return server, nil
	}
	counters, err := d.config.Listen(d.config.MetricsAddress)
	if err != nil {
		return nil, errors.Join(err, server.Close())
	}
	go d.serve(&http.Server{Handler: d.config.Recorder.Handler(), ReadHeaderTimeout: defaultHeaderTime}, counters)
	return server, nil
}

func (d *Daemon) serveFront() (*http.Server, error) {
	limits := director.Limits{HeaderBytes: defaultHeaderBytes, HeaderTime: defaultHeaderTime, IdleTime: defaultIdleTime}
	if table := d.holder.Table(); table != nil {
		limits = table.Limits()
	}
	listener, err := d.config.Listen(d.config.Settings.FrontendAddress)
	if err != nil {
		return nil, err
	}
	inner := d.config.Adapter.NewHandler(d.forwarder)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() || d.crowd.full.Load() {
			w.Header().Set("Connection", "close")
		}
		inner.ServeHTTP(w, r)
	})
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTime,
		IdleTimeout:       limits.IdleTime + idleMargin,
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          d.config.Recorder.HTTPErrorLog("front"),
	}
	go d.serve(server, d.link.Listener(listener))
	return server, nil
}

// stop ends the daemon in order: the platform sends its new connections elsewhere,
// requests under way are finished, and what is left of the shares goes back.
func (d *Daemon) stop(front *http.Server) error {
	grace := max(d.config.Settings.GracePeriod-stopMargin, 0)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	d.stopping.Store(true)
	d.config.Recorder.Event(recorder.DaemonStopping, "vm", d.config.Settings.Name, "grace", d.config.Settings.GracePeriod)
	t := time.NewTimer(min(handOver, grace/2))
	defer t.Stop()
	<-t.C
	err := front.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = nil // requests that are still under way end with the process
	}
	leave, cancelLeave := context.WithTimeout(context.Background(), leaveTime)
	defer cancelLeave()
	d.shares.Leave(leave)
	d.config.Recorder.Event(recorder.DaemonStopped, "vm", d.config.Settings.Name)
	return err
}

// serve runs a server until it is closed, and logs why it ended otherwise.
func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(listener)
	if !errors.Is(err, http.ErrServerClosed) {
		d.config.Recorder.Event(recorder.DaemonFailed, "address", listener.Addr(), "err", err)
	}
}
