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
	// roleCheckEvery is how often a daemon checks whether it is a relay, besides
	// at each change of members.
	roleCheckEvery = 10 * time.Second
	// storeRetryEvery is the time between two tries to load from the store.
	storeRetryEvery = time.Second
	pageSize        = 500
)

// runRelay watches the store while this daemon is a relay.
func (w *Watcher) runRelay(ctx context.Context) error {
	for {
		changed := w.config.Members.Changed()
		if !w.roster().relay {
			if err := w.waitForRole(ctx, changed); err != nil {
				return err
			}
			continue
		}
		w.config.Recorder.Event(recorder.RelayStarted)
		err := w.followAsRelay(ctx, changed)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		w.config.Recorder.Event(recorder.RelayStopped, "err", err)
	}
}

func (w *Watcher) waitForRole(ctx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(roleCheckEvery)
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

var errNotRelay = errors.New("the daemon is not a relay any more")

// followAsRelay follows the store until this daemon is no relay any more.
func (w *Watcher) followAsRelay(ctx context.Context, changed <-chan struct{}) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			if err := w.waitForRole(ctx, changed); err != nil {
				return err
			}
			changed = w.config.Members.Changed()
			if !w.roster().relay {
				return errNotRelay
			}
		}
	})
	group.Go(func() error { return w.runProbe(ctx) })
	for s := range sectionCount {
		group.Go(func() error { return w.followSection(ctx, s) })
	}
	return group.Wait()
}

// runProbe checks the contact with the store.
func (w *Watcher) runProbe(ctx context.Context) error {
	for {
		at := time.Now()
		if _, err := w.config.Store.Get(ctx, prefixes[Contracts]); err == nil && w.loaded() {
			w.touch(at)
		}
		if err := sleeper.Sleep(ctx, w.config.ProbeInterval); err != nil {
			return err
		}
	}
}

// loaded reports whether every section has been loaded once.
func (w *Watcher) loaded() bool {
	for _, revision := range w.view.applied() {
		if revision == 0 {
			return false
		}
	}
	return true
}

// followSection loads a section if needed and watches it.
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
		if serr := sleeper.Sleep(ctx, storeRetryEvery); serr != nil {
			return serr
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
	return w.config.Store.Watch(ctx, prefixes[s], after, func(b persister.Batch) error {
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
	c := Change{Revision: e.Revision, Name: strings.TrimPrefix(e.Key, prefixes[s]), Deleted: deleted}
	if s.carriesValues() {
		c.Value = e.Value
	}
	return c
}

// loadSection reads a section from the store. Of contracts it reads only the
// store's revision; the contracts are loaded when they are needed.
func (w *Watcher) loadSection(ctx context.Context, s Section) error {
	limit := pageSize
	if !s.carriesValues() {
		limit = 1
	}
	page, err := w.config.Store.Range(ctx, prefixes[s], "", limit)
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
		page, err = w.config.Store.Range(ctx, prefixes[s], page.Entries[len(page.Entries)-1].Key, limit)
		if err != nil {
			return err
		}
	}
	w.apply(u)
	return nil
}

// apply takes an update in and passes its changes on within the daemon.
func (w *Watcher) apply(u Update) {
	if u.Section == Contracts {
		w.applyContracts(u)
		return
	}
	w.listening.Lock()
	defer w.listening.Unlock()
	fresh, forward := w.view.apply(u)
	if !forward {
		return
	}
	w.config.Recorder.Count("watch.changes."+u.Section.String(), int64(len(fresh)))
	if len(fresh) > 0 || u.Reset {
		w.announce(u.Section, fresh, u.Reset)
	}
}

// applyContracts marks the copies before it raises the applied revision, so
// that no old copy is used at the new revision, and again afterwards for copies
// that were being loaded at the old revision.
func (w *Watcher) applyContracts(u Update) {
	if u.To <= w.view.applied()[Contracts] {
		return
	}
	w.outdate(u)
	if _, fresh := w.view.apply(u); !fresh {
		return
	}
	w.outdate(u)
	w.config.Recorder.Count("watch.changes."+u.Section.String(), int64(len(u.Changes)))
	w.config.Recorder.SetGauge("watch.revision.contract", int64(u.To))
	if u.Reset {
		go w.renew(w.contracts.recent(maxRenewed))
	}
}

// renew loads the copies that a reset outdated, so that the daemon can go on
// serving their accounts if it is cut off later.
func (w *Watcher) renew(accounts []contractor.Account) {
	ctx, cancel := context.WithTimeout(context.Background(), w.config.FreshnessLifetime)
	defer cancel()
	for _, account := range accounts {
		if w.load(ctx, account) != nil {
			return
		}
	}
}

func (w *Watcher) outdate(u Update) {
	if u.Reset {
		w.contracts.outdateAll(u.To)
	}
	for _, c := range u.Changes {
		w.contracts.outdate(contractor.Account(c.Name), c.Revision)
	}
}
