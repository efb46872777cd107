package launcher

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumline/apportioner"
	"laburnumline/recorder"
	"laburnumline/registrar"
	"laburnumline/sleeper"
)

const (
	// softwareInterval is the time between two checks whether the software history has to be
	// loaded or stored. A check without a change calls nothing. A new version begins streams only once it is
	// stored, so the interval is short.
	softwareInterval = 100 * time.Millisecond
	// softwareRetryInterval is the time until the next check after a failed call.
	softwareRetryInterval = 500 * time.Millisecond
	// historyTimeout is how long a daemon that starts waits for the software history before it registers. A daemon
	// that is registered while there is no history is taken for a sign that the history was lost.
	historyTimeout = time.Second
	// softwareTimeout limits each call to the store for it.
	softwareTimeout = 2 * time.Second
	// softwareCheckTimeout limits a read of it for callers that resume streams. The store responds in 4 ms, or in up
	// to 100 times as long when it is slow.
	softwareCheckTimeout = 600 * time.Millisecond
	// softwareWriters is the number of daemons that store a change. The second one finds it
	// stored, unless the first one has died.
	softwareWriters = 2
)

// keepSoftware loads the software history once, and then stores changes, until ctx ends. When the store was
// restored from an older copy, it stores the history and the quarantines again.
func (d *Daemon) keepSoftware(ctx context.Context) {
	store := d.softwareStore(softwareTimeout)
	loaded := false
	era := d.store.Era()
	for {
		if current := d.store.Era(); current != era {
			era = current
			store.Forget()
			d.storeQuarantinesAgain()
			d.archivist.Rewrite()
		}
		var err error
		switch {
		case !loaded:
			err = store.Load(ctx)
			if loaded = err == nil; loaded {
				close(d.softwareLoaded)
			}
		case !d.upstreamReplicator.Loaded():
		case store.Created() || d.writesSoftware():
			err = store.Save(ctx)
		default:
			err = store.Refresh(ctx)
		}
		interval := softwareInterval
		if err != nil && ctx.Err() == nil {
			d.config.Recorder.Event(recorder.SoftwareNotStored, "loaded", loaded, "err", err)
			interval = softwareRetryInterval
		}
		if sleeper.Sleep(ctx, interval) != nil {
			return
		}
	}
}

// softwareStore returns a new store of the software history.
func (d *Daemon) softwareStore(timeout time.Duration) *registrar.SoftwareStore {
	return &registrar.SoftwareStore{
		Store: d.store, Registrar: d.registrar, Timeout: timeout, Era: d.store.Era, MemberPrefix: apportioner.RowPrefix,
		ListRevision: d.upstreamReplicator.WatchedRevision, Recorded: d.pinner.Announce, Noticed: d.pinner.Announced,
	}
}

// keepShares registers this daemon once the software history is loaded, or after historyTimeout, and keeps its shares until
// ctx ends.
func (d *Daemon) keepShares(ctx context.Context) {
	timer := time.NewTimer(historyTimeout)
	defer timer.Stop()
	select {
	case <-d.softwareLoaded:
	case <-timer.C:
	case <-ctx.Done():
	}
	d.shares.Run(ctx)
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
