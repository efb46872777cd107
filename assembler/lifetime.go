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
	"laburnumline/tracker"
)

const (
	registerPause  = 500 * time.Millisecond
	readyPause     = 20 * time.Millisecond
	balancerNotice = 500 * time.Millisecond // time in which the balancer sees that readiness is off
	handoverTime   = 20 * time.Second       // time for grants and settlements after the last request
)

// lifetime is the state of a daemon's start and stop.
type lifetime struct {
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	ready  atomic.Bool
}

func newLifetime() lifetime {
	ctx, cancel := context.WithCancel(context.Background())
	return lifetime{ctx: ctx, cancel: cancel}
}

// Run serves until Stop or Kill. It returns an error when the daemon cannot start.
func (d *Daemon) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.Kill)
	defer stop()
	d.recorder.Event(recorder.DaemonStarted, "vm", d.self.VM, "zone", d.self.Zone, "incarnation", uint64(d.self.Incarnation))
	for _, r := range d.reloaders {
		d.background(func(ctx context.Context) error { r.Run(ctx, d.settings.TLS.Reload); return nil })
	}
	d.background(d.tracker.Run)
	d.background(d.watcher.Run)
	d.background(d.treasurer.Run)
	d.background(d.deduplicator.Run)
	d.background(d.observer.Run)
	d.background(d.divider.Run)
	d.background(d.followVMs)
	d.background(func(ctx context.Context) error { return d.server.Serve(ctx, d.callers) })
	d.background(func(context.Context) error { return d.console.Serve(d.operators) })
	d.watcher.OnUpstreams(func(list []contractor.Upstream) { d.router.SetUpstreams(time.Now(), list) })
	d.watcher.OnQuarantine(d.learnQuarantine)
	d.becomeReady()
	<-d.lifetime.ctx.Done()
	d.lifetime.work.Wait()
	d.recorder.Event(recorder.DaemonStopped, "vm", d.self.VM, "incarnation", uint64(d.self.Incarnation))
	return nil
}

func (d *Daemon) background(run func(ctx context.Context) error) {
	d.lifetime.work.Go(func() {
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

// becomeReady takes callers once the daemon knows the fleet and the
// configuration and is registered in the store.
func (d *Daemon) becomeReady() {
	ctx := d.lifetime.ctx
	select {
	case <-d.tracker.Ready():
	case <-ctx.Done():
		return
	}
	for d.treasurer.Register(ctx) != nil {
		if sleeper.Sleep(ctx, registerPause) != nil {
			return
		}
	}
	for !d.watcher.Ready() {
		if sleeper.Sleep(ctx, readyPause) != nil {
			return
		}
	}
	d.lifetime.ready.Store(true)
	d.server.SetReady(true)
	d.recorder.Event(recorder.DaemonReady, "vm", d.self.VM)
}

// learnQuarantine passes records of the store on to the quarantiner.
func (d *Daemon) learnQuarantine(entries []persister.Entry) {
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

// followVMs keeps upstreams on leaving VMs from getting new work.
func (d *Daemon) followVMs(ctx context.Context) error {
	for {
		changed := d.tracker.Changed()
		gone := make(map[contractor.VM]bool)
		for _, u := range d.watcher.Upstreams() {
			if state := d.tracker.VMState(u.VM); state == tracker.VMLeaving || state == tracker.VMRemoved {
				gone[u.VM] = true
			}
		}
		d.router.SetUnavailableVMs(gone)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Stop is the planned stop. Running requests finish before it returns nil; when
// ctx ends first, the rest is cut off and the error says so.
func (d *Daemon) Stop(ctx context.Context) error {
	d.lifetime.ready.Store(false)
	d.server.SetReady(false)
	_ = sleeper.Sleep(ctx, balancerNotice) // the stop goes on in any case
	drained := d.server.Drain(ctx)
	d.watcher.Drain()
	handover, cancel := context.WithTimeout(context.WithoutCancel(ctx), handoverTime)
	defer cancel()
	d.tracker.Leave(handover)
	failures := []error{
		wrap(drained, "drain callers"),
		wrap(d.deduplicator.Flush(handover), "store claims"),
		wrap(d.treasurer.Drain(handover), "hand budgets over"),
		wrap(d.quic.Shutdown(handover), "drain daemons"),
	}
	d.close()
	return errors.Join(failures...)
}

// Kill ends the daemon at once, as the failure of its VM would.
func (d *Daemon) Kill() { d.close() }

func (d *Daemon) close() {
	d.lifetime.cancel()
	if d.callers != nil {
		_ = d.callers.Close()
	}
	if d.console != nil {
		_ = d.console.Close()
	}
	if d.operators != nil {
		_ = d.operators.Close()
	}
	if d.quic != nil {
		_ = d.quic.Close()
	}
	if d.dispatcher != nil {
		d.dispatcher.Close()
	}
}
