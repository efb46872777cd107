package watcher

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/refuser"
)

const (
	keyPrefix = "keyhash/"
	// unknownKeyTTL is how long an unknown bearer key is refused without another
	// lookup, as long as no contract changes.
	unknownKeyTTL = 5 * time.Second
	keyStep       = "authenticate"
	keyShards     = 16
)

// keyIndex is an LRU cache of the accounts of bearer keys. It does not authorize:
// the account's contract decides whether the key is valid.
type keyIndex struct {
	shards [keyShards]keyShard
}

type keyShard struct {
	mu       sync.Mutex
	limit    int
	entries  map[contractor.KeyHash]*list.Element
	elements list.List
}

type keyEntry struct {
	hash contractor.KeyHash
	// account is empty when the key is unknown.
	account    contractor.Account
	lookedUpAt time.Time
	// lookupRevision is the applied revision of the contracts at the lookup.
	lookupRevision contractor.Revision
	// confirmedRevision is the latest revision of the contract in which the key
	// was found.
	confirmedRevision contractor.Revision
}

func newKeyIndex(limit int) *keyIndex {
	k := &keyIndex{}
	for i := range k.shards {
		k.shards[i].limit = max(1, limit/keyShards)
		k.shards[i].entries = make(map[contractor.KeyHash]*list.Element)
	}
	return k
}

func (k *keyIndex) shard(hash contractor.KeyHash) *keyShard {
	return &k.shards[xxhash.Sum64String(string(hash))%keyShards]
}

func (k *keyIndex) get(hash contractor.KeyHash) (keyEntry, bool) {
	s := k.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[hash]
	if e == nil {
		return keyEntry{}, false
	}
	s.elements.MoveToFront(e)
	return *e.Value.(*keyEntry), true
}

func (k *keyIndex) put(entry keyEntry) {
	s := k.shard(entry.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[entry.hash]; e != nil {
		*e.Value.(*keyEntry) = entry
		s.elements.MoveToFront(e)
		return
	}
	s.entries[entry.hash] = s.elements.PushFront(&entry)
	if s.elements.Len() > s.limit {
		oldest := s.elements.Remove(s.elements.Back()).(*keyEntry)
		delete(s.entries, oldest.hash)
	}
}

// AccountOf returns the account whose contract holds a bearer key. Errors are
// *refuser.Refusal.
func (w *Watcher) AccountOf(ctx context.Context, hash contractor.KeyHash) (contractor.Account, error) {
	applied := w.view.applied()[Contracts]
	entry, known := w.keys.get(hash)
	if known && entry.account == "" && entry.lookupRevision == applied && time.Since(entry.lookedUpAt) < unknownKeyTTL {
		return "", unknownKeyRefusal()
	}
	if known && entry.account != "" {
		held, err := w.confirmKey(ctx, &entry)
		if held || err != nil {
			return entry.account, err
		}
	}
	account, err := w.lookUpAccount(ctx, hash)
	if err != nil {
		return "", refuser.New(refuser.ContractUnavailable, keyStep).WithRetryAfter(defaultRetryAfter).
			WithDetail("the bearer key cannot be looked up now").WithCause(err)
	}
	entry = keyEntry{hash: hash, account: account, lookedUpAt: time.Now(), lookupRevision: applied}
	w.keys.put(entry)
	if account == "" {
		return "", unknownKeyRefusal()
	}
	held, err := w.confirmKey(ctx, &entry)
	if err != nil {
		return "", err
	}
	if !held {
		return "", unknownKeyRefusal()
	}
	return account, nil
}

func unknownKeyRefusal() error {
	return refuser.New(refuser.Unauthorized, keyStep).WithDetail("the bearer key is not known")
}

// confirmKey reports whether the account's contract in force contains the key.
func (w *Watcher) confirmKey(ctx context.Context, entry *keyEntry) (bool, error) {
	contract, revision, err := w.Contract(ctx, entry.account)
	if err != nil {
		return false, err
	}
	if entry.confirmedRevision == revision {
		return true, nil
	}
	if _, held := contract.MemberOf(entry.hash); !held {
		return false, nil
	}
	entry.confirmedRevision = revision
	w.keys.put(*entry)
	return true, nil
}

// lookUpAccount finds the account of a bearer key. It waits for the rate limit of
// lookups.
func (w *Watcher) lookUpAccount(ctx context.Context, hash contractor.KeyHash) (contractor.Account, error) {
	limitCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := w.lookupLimiter.Wait(limitCtx); err != nil {
		return "", err
	}
	beforeStore, afterStore := w.relaysToAsk()
	for _, peer := range beforeStore {
		if account, err := w.fetchAccount(ctx, peer, hash); err == nil {
			return account, nil
		}
	}
	account, err := w.readAccount(ctx, hash)
	if err == nil {
		return account, nil
	}
	for _, peer := range afterStore {
		if account, fetchErr := w.fetchAccount(ctx, peer, hash); fetchErr == nil {
			return account, nil
		}
	}
	return "", err
}

func (w *Watcher) fetchAccount(ctx context.Context, peer messenger.Peer, hash contractor.KeyHash) (contractor.Account, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := messenger.Call[FetchRequest, FetchResponse](ctx, w.config.Caller, peer, MethodFetch, &FetchRequest{KeyHash: hash})
	if err != nil {
		w.config.Recorder.CountRetry("watch_fetch")
		return "", err
	}
	return response.Account, nil
}

func (w *Watcher) readAccount(ctx context.Context, hash contractor.KeyHash) (contractor.Account, error) {
	entry, err := w.config.Store.Get(ctx, keyPrefix+string(hash))
	if err != nil {
		return "", err
	}
	w.config.Recorder.Count("watch.store_reads", 1)
	return contractor.Account(entry.Value), nil
}
