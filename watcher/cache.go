package watcher

import (
	"container/list"
	"sync"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"laburnumline/contractor"
)

const (
	// maxReloadedContracts limits the number of contracts that are loaded again after a reset.
	maxReloadedContracts = 256
	cacheShards          = 16
	// allocatorOverheadDivisor accounts for the memory that the allocator adds to
	// an object by rounding its size up, one eighth.
	allocatorOverheadDivisor = 8
)

// cache holds copies of contracts within two memory limits: one for compressed
// copies, and one for decoded copies of the contracts in use. It evicts the
// least recently used copies first.
type cache struct {
	shards [cacheShards]cacheShard
}

type cacheShard struct {
	mu      sync.Mutex
	entries map[contractor.Account]*cacheEntry
	// compressed holds all entries, and decoded those with a decoded contract,
	// the most recently used first.
	compressed lruList
	decoded    lruList
}

// lruList is a list of entries with a memory limit.
type lruList struct {
	elements list.List
	bytes    int
	maxBytes int
}

// cacheEntry is the copy of one contract, or records that the account has none.
type cacheEntry struct {
	account contractor.Account
	// contract is nil while only the compressed copy is kept.
	contract   *contractor.Contract
	compressed *CompressedContract
	// revision is zero when the account has no contract.
	revision contractor.Revision
	// asOf is the store's revision up to which the copy includes all changes.
	asOf contractor.Revision
	// minRevision is the least asOf with which the copy may be used.
	minRevision contractor.Revision
	// validatedAt is when the copy was last known to be current.
	validatedAt time.Time
	// lastLoad is when the last load of the contract began.
	lastLoad time.Time
	// loadDone is closed at the end of the load in progress. Nil means none.
	loadDone chan struct{}
	// loadErr is the error of the last load.
	loadErr error

	compressedElement *list.Element
	decodedElement    *list.Element
	// compressedBytes and decodedBytes are the entry's share of the bytes of each list.
	compressedBytes int
	decodedBytes    int
}

// usable reports whether the copy includes every change that this daemon knows of.
func (c *cacheEntry) usable() bool { return c.asOf != 0 && c.asOf >= c.minRevision }

func newCache(decodedBytes, compressedBytes int) *cache {
	c := &cache{}
	for i := range c.shards {
		s := &c.shards[i]
		s.decoded.maxBytes = decodedBytes / cacheShards
		s.compressed.maxBytes = compressedBytes / cacheShards
		s.entries = make(map[contractor.Account]*cacheEntry)
	}
	return c
}

func (c *cache) shard(account contractor.Account) *cacheShard {
	return &c.shards[xxhash.Sum64String(string(account))%cacheShards]
}

// invalidate records that a contract changed at a revision.
func (c *cache) invalidate(account contractor.Account, revision contractor.Revision) {
	s := c.shard(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.entries[account]; entry != nil {
		entry.minRevision = max(entry.minRevision, revision)
	}
}

// invalidateAll records that any contract may have changed up to a revision.
func (c *cache) invalidateAll(revision contractor.Revision) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for _, entry := range s.entries {
			entry.minRevision = max(entry.minRevision, revision)
		}
		s.mu.Unlock()
	}
}

// recentAccounts returns up to limit accounts with decoded copies.
func (c *cache) recentAccounts(limit int) []contractor.Account {
	var accounts []contractor.Account
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for e := s.decoded.elements.Front(); e != nil && len(accounts) < limit; e = e.Next() {
			accounts = append(accounts, e.Value.(*cacheEntry).account)
		}
		s.mu.Unlock()
	}
	return accounts
}

// get returns a copy of the account's entry. An absent entry has only the account.
func (c *cache) get(account contractor.Account) cacheEntry {
	s := c.shard(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[account]
	if entry == nil {
		return cacheEntry{account: account}
	}
	s.compressed.elements.MoveToFront(entry.compressedElement)
	if entry.decodedElement != nil {
		s.decoded.elements.MoveToFront(entry.decodedElement)
	}
	return *entry
}

// storeDecoded adds the decoded contract to the entry, unless the entry holds
// another compressed copy by now.
func (c *cache) storeDecoded(account contractor.Account, compressed *CompressedContract, contract *contractor.Contract) {
	s := c.shard(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[account]
	if entry == nil || entry.compressed != compressed || entry.contract != nil {
		return
	}
	entry.contract = contract
	s.updateSizes(entry)
	s.evict()
}

// beginLoad marks a load as begun. If one is in progress already, first is false
// and done is the channel of that load.
func (c *cache) beginLoad(account contractor.Account, now time.Time) (done chan struct{}, first bool, minRevision contractor.Revision) {
	s := c.shard(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[account]
	if entry == nil {
		entry = &cacheEntry{account: account}
		s.entries[account] = entry
		entry.compressedElement = s.compressed.elements.PushFront(entry)
	}
	if entry.loadDone != nil {
		return entry.loadDone, false, entry.minRevision
	}
	entry.loadDone = make(chan struct{})
	entry.lastLoad = now
	return entry.loadDone, true, entry.minRevision
}

// loadedContract is the result of a load. When the account has no contract, only
// asOf and validatedAt are set.
type loadedContract struct {
	contract    *contractor.Contract
	compressed  *CompressedContract
	revision    contractor.Revision
	asOf        contractor.Revision
	validatedAt time.Time
}

// endLoad ends a load and stores its result, unless the entry holds a newer copy.
func (c *cache) endLoad(account contractor.Account, loaded loadedContract, err error) {
	s := c.shard(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[account]
	close(entry.loadDone)
	entry.loadDone = nil
	entry.loadErr = err
	if err == nil && loaded.asOf >= entry.asOf && loaded.revision >= entry.revision {
		entry.contract = loaded.contract
		entry.compressed = loaded.compressed
		entry.revision = loaded.revision
		entry.asOf = loaded.asOf
	}
	if loaded.validatedAt.After(entry.validatedAt) {
		entry.validatedAt = loaded.validatedAt
	}
	s.updateSizes(entry)
	s.evict()
}

// updateSizes computes the memory of an entry again and moves the entry into or
// out of the decoded list.
func (s *cacheShard) updateSizes(entry *cacheEntry) {
	s.compressed.bytes -= entry.compressedBytes
	s.decoded.bytes -= entry.decodedBytes
	entry.compressedBytes = entry.compressed.bytes() + entryOverhead(entry.account)
	entry.decodedBytes = contractSize(entry.contract)
	s.compressed.bytes += entry.compressedBytes
	s.decoded.bytes += entry.decodedBytes
	switch {
	case entry.contract != nil && entry.decodedElement == nil:
		entry.decodedElement = s.decoded.elements.PushFront(entry)
	case entry.contract == nil && entry.decodedElement != nil:
		s.decoded.elements.Remove(entry.decodedElement)
		entry.decodedElement = nil
	}
}

// evict removes copies until both memory limits hold. It keeps the most recently
// used copy of each list, and entries with a load in progress.
func (s *cacheShard) evict() {
	for e := s.decoded.elements.Back(); s.decoded.bytes > s.decoded.maxBytes && e != s.decoded.elements.Front(); {
		entry := e.Value.(*cacheEntry)
		e = e.Prev()
		entry.contract = nil
		s.updateSizes(entry)
	}
	for e := s.compressed.elements.Back(); s.compressed.bytes > s.compressed.maxBytes && e != s.compressed.elements.Front(); {
		entry := e.Value.(*cacheEntry)
		e = e.Prev()
		if entry.loadDone == nil {
			s.remove(entry)
		}
	}
}

func (s *cacheShard) remove(entry *cacheEntry) {
	entry.contract = nil
	s.updateSizes(entry)
	s.compressed.bytes -= entry.compressedBytes
	s.compressed.elements.Remove(entry.compressedElement)
	delete(s.entries, entry.account)
}

// bytes returns the memory of all copies in bytes.
func (c *cache) bytes() int {
	total := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		total += s.compressed.bytes + s.decoded.bytes
		s.mu.Unlock()
	}
	return total
}

// entryOverhead estimates the memory of an entry without its contract in bytes.
func entryOverhead(account contractor.Account) int {
	return int(unsafe.Sizeof(cacheEntry{})+2*unsafe.Sizeof(list.Element{})) + 2*len(account)
}

// contractSize estimates the memory of a decoded contract in bytes.
func contractSize(c *contractor.Contract) int {
	if c == nil {
		return 0
	}
	total := int(unsafe.Sizeof(*c)) + len(c.Account)
	for i := range c.Keys {
		total += int(unsafe.Sizeof(c.Keys[i])) + len(c.Keys[i].Hash) + len(c.Keys[i].Member)
	}
	for i := range c.Budgets {
		b := &c.Budgets[i]
		total += int(unsafe.Sizeof(*b)) + len(b.Name) + stringsSize(b.Members) + stringsSize(b.Models) + stringsSize(b.Services)
	}
	return total + total/allocatorOverheadDivisor
}

func stringsSize[S ~string](list []S) int {
	total := 0
	for _, s := range list {
		total += int(unsafe.Sizeof(s)) + len(s)
	}
	return total
}
