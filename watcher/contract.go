package watcher

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/refuser"
)

const (
	contractStep = "contract"
	// loadTries bounds the races between loads and further changes.
	loadTries = 3
	// loadTimeout limits one load of a contract.
	loadTimeout = 5 * time.Second
	// fetchTimeout limits one question to a relay.
	fetchTimeout = time.Second
	// reloadEvery is the least time between two tries to renew a copy.
	reloadEvery = 5 * time.Second
	// farRelays is the number of relays of other zones that are asked when
	// neither the zone's relays nor the store answer.
	farRelays = 3
)

// Contract returns the contract of an account and its revision in the store.
// The copy includes every change that is in force in this daemon; it must not
// be changed. Errors are *refuser.Refusal.
func (w *Watcher) Contract(ctx context.Context, account contractor.Account) (*contractor.Contract, contractor.Revision, error) {
	known := w.contracts.get(account)
	if known.usable() {
		now := time.Now()
		if w.age(now) <= w.config.FreshFor || elapsed(known.validated, now) <= w.config.FreshFor {
			return w.answer(&known)
		}
		return w.stale(ctx, &known, now)
	}
	if err := w.load(ctx, account); err != nil {
		return nil, 0, w.notLoaded(account, &known, err)
	}
	known = w.contracts.get(account)
	if !known.usable() {
		return nil, 0, w.notLoaded(account, &known, errOutrun)
	}
	return w.answer(&known)
}

var errOutrun = errors.New("the contract changed again while it was loaded")

// answer returns the contract of a copy, and unpacks it if needed.
func (w *Watcher) answer(known *cached) (*contractor.Contract, contractor.Revision, error) {
	if known.revision == 0 {
		return nil, 0, refuser.New(refuser.Unauthorized, contractStep).WithDetail("account %q has no contract", known.account)
	}
	if known.contract != nil {
		return known.contract, known.revision, nil
	}
	contract, err := known.packed.unpack()
	if err != nil {
		return nil, 0, refuser.New(refuser.Internal, contractStep).WithCause(err)
	}
	w.config.Recorder.Count("watch.unpacked", 1)
	w.contracts.warm(known.account, known.packed, contract)
	return contract, known.revision, nil
}

// stale answers from a copy of a daemon without contact. It tries to renew the
// copy, beside the request as long as the copy is not too old.
func (w *Watcher) stale(ctx context.Context, known *cached, now time.Time) (*contractor.Contract, contractor.Revision, error) {
	age := min(w.age(now), elapsed(known.validated, now))
	due := now.Sub(known.tried) >= reloadEvery
	if age <= w.config.StaleAfter || w.config.StalePolicy == Serve {
		if due {
			go func() { _ = w.load(context.WithoutCancel(ctx), known.account) }()
		}
		w.config.Recorder.Count("watch.served_stale", 1)
		return w.answer(known)
	}
	if due && w.load(ctx, known.account) == nil {
		if renewed := w.contracts.get(known.account); renewed.usable() && elapsed(renewed.validated, time.Now()) <= w.config.StaleAfter {
			return w.answer(&renewed)
		}
	}
	w.config.Recorder.Count("watch.refused_stale", 1)
	return nil, 0, refuser.New(refuser.ContractStale, contractStep).WithRetryAfter(reloadEvery).
		WithDetail("this daemon has had no contact for %s and cannot know whether the contract has changed", age.Truncate(time.Second))
}

// notLoaded refuses a request whose contract could not be loaded.
func (w *Watcher) notLoaded(account contractor.Account, known *cached, err error) error {
	reason := refuser.ContractUnavailable
	if known.asOf != 0 {
		reason = refuser.ContractStale
	}
	w.config.Recorder.Count("watch.refused_unavailable", 1)
	return refuser.New(reason, contractStep).WithRetryAfter(defaultRetryAfter).
		WithDetail("the contract of account %q cannot be loaded now", account).WithCause(err)
}

// load loads a contract, once for all who wait for it. It tries again when the
// contract has changed during the load.
func (w *Watcher) load(ctx context.Context, account contractor.Account) error {
	for range loadTries {
		loading, first, need := w.contracts.begin(account, time.Now())
		if first {
			go w.loadFor(context.WithoutCancel(ctx), account, need)
		}
		select {
		case <-loading:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		known := w.contracts.get(account)
		if known.usable() {
			return known.failed
		}
		if known.failed != nil {
			return known.failed
		}
	}
	return errOutrun
}

func (w *Watcher) loadFor(ctx context.Context, account contractor.Account, need contractor.Revision) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	atLeast := max(need, w.view.applied()[Contracts])
	loaded, err := w.find(ctx, account, atLeast)
	w.contracts.end(account, loaded, err)
}

// find asks the relays of the zone, then the store, then relays elsewhere.
func (w *Watcher) find(ctx context.Context, account contractor.Account, atLeast contractor.Revision) (loadedContract, error) {
	request := &Fetch{Account: account, AtLeast: atLeast}
	near, far := w.helpers()
	for _, peer := range near {
		if loaded, err := w.fetch(ctx, peer, request); err == nil {
			return loaded, nil
		}
	}
	loaded, err := w.read(ctx, account, atLeast)
	if err == nil {
		return loaded, nil
	}
	for _, peer := range far {
		if loaded, ferr := w.fetch(ctx, peer, request); ferr == nil {
			return loaded, nil
		}
	}
	return loadedContract{}, err
}

// helpers returns the relays to ask before and after the store. A relay itself
// asks the store first.
func (w *Watcher) helpers() (near, far []messenger.Peer) {
	zone := w.config.Members.Self().Zone
	relay := w.roster().relay
	for _, p := range w.candidates(time.Now(), w.config.RelaysPerZone+farRelays) {
		if p.Zone == zone && !relay {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return near, far[:min(len(far), farRelays)]
}

func (w *Watcher) fetch(ctx context.Context, peer messenger.Peer, request *Fetch) (loadedContract, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := time.Now()
	found, err := messenger.Call[Fetch, Fetched](ctx, w.config.Caller, peer, MethodFetch, request)
	if err != nil {
		w.config.Recorder.CountRetry("watch_fetch")
		return loadedContract{}, err
	}
	w.config.Recorder.Count("watch.fetches", 1)
	loaded := loadedContract{
		packed:    found.Contract,
		revision:  found.Revision,
		asOf:      max(request.AtLeast, found.Revision),
		validated: sent.Add(-found.Age),
	}
	if loaded.packed != nil {
		loaded.contract, err = loaded.packed.unpack()
	}
	return loaded, err
}

// read loads a contract from the store. Whatever this daemon has heard of was
// written before, so the read includes it.
func (w *Watcher) read(ctx context.Context, account contractor.Account, atLeast contractor.Revision) (loadedContract, error) {
	at := time.Now()
	entry, err := w.config.Store.Get(ctx, prefixes[Contracts]+string(account))
	if err != nil {
		return loadedContract{}, err
	}
	w.config.Recorder.Count("watch.store_reads", 1)
	loaded := loadedContract{revision: entry.Revision, asOf: max(atLeast, entry.Revision, 1), validated: at}
	if entry.Revision == 0 {
		return loaded, nil
	}
	loaded.contract = new(contractor.Contract)
	if err := json.Unmarshal(entry.Value, loaded.contract); err != nil {
		return loadedContract{}, fmt.Errorf("decode contract of %q: %w", account, err)
	}
	loaded.packed, err = pack(loaded.contract)
	return loaded, err
}

// handleFetch answers from this daemon's copies or from the store.
func (w *Watcher) handleFetch(ctx context.Context, _ messenger.Peer, f *Fetch) (*Fetched, error) {
	if f.Hash != "" {
		account, err := w.readKey(ctx, f.Hash)
		return &Fetched{Account: account}, err
	}
	// The copy is taken after the revision, so it includes all changes up to it.
	applied := w.view.applied()[Contracts]
	known := w.contracts.get(f.Account)
	now := time.Now()
	if known.usable() && max(known.asOf, applied) >= f.AtLeast && w.fresh(now) {
		return &Fetched{Contract: known.packed, Revision: known.revision, Age: w.age(now)}, nil
	}
	return w.readFor(ctx, f)
}

// readFor reads a contract from the store for another daemon and keeps a copy.
func (w *Watcher) readFor(ctx context.Context, f *Fetch) (*Fetched, error) {
	loading, first, need := w.contracts.begin(f.Account, time.Now())
	if !first {
		select {
		case <-loading:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		known := w.contracts.get(f.Account)
		if !known.usable() || known.asOf < f.AtLeast {
			return nil, errOutrun
		}
		return &Fetched{Contract: known.packed, Revision: known.revision, Age: elapsed(known.validated, time.Now())}, nil
	}
	at := time.Now()
	loaded, err := w.read(ctx, f.Account, max(f.AtLeast, need, w.view.applied()[Contracts]))
	w.contracts.end(f.Account, loaded, err)
	if err != nil {
		return nil, err
	}
	return &Fetched{Contract: loaded.packed, Revision: loaded.revision, Age: elapsed(at, time.Now())}, nil
}
