package assembler

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/sleeper"
	"laburnumline/throttler"
	"laburnumline/tracker"
)

const (
	registerRetryInterval = 500 * time.Millisecond
	readyPollInterval     = 20 * time.Millisecond
	// drainDelay is the time in which the load balancer notices that the daemon is not
	// ready. Requests are accepted until then.
	drainDelay = 500 * time.Millisecond
	// handoverTimeout is the longest time that a planned stop takes, after the last
	// request, to flush settlements and hand grants over.
	handoverTimeout = 20 * time.Second
)

// lifetime controls the daemon's goroutines: ctx ends when the daemon ends.
type lifetime struct {
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	ready      atomic.Bool // reported to operators
}

func newLifetime() lifetime {
	ctx, cancel := context.WithCancel(context.Background())
	return lifetime{ctx: ctx, cancel: cancel}
}

// Run serves until Stop or Kill is called, ctx ends or a component fails. It always returns
// nil; the failure of a component is recorded as an event.
func (d *Daemon) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.Kill)
	defer stop()
	d.recorder.Event(recorder.DaemonStarted, "vm", d.self.VM, "zone", d.self.Zone, "incarnation", uint64(d.self.Incarnation))
	for _, r := range d.reloaders {
		d.runInBackground(func(ctx context.Context) error { r.Run(ctx, d.settings.TLS.Reload); return nil })
	}
	d.runInBackground(d.tracker.Run)
	d.runInBackground(d.watcher.Run)
	d.runInBackground(d.treasurer.Run)
	d.runInBackground(d.deduplicator.Run)
	d.runInBackground(d.observer.Run)
	d.runInBackground(d.divider.Run)
	d.runInBackground(d.excludeLeavingVMs)
	d.runInBackground(func(ctx context.Context) error { return d.server.Serve(ctx, d.callersListener) })
	d.runInBackground(func(context.Context) error { return d.operatorsServer.Serve(d.operatorsListener) })
	d.watcher.OnUpstreams(d.applyUpstreams)
	d.watcher.OnQuarantine(d.applyQuarantine)
	d.awaitReady()
	<-d.lifetime.ctx.Done()
	d.lifetime.goroutines.Wait()
	d.recorder.Event(recorder.DaemonStopped, "vm", d.self.VM, "incarnation", uint64(d.self.Incarnation))
	return nil
}

// runInBackground runs a component in a goroutine. The failure of a component ends the
// daemon.
func (d *Daemon) runInBackground(run func(ctx context.Context) error) {
	d.lifetime.goroutines.Go(func() {
		err := run(d.lifetime.ctx)
		if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
			return
		}
		if d.lifetime.ctx.Err() != nil {
			return
		}
		d.recorder.Event(recorder.DaemonFailed, "vm", d.self.VM, "error", err)
		d.lifetime.cancel()
	})
}

// awaitReady waits until the daemon knows the fleet, is registered in the store and knows
// the configuration. Then it sets the daemon's readiness.
func (d *Daemon) awaitReady() {
	ctx := d.lifetime.ctx
	select {
	case <-d.tracker.Ready():
	case <-ctx.Done():
		return
	}
	for d.treasurer.Register(ctx) != nil {
		if sleeper.Sleep(ctx, registerRetryInterval) != nil {
			return
		}
	}
	for !d.watcher.Ready() {
		if sleeper.Sleep(ctx, readyPollInterval) != nil {
			return
		}
	}
	d.lifetime.ready.Store(true)
	d.server.SetReady(true)
	d.recorder.Event(recorder.DaemonReady, "vm", d.self.VM)
}

// applyUpstreams replaces the announced upstreams.
func (d *Daemon) applyUpstreams(list []contractor.Upstream) {
	now, ids := time.Now(), make(map[throttler.ID]bool, len(list))
	for _, u := range list {
		ids[throttler.IDOf(u.Name, 0)] = true
	}
	d.router.SetUpstreams(now, list)
	d.requestLimits.Retain(now, ids)
}

// applyQuarantine merges quarantine records from the store into the quarantiner.
func (d *Daemon) applyQuarantine(entries []persister.Entry) {
	records := make([]quarantiner.Record, 0, len(entries))
	for _, e := range entries {
		var record quarantiner.Record
		if err := cbor.Unmarshal(e.Value, &record); err != nil {
			d.recorder.Count("quarantine.undecodable", 1)
			continue
		}
		records = append(records, record)
	}
	d.quarantiner.Merge(time.Now(), records)
}

// excludeLeavingVMs prevents new requests to upstreams on VMs that are leaving or have
// been removed.
func (d *Daemon) excludeLeavingVMs(ctx context.Context) error {
	for {
		changed := d.tracker.Changed()
		unavailable := make(map[contractor.VM]bool)
		for _, u := range d.watcher.Upstreams() {
			if state := d.tracker.VMState(u.VM); state == tracker.VMLeaving || state == tracker.VMRemoved {
				unavailable[u.VM] = true
			}
		}
		d.router.SetUnavailableVMs(unavailable)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Stop is the planned stop. It waits for the requests in flight. If ctx ends first, Stop
// terminates the remaining ones and returns an error.
func (d *Daemon) Stop(ctx context.Context) error {
	d.lifetime.ready.Store(false)
	d.server.SetReady(false)
	_ = sleeper.Sleep(ctx, drainDelay) // the stop continues even if ctx has ended
	drainErr := d.server.Drain(ctx)
	d.watcher.Drain()
	handoverCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTimeout)
	defer cancel()
	d.tracker.Leave(handoverCtx)
	errs := []error{
		wrapStep(drainErr, "drain callers"),
		wrapStep(d.deduplicator.Flush(handoverCtx), "store claims"),
		wrapStep(d.treasurer.Drain(handoverCtx), "hand budgets over"),
		wrapStep(d.quic.Shutdown(handoverCtx), "drain daemons"),
	}
	d.close()
	return errors.Join(errs...)
}

// Kill ends the daemon immediately, like the failure of its VM.
func (d *Daemon) Kill() { d.close() }

func (d *Daemon) close() {
	d.lifetime.cancel()
	if d.callersListener != nil {
		_ = d.callersListener.Close()
	}
	if d.operatorsServer != nil {
		_ = d.operatorsServer.Close()
	}
	if d.operatorsListener != nil {
		_ = d.operatorsListener.Close()
	}
	if d.quic != nil {
		_ = d.quic.Close()
	}
	if d.dispatcher != nil {
		d.dispatcher.Close()
	}
}
