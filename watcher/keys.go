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
	// absentFor is how long an unknown bearer key stays unknown, unless a
	// contract changes before.
	absentFor = 5 * time.Second
	keyStep   = "authenticate"
	keyShards = 16
)

// keyIndex remembers the accounts of bearer keys. It is only an index: whether
// a key may act for the account is decided by the contract.
type keyIndex struct {
	shards [keyShards]keyShard
}

type keyShard struct {
	mu      sync.Mutex
	limit   int
	entries map[contractor.KeyHash]*list.Element
	recent  list.List
}

type keyEntry struct {
	hash contractor.KeyHash
	// account is empty when the key is unknown.
	account contractor.Account
	at      time.Time
	// applied is the revision of contracts at which the key was looked up.
	applied contractor.Revision
	// checked is the revision of the contract that was seen to hold the key.
	checked contractor.Revision
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
	s.recent.MoveToFront(e)
	return *e.Value.(*keyEntry), true
}

func (k *keyIndex) put(entry keyEntry) {
	s := k.shard(entry.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[entry.hash]; e != nil {
		*e.Value.(*keyEntry) = entry
		s.recent.MoveToFront(e)
		return
	}
	s.entries[entry.hash] = s.recent.PushFront(&entry)
	if s.recent.Len() > s.limit {
		oldest := s.recent.Remove(s.recent.Back()).(*keyEntry)
		delete(s.entries, oldest.hash)
	}
}

// AccountOf returns the account whose contract holds a bearer key. Errors are
// *refuser.Refusal.
func (w *Watcher) AccountOf(ctx context.Context, hash contractor.KeyHash) (contractor.Account, error) {
	applied := w.view.applied()[Contracts]
	entry, known := w.keys.get(hash)
	if known && entry.account == "" && entry.applied == applied && time.Since(entry.at) < absentFor {
		return "", unknownKey()
	}
	if known && entry.account != "" {
		held, err := w.confirm(ctx, &entry)
		if held || err != nil {
			return entry.account, err
		}
	}
	account, err := w.lookUp(ctx, hash)
	if err != nil {
		return "", refuser.New(refuser.ContractUnavailable, keyStep).WithRetryAfter(defaultRetryAfter).
			WithDetail("the bearer key cannot be looked up now").WithCause(err)
	}
	entry = keyEntry{hash: hash, account: account, at: time.Now(), applied: applied}
	w.keys.put(entry)
	if account == "" {
		return "", unknownKey()
	}
	held, err := w.confirm(ctx, &entry)
	if err != nil {
		return "", err
	}
	if !held {
		return "", unknownKey()
	}
	return account, nil
}

func unknownKey() error {
	return refuser.New(refuser.Unauthorized, keyStep).WithDetail("the bearer key is not known")
}

// confirm checks that the contract in force still holds a key.
func (w *Watcher) confirm(ctx context.Context, entry *keyEntry) (bool, error) {
	contract, revision, err := w.Contract(ctx, entry.account)
	if err != nil {
		return false, err
	}
	if entry.checked == revision {
		return true, nil
	}
	if _, held := contract.MemberOf(entry.hash); !held {
		return false, nil
	}
	entry.checked = revision
	w.keys.put(*entry)
	return true, nil
}

// lookUp finds the account of a bearer key, at a bounded rate.
func (w *Watcher) lookUp(ctx context.Context, hash contractor.KeyHash) (contractor.Account, error) {
	waiting, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := w.lookups.Wait(waiting); err != nil {
		return "", err
	}
	near, far := w.helpers()
	for _, peer := range near {
		if account, err := w.fetchKey(ctx, peer, hash); err == nil {
			return account, nil
		}
	}
	account, err := w.readKey(ctx, hash)
	if err == nil {
		return account, nil
	}
	for _, peer := range far {
		if account, ferr := w.fetchKey(ctx, peer, hash); ferr == nil {
			return account, nil
		}
	}
	return "", err
}

func (w *Watcher) fetchKey(ctx context.Context, peer messenger.Peer, hash contractor.KeyHash) (contractor.Account, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	found, err := messenger.Call[Fetch, Fetched](ctx, w.config.Caller, peer, MethodFetch, &Fetch{Hash: hash})
	if err != nil {
		w.config.Recorder.CountRetry("watch_fetch")
		return "", err
	}
	return found.Account, nil
}

func (w *Watcher) readKey(ctx context.Context, hash contractor.KeyHash) (contractor.Account, error) {
	entry, err := w.config.Store.Get(ctx, keyPrefix+string(hash))
	if err != nil {
		return "", err
	}
	w.config.Recorder.Count("watch.store_reads", 1)
	return contractor.Account(entry.Value), nil
}
