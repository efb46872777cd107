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
	// maxLoadAttempts limits the loads in a row that a further change of the
	// contract has outdated.
	maxLoadAttempts = 3
	// loadTimeout is the time limit for one load of a contract.
	loadTimeout = 5 * time.Second
	// fetchTimeout is the time limit for one request to a relay.
	fetchTimeout = time.Second
	// reloadInterval is the minimum time between two loads of a stale copy.
	reloadInterval = 5 * time.Second
	// maxRemoteRelays limits the relays of other zones that are asked when
	// neither the zone's relays nor the store respond.
	maxRemoteRelays = 3
)

// Contract returns the contract of an account and its revision in the store.
// The contract includes every change that this daemon has applied. It is shared
// and must not be modified. Errors are *refuser.Refusal.
func (w *Watcher) Contract(ctx context.Context, account contractor.Account) (*contractor.Contract, contractor.Revision, error) {
	entry := w.contracts.get(account)
	if entry.usable() {
		now := time.Now()
		if w.contactAge(now) <= w.config.FreshnessLifetime || elapsed(entry.validatedAt, now) <= w.config.FreshnessLifetime {
			return w.contractOf(&entry)
		}
		return w.staleContract(ctx, &entry, now)
	}
	if err := w.load(ctx, account); err != nil {
		return nil, 0, w.loadRefusal(account, &entry, err)
	}
	entry = w.contracts.get(account)
	if !entry.usable() {
		return nil, 0, w.loadRefusal(account, &entry, errChangedDuringLoad)
	}
	return w.contractOf(&entry)
}

var errChangedDuringLoad = errors.New("the contract changed again while it was loaded")

// contractOf returns the contract of an entry, and decompresses it if needed.
func (w *Watcher) contractOf(entry *cacheEntry) (*contractor.Contract, contractor.Revision, error) {
	if entry.revision == 0 {
		return nil, 0, refuser.New(refuser.Unauthorized, contractStep).WithDetail("account %q has no contract", entry.account)
	}
	if entry.contract != nil {
		return entry.contract, entry.revision, nil
	}
	contract, err := entry.compressed.decompress()
	if err != nil {
		return nil, 0, refuser.New(refuser.Internal, contractStep).WithCause(err)
	}
	w.config.Recorder.Count("watch.unpacked", 1)
	w.contracts.storeDecoded(entry.account, entry.compressed, contract)
	return contract, entry.revision, nil
}

// staleContract returns the contract of an entry when neither the view nor the
// entry is fresh. It starts a load if one is due: in the background while the
// stale policy allows the copy, otherwise before it returns.
func (w *Watcher) staleContract(ctx context.Context, entry *cacheEntry, now time.Time) (*contractor.Contract, contractor.Revision, error) {
	age := min(w.contactAge(now), elapsed(entry.validatedAt, now))
	reloadDue := now.Sub(entry.lastLoad) >= reloadInterval
	if age <= w.config.StaleAfter || w.config.StalePolicy == Serve {
		if reloadDue {
			go func() { _ = w.load(context.WithoutCancel(ctx), entry.account) }()
		}
		w.config.Recorder.Count("watch.served_stale", 1)
		return w.contractOf(entry)
	}
	if reloadDue && w.load(ctx, entry.account) == nil {
		if reloaded := w.contracts.get(entry.account); reloaded.usable() && elapsed(reloaded.validatedAt, time.Now()) <= w.config.StaleAfter {
			return w.contractOf(&reloaded)
		}
	}
	w.config.Recorder.Count("watch.refused_stale", 1)
	return nil, 0, refuser.New(refuser.ContractStale, contractStep).WithRetryAfter(reloadInterval).
		WithDetail("this daemon has had no contact for %s and cannot know whether the contract has changed", age.Truncate(time.Second))
}

// loadRefusal returns the refusal of a request whose contract could not be loaded.
func (w *Watcher) loadRefusal(account contractor.Account, entry *cacheEntry, err error) error {
	reason := refuser.ContractUnavailable
	if entry.asOf != 0 {
		reason = refuser.ContractStale
	}
	w.config.Recorder.Count("watch.refused_unavailable", 1)
	return refuser.New(reason, contractStep).WithRetryAfter(defaultRetryAfter).
		WithDetail("the contract of account %q cannot be loaded now", account).WithCause(err)
}

// load loads a contract into the cache. Concurrent calls for an account share one
// load. A load is repeated if the contract has changed in the meantime.
func (w *Watcher) load(ctx context.Context, account contractor.Account) error {
	for range maxLoadAttempts {
		done, first, minRevision := w.contracts.beginLoad(account, time.Now())
		if first {
			go w.runLoad(context.WithoutCancel(ctx), account, minRevision)
		}
		select {
		case <-done:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		entry := w.contracts.get(account)
		if entry.usable() {
			return entry.loadErr
		}
		if entry.loadErr != nil {
			return entry.loadErr
		}
	}
	return errChangedDuringLoad
}

func (w *Watcher) runLoad(ctx context.Context, account contractor.Account, entryRevision contractor.Revision) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	minRevision := max(entryRevision, w.view.applied()[Contracts])
	loaded, err := w.findContract(ctx, account, minRevision)
	w.contracts.endLoad(account, loaded, err)
}

// findContract asks the relays of the zone, then the store, then relays of other
// zones.
func (w *Watcher) findContract(ctx context.Context, account contractor.Account, minRevision contractor.Revision) (loadedContract, error) {
	request := &FetchRequest{Account: account, MinRevision: minRevision}
	beforeStore, afterStore := w.relaysToAsk()
	for _, peer := range beforeStore {
		if loaded, err := w.fetchContract(ctx, peer, request); err == nil {
			return loaded, nil
		}
	}
	loaded, err := w.readContract(ctx, account, minRevision)
	if err == nil {
		return loaded, nil
	}
	for _, peer := range afterStore {
		if loaded, fetchErr := w.fetchContract(ctx, peer, request); fetchErr == nil {
			return loaded, nil
		}
	}
	return loadedContract{}, err
}

// relaysToAsk returns the relays to ask before and after the store. A daemon that
// is a relay itself asks the store first.
func (w *Watcher) relaysToAsk() (beforeStore, afterStore []messenger.Peer) {
	zone := w.config.Members.Self().Zone
	isRelay := w.relayList().isRelay
	for _, p := range w.availableRelays(time.Now(), w.config.RelaysPerZone+maxRemoteRelays) {
		if p.Zone == zone && !isRelay {
			beforeStore = append(beforeStore, p)
		} else {
			afterStore = append(afterStore, p)
		}
	}
	return beforeStore, afterStore[:min(len(afterStore), maxRemoteRelays)]
}

func (w *Watcher) fetchContract(ctx context.Context, peer messenger.Peer, request *FetchRequest) (loadedContract, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := time.Now()
	response, err := messenger.Call[FetchRequest, FetchResponse](ctx, w.config.Caller, peer, MethodFetch, request)
	if err != nil {
		w.config.Recorder.CountRetry("watch_fetch")
		return loadedContract{}, err
	}
	w.config.Recorder.Count("watch.fetches", 1)
	loaded := loadedContract{
		compressed:  response.Contract,
		revision:    response.Revision,
		asOf:        max(request.MinRevision, response.Revision),
		validatedAt: sent.Add(-response.Age),
	}
	if loaded.compressed != nil {
		loaded.contract, err = loaded.compressed.decompress()
	}
	return loaded, err
}

// readContract reads a contract from the store. Every change that this daemon
// knows of was committed before the read, so the result includes it.
func (w *Watcher) readContract(ctx context.Context, account contractor.Account, minRevision contractor.Revision) (loadedContract, error) {
	at := time.Now()
	entry, err := w.config.Store.Get(ctx, keyPrefixes[Contracts]+string(account))
	if err != nil {
		return loadedContract{}, err
	}
	w.config.Recorder.Count("watch.store_reads", 1)
	loaded := loadedContract{revision: entry.Revision, asOf: max(minRevision, entry.Revision, 1), validatedAt: at}
	if entry.Revision == 0 {
		return loaded, nil
	}
	loaded.contract = new(contractor.Contract)
	if err := json.Unmarshal(entry.Value, loaded.contract); err != nil {
		return loadedContract{}, fmt.Errorf("decode contract of %q: %w", account, err)
	}
	loaded.compressed, err = compress(loaded.contract)
	return loaded, err
}

// handleFetch responds from this daemon's cache if it is fresh, otherwise from
// the store.
func (w *Watcher) handleFetch(ctx context.Context, _ messenger.Peer, request *FetchRequest) (*FetchResponse, error) {
	if request.KeyHash != "" {
		account, err := w.readAccount(ctx, request.KeyHash)
		return &FetchResponse{Account: account}, err
	}
	// The entry is read after the applied revision, so a usable entry includes all
	// changes up to that revision.
	applied := w.view.applied()[Contracts]
	entry := w.contracts.get(request.Account)
	now := time.Now()
	if entry.usable() && max(entry.asOf, applied) >= request.MinRevision && w.isFresh(now) {
		return &FetchResponse{Contract: entry.compressed, Revision: entry.revision, Age: w.contactAge(now)}, nil
	}
	return w.readForPeer(ctx, request)
}

// readForPeer reads a contract from the store for another daemon and caches it,
// or waits for the load in progress.
func (w *Watcher) readForPeer(ctx context.Context, request *FetchRequest) (*FetchResponse, error) {
	done, first, minRevision := w.contracts.beginLoad(request.Account, time.Now())
	if !first {
		select {
		case <-done:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		entry := w.contracts.get(request.Account)
		if !entry.usable() || entry.asOf < request.MinRevision {
			return nil, errChangedDuringLoad
		}
		return &FetchResponse{Contract: entry.compressed, Revision: entry.revision, Age: elapsed(entry.validatedAt, time.Now())}, nil
	}
	at := time.Now()
	loaded, err := w.readContract(ctx, request.Account, max(request.MinRevision, minRevision, w.view.applied()[Contracts]))
	w.contracts.endLoad(request.Account, loaded, err)
	if err != nil {
		return nil, err
	}
	return &FetchResponse{Contract: loaded.compressed, Revision: loaded.revision, Age: elapsed(at, time.Now())}, nil
}
