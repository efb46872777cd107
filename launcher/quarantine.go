package launcher

import (
	"context"
	"time"

	"laburnumline/quarantiner"
	"laburnumline/recorder"
	"laburnumline/sleeper"
)

const (
	// persistTimeout limits how long a daemon tries to store a quarantine.
	persistTimeout = 2 * time.Minute
	// quarantineLoadTimeout limits one attempt to load the quarantines.
	quarantineLoadTimeout = 2 * time.Second
	// quarantineLoadInterval is the time between two attempts.
	quarantineLoadInterval = 500 * time.Millisecond
)

// loadQuarantine loads the quarantines from the store once, so that a fleet that restarts as
// a whole still knows them. Later ones arrive in the notices of other daemons.
func (d *Daemon) loadQuarantine(ctx context.Context) {
	for {
		attempt, cancel := context.WithTimeout(ctx, quarantineLoadTimeout)
		err := d.quarantineRegistry.Load(attempt)
		cancel()
		if err == nil {
			return
		}
		d.config.Recorder.Event(recorder.QuarantineNotLoaded, "err", err)
		if sleeper.Sleep(ctx, quarantineLoadInterval) != nil {
			return
		}
	}
}

// storeVerdict stores the record of a request that has been quarantined.
func (d *Daemon) storeVerdict(digest quarantiner.Digest, v quarantiner.Verdict) {
	if v == quarantiner.Quarantined {
		d.storeQuarantine(digest)
	}
}

// storeQuarantinesAgain stores what is quarantined in a store that was restored from an older copy.
func (d *Daemon) storeQuarantinesAgain() {
	if !d.writesSoftware() {
		return
	}
	for _, r := range d.quarantiner.Records() {
		if len(r.CrashedUpstreams) >= maxCrashes && !r.Cleared {
			d.storeQuarantine(r.Digest)
		}
	}
}

// storeQuarantine stores a record in the background.
func (d *Daemon) storeQuarantine(digest quarantiner.Digest) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), persistTimeout)
		defer cancel()
		d.quarantineRegistry.Persist(ctx, digest)
	}()
}
