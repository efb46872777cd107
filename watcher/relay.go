package watcher

import (
	"context"
	"errors"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/sleeper"
)

const (
	// roleCheckInterval is how often a daemon checks whether it is a relay, in
	// addition to each change of members.
	roleCheckInterval = 10 * time.Second
	// storeRetryInterval is the time between two attempts to load from the store.
	storeRetryInterval = time.Second
	pageSize           = 500
)

// runRelay watches the store while this daemon is a relay.
func (w *Watcher) runRelay(ctx context.Context) error {
	for {
		changed := w.config.Members.Changed()
		if !w.relayList().isRelay {
			if err := w.waitForRole(ctx, changed); err != nil {
				return err
			}
			continue
		}
		w.config.Recorder.Event(recorder.RelayStarted)
		err := w.watchAsRelay(ctx, changed)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		w.config.Recorder.Event(recorder.RelayStopped, "err", err)
	}
}

func (w *Watcher) waitForRole(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(roleCheckInterval)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

var errNotRelay = errors.New("the daemon is no longer a relay")

// watchAsRelay watches the store until this daemon is no longer a relay.
func (w *Watcher) watchAsRelay(ctx context.Context, changed <-chan struct{}) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			if err := w.waitForRole(ctx, changed); err != nil {
				return err
			}
			changed = w.config.Members.Changed()
			if !w.relayList().isRelay {
				return errNotRelay
			}
		}
	})
	group.Go(func() error { return w.runStoreProbe(ctx) })
	for s := range sectionCount {
		group.Go(func() error { return w.followSection(ctx, s) })
	}
	return group.Wait()
}

// runStoreProbe checks the contact with the store at regular intervals.
func (w *Watcher) runStoreProbe(ctx context.Context) error {
	for {
		at := time.Now()
		if _, err := w.config.Store.Get(ctx, keyPrefixes[Contracts]); err == nil && w.allLoaded() {
			w.recordContact(at)
		}
		if err := sleeper.Sleep(ctx, w.config.ProbeInterval); err != nil {
			return err
		}
	}
}

// allLoaded reports whether every section has been loaded once.
func (w *Watcher) allLoaded() bool {
	for _, revision := range w.view.applied() {
		if revision == 0 {
			return false
		}
	}
	return true
}

// followSection loads a section if needed and watches it until ctx ends. It loads
// the section again when the store has compacted the changes that are missing.
func (w *Watcher) followSection(ctx context.Context, s Section) error {
	for {
		err := w.watchSection(ctx, s)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		w.config.Recorder.CountRetry("watch_section")
		if errors.Is(err, persister.ErrCompacted) {
			err = w.loadSection(ctx, s)
		}
		if err == nil {
			continue
		}
		if sleepErr := sleeper.Sleep(ctx, storeRetryInterval); sleepErr != nil {
			return sleepErr
		}
	}
}

func (w *Watcher) watchSection(ctx context.Context, s Section) error {
	after := w.view.applied()[s]
	if after == 0 {
		if err := w.loadSection(ctx, s); err != nil {
			return err
		}
		after = w.view.applied()[s]
	}
	return w.config.Store.Watch(ctx, keyPrefixes[s], after, func(b persister.Batch) error {
		w.apply(updateOf(s, b))
		return nil
	})
}

func updateOf(s Section, b persister.Batch) Update {
	u := Update{Section: s, To: b.Revision}
	for _, c := range b.Changes {
		u.Changes = append(u.Changes, changeOf(s, c.Entry, c.Deleted))
	}
	return u
}

func changeOf(s Section, e persister.Entry, deleted bool) Change {
	c := Change{Revision: e.Revision, Name: strings.TrimPrefix(e.Key, keyPrefixes[s]), Deleted: deleted}
	if s.carriesValues() {
		c.Value = e.Value
	}
	return c
}

// loadSection reads a section from the store. For contracts it reads only the
// store's revision; each contract is loaded when it is needed.
func (w *Watcher) loadSection(ctx context.Context, s Section) error {
	limit := pageSize
	if !s.carriesValues() {
		limit = 1
	}
	page, err := w.config.Store.Range(ctx, keyPrefixes[s], "", limit)
	if err != nil {
		return err
	}
	u := Update{Section: s, To: page.Revision, Reset: true}
	for s.carriesValues() {
		for _, e := range page.Entries {
			u.Changes = append(u.Changes, changeOf(s, e, false))
		}
		if !page.More || len(page.Entries) == 0 {
			break
		}
		page, err = w.config.Store.Range(ctx, keyPrefixes[s], page.Entries[len(page.Entries)-1].Key, limit)
		if err != nil {
			return err
		}
	}
	w.apply(u)
	return nil
}

// apply applies an update to the view and reports its changes to the callbacks.
func (w *Watcher) apply(u Update) {
	if u.Section == Contracts {
		w.applyContracts(u)
		return
	}
	w.callbackMu.Lock()
	defer w.callbackMu.Unlock()
	added, advanced := w.view.apply(u)
	if !advanced {
		return
	}
	w.config.Recorder.Count("watch.changes."+u.Section.String(), int64(len(added)))
	if len(added) > 0 || u.Reset {
		w.notifyCallbacks(u.Section, added, u.Reset)
	}
}

// applyContracts applies an update of contracts. It invalidates the copies before
// it raises the applied revision, so that no old copy is used at the new
// revision, and once more afterwards, for copies whose load began at the old
// revision.
func (w *Watcher) applyContracts(u Update) {
	if u.To <= w.view.applied()[Contracts] {
		return
	}
	w.invalidateChanged(u)
	if _, advanced := w.view.apply(u); !advanced {
		return
	}
	w.invalidateChanged(u)
	w.config.Recorder.Count("watch.changes."+u.Section.String(), int64(len(u.Changes)))
	w.config.Recorder.SetGauge("watch.revision.contract", int64(u.To))
	if u.Reset {
		go w.reloadContracts(w.contracts.recentAccounts(maxReloadedContracts))
	}
}

// reloadContracts loads contracts whose copies a reset has invalidated. Without
// it a daemon that is partitioned later could not serve their accounts.
func (w *Watcher) reloadContracts(accounts []contractor.Account) {
	ctx, cancel := context.WithTimeout(context.Background(), w.config.FreshnessLifetime)
	defer cancel()
	for _, account := range accounts {
		if w.load(ctx, account) != nil {
			return
		}
	}
}

func (w *Watcher) invalidateChanged(u Update) {
	if u.Reset {
		w.contracts.invalidateAll(u.To)
	}
	for _, c := range u.Changes {
		w.contracts.invalidate(contractor.Account(c.Name), c.Revision)
	}
}
