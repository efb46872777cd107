package watcher

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// upstreamSet holds the decoded announcements, sorted by name. It is
// copy-on-write: a list that was returned never changes.
type upstreamSet struct {
	mu  sync.RWMutex
	all []contractor.Upstream
}

func (u *upstreamSet) list() []contractor.Upstream {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return u.all
}

// update applies changes and returns the number of malformed ones, which it skips.
func (u *upstreamSet) update(changes []Change, reset bool) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	var next []contractor.Upstream
	if !reset {
		next = slices.Clone(u.all)
	}
	malformed := 0
	for _, c := range changes {
		at, found := slices.BinarySearchFunc(next, c.Name, func(x contractor.Upstream, name string) int {
			return cmp.Compare(x.Name, name)
		})
		if c.Deleted {
			if found {
				next = slices.Delete(next, at, at+1)
			}
			continue
		}
		var decoded contractor.Upstream
		if err := json.Unmarshal(c.Value, &decoded); err != nil {
			malformed++
			continue
		}
		decoded.Name = c.Name
		if found {
			next[at] = decoded
		} else {
			next = slices.Insert(next, at, decoded)
		}
	}
	u.all = next
	return malformed
}

// Upstreams returns the announced upstreams in the order of their names. The
// list must not be modified.
func (w *Watcher) Upstreams() []contractor.Upstream { return w.announcedUpstreams.list() }

// OnUpstreams calls f with all upstreams now, if they are loaded, and after each
// change, one call at a time. f must not modify the list.
func (w *Watcher) OnUpstreams(f func([]contractor.Upstream)) {
	w.callbackMu.Lock()
	defer w.callbackMu.Unlock()
	w.upstreamCallbacks = append(w.upstreamCallbacks, f)
	if w.view.applied()[Upstreams] > 0 {
		f(w.Upstreams())
	}
}

// OnQuarantine calls f with all entries below quarantine/ now, if they are
// loaded, and after each change, one call at a time.
func (w *Watcher) OnQuarantine(f func([]persister.Entry)) {
	w.callbackMu.Lock()
	defer w.callbackMu.Unlock()
	w.quarantineCallbacks = append(w.quarantineCallbacks, f)
	if w.view.applied()[Quarantine] > 0 {
		f(w.quarantined())
	}
}

func (w *Watcher) quarantined() []persister.Entry {
	var all []persister.Entry
	for _, c := range w.view.currentChanges(Quarantine) {
		all = append(all, persister.Entry{Key: keyPrefixes[Quarantine] + c.Name, Value: c.Value, Revision: c.Revision})
	}
	return all
}

// notifyCallbacks updates the decoded state of a section and calls its callbacks.
// callbackMu must be held.
func (w *Watcher) notifyCallbacks(s Section, added []Change, reset bool) {
	switch s {
	case Upstreams:
		if malformed := w.announcedUpstreams.update(added, reset); malformed > 0 {
			w.config.Recorder.Count("watch.malformed", int64(malformed))
		}
		for _, f := range w.upstreamCallbacks {
			f(w.announcedUpstreams.list())
		}
	case Quarantine:
		all := w.quarantined()
		for _, f := range w.quarantineCallbacks {
			f(all)
		}
	}
}
