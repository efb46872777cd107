package launcher

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumline/recorder"
	"laburnumline/registrar"
	"laburnumline/sleeper"
)

const (
	// softwareInterval is the time between two checks whether the software history has to be
	// loaded or stored.
	softwareInterval = 500 * time.Millisecond
	// softwareTimeout limits each call to the store for it.
	softwareTimeout = 2 * time.Second
	// softwareWriters is the number of daemons that store a change. The second one finds it
	// stored, unless the first one has died.
	softwareWriters = 2
)

// keepSoftware loads the software history once, and then stores changes, until ctx ends. When the store was
// restored from an older copy, it stores the history and the quarantines again.
func (d *Daemon) keepSoftware(ctx context.Context) {
	store := &registrar.SoftwareStore{Store: d.store, Registrar: d.registrar, Timeout: softwareTimeout}
	loaded := false
	era := d.store.Era()
	for {
		if current := d.store.Era(); current != era {
			era = current
			store.Forget()
			d.storeQuarantinesAgain()
		}
		var err error
		switch {
		case !loaded:
			err = store.Load(ctx)
			loaded = err == nil
		case d.upstreamReplicator.Loaded() && d.writesSoftware():
			err = store.Save(ctx)
		}
		if err != nil && ctx.Err() == nil {
			d.config.Recorder.Event(recorder.SoftwareNotStored, "loaded", loaded, "err", err)
		}
		if sleeper.Sleep(ctx, softwareInterval) != nil {
			return
		}
	}
}

// writesSoftware reports whether this daemon is one of those that store the software history.
func (d *Daemon) writesSoftware() bool {
	if !d.shares.Registered() {
		return false
	}
	before, own := 0, xxhash.Sum64String(d.config.Settings.InternalAddress.String())
	for _, peer := range d.shares.Peers() {
		if xxhash.Sum64String(peer.String()) > own {
			before++
		}
	}
	return before < softwareWriters
}
