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
	// maxRenewed bounds the copies that are loaded again after a reset.
	maxRenewed  = 256
	cacheShards = 16
	// allocatorShare is the part of an object, one in eight, that the allocator
	// adds by rounding up.
	allocatorShare = 8
)

// cache holds copies of contracts within two memory bounds: packed copies of
// many contracts, and unpacked ones of those in use. Least recently used ones
// leave first.
type cache struct {
	shards [cacheShards]cacheShard
}

type cacheShard struct {
	mu      sync.Mutex
	entries map[contractor.Account]*cached
	// packed holds all entries and hot those with an unpacked contract, the
	// most recently used first.
	packed bounded
	hot    bounded
}

// bounded is a list of entries with a memory bound.
type bounded struct {
	recent list.List
	bytes  int
	limit  int
}

// cached is the copy of one contract, or the knowledge that there is none.
type cached struct {
	account contractor.Account
	// contract is nil while only the packed copy is kept.
	contract *contractor.Contract
	packed   *CompressedContract
	// revision is zero when the account has no contract.
	revision contractor.Revision
	// asOf is the store's revision at which the copy is known to be right.
	asOf contractor.Revision
	// need is the revision that a copy has to be right at to be used.
	need contractor.Revision
	// validated is when the copy was last known to be current.
	validated time.Time
	// tried is when the copy was last asked for again.
	tried time.Time
	// loading is closed at the end of a load that goes on. Nil means none.
	loading chan struct{}
	// failed is the error of the last load.
	failed error

	inPacked *list.Element
	inHot    *list.Element
	// packedBytes and hotBytes are what the entry counts in each list.
	packedBytes int
	hotBytes    int
}

// usable reports whether the copy includes every change that is known of.
func (c *cached) usable() bool { return c.asOf != 0 && c.asOf >= c.need }

func newCache(hotBytes, packedBytes int) *cache {
	c := &cache{}
	for i := range c.shards {
		s := &c.shards[i]
		s.hot.limit = hotBytes / cacheShards
		s.packed.limit = packedBytes / cacheShards
		s.entries = make(map[contractor.Account]*cached)
	}
	return c
}

func (c *cache) shard(account contractor.Account) *cacheShard {
	return &c.shards[xxhash.Sum64String(string(account))%cacheShards]
}

// outdate notes that a contract changed at a revision.
func (c *cache) outdate(account contractor.Account, revision contractor.Revision) {
	s := c.shard(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.entries[account]; known != nil {
		known.need = max(known.need, revision)
	}
}

// outdateAll notes that any contract may have changed up to a revision.
func (c *cache) outdateAll(revision contractor.Revision) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for _, known := range s.entries {
			known.need = max(known.need, revision)
		}
		s.mu.Unlock()
	}
}

// recent returns the accounts with unpacked copies, at most limit.
func (c *cache) recent(limit int) []contractor.Account {
	var accounts []contractor.Account
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for e := s.hot.recent.Front(); e != nil && len(accounts) < limit; e = e.Next() {
			accounts = append(accounts, e.Value.(*cached).account)
		}
		s.mu.Unlock()
	}
	return accounts
}

// get returns a copy of what is known, which is the zero value when nothing is.
func (c *cache) get(account contractor.Account) cached {
	s := c.shard(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.entries[account]
	if known == nil {
		return cached{account: account}
	}
	s.packed.recent.MoveToFront(known.inPacked)
	if known.inHot != nil {
		s.hot.recent.MoveToFront(known.inHot)
	}
	return *known
}

// warm keeps the unpacked contract of a copy, unless the copy has changed.
func (c *cache) warm(account contractor.Account, packed *CompressedContract, contract *contractor.Contract) {
	s := c.shard(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.entries[account]
	if known == nil || known.packed != packed || known.contract != nil {
		return
	}
	known.contract = contract
	s.weigh(known)
	s.evict()
}

// begin starts a load, or returns the channel of the one that goes on.
func (c *cache) begin(account contractor.Account, now time.Time) (loading chan struct{}, first bool, need contractor.Revision) {
	s := c.shard(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.entries[account]
	if known == nil {
		known = &cached{account: account}
		s.entries[account] = known
		known.inPacked = s.packed.recent.PushFront(known)
	}
	if known.loading != nil {
		return known.loading, false, known.need
	}
	known.loading = make(chan struct{})
	known.tried = now
	return known.loading, true, known.need
}

// loadedContract is what a load found. Without a contract all but the times
// and asOf are zero.
type loadedContract struct {
	contract  *contractor.Contract
	packed    *CompressedContract
	revision  contractor.Revision
	asOf      contractor.Revision
	validated time.Time
}

// end finishes a load. It is forward only: an older copy changes nothing.
func (c *cache) end(account contractor.Account, loaded loadedContract, err error) {
	s := c.shard(account)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.entries[account]
	close(known.loading)
	known.loading = nil
	known.failed = err
	if err == nil && loaded.asOf >= known.asOf && loaded.revision >= known.revision {
		known.contract = loaded.contract
		known.packed = loaded.packed
		known.revision = loaded.revision
		known.asOf = loaded.asOf
	}
	if loaded.validated.After(known.validated) {
		known.validated = loaded.validated
	}
	s.weigh(known)
	s.evict()
}

// weigh counts the memory of an entry anew.
func (s *cacheShard) weigh(known *cached) {
	s.packed.bytes -= known.packedBytes
	s.hot.bytes -= known.hotBytes
	known.packedBytes = known.packed.bytes() + overhead(known.account)
	known.hotBytes = size(known.contract)
	s.packed.bytes += known.packedBytes
	s.hot.bytes += known.hotBytes
	switch {
	case known.contract != nil && known.inHot == nil:
		known.inHot = s.hot.recent.PushFront(known)
	case known.contract == nil && known.inHot != nil:
		s.hot.recent.Remove(known.inHot)
		known.inHot = nil
	}
}

// evict removes copies until both bounds hold. The most recently used copy and
// those that are being loaded stay.
func (s *cacheShard) evict() {
	for e := s.hot.recent.Back(); s.hot.bytes > s.hot.limit && e != s.hot.recent.Front(); {
		known := e.Value.(*cached)
		e = e.Prev()
		known.contract = nil
		s.weigh(known)
	}
	for e := s.packed.recent.Back(); s.packed.bytes > s.packed.limit && e != s.packed.recent.Front(); {
		known := e.Value.(*cached)
		e = e.Prev()
		if known.loading == nil {
			s.drop(known)
		}
	}
}

func (s *cacheShard) drop(known *cached) {
	known.contract = nil
	s.weigh(known)
	s.packed.bytes -= known.packedBytes
	s.packed.recent.Remove(known.inPacked)
	delete(s.entries, known.account)
}

// bytes returns the memory of all copies.
func (c *cache) bytes() int {
	total := 0
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		total += s.packed.bytes + s.hot.bytes
		s.mu.Unlock()
	}
	return total
}

// overhead estimates the memory of an entry besides its contract in bytes.
func overhead(account contractor.Account) int {
	return int(unsafe.Sizeof(cached{})+2*unsafe.Sizeof(list.Element{})) + 2*len(account)
}

// size estimates the memory of an unpacked contract in bytes.
func size(c *contractor.Contract) int {
	if c == nil {
		return 0
	}
	total := int(unsafe.Sizeof(*c)) + len(c.Account)
	for i := range c.Keys {
		total += int(unsafe.Sizeof(c.Keys[i])) + len(c.Keys[i].Hash) + len(c.Keys[i].Member)
	}
	for i := range c.Budgets {
		b := &c.Budgets[i]
		total += int(unsafe.Sizeof(*b)) + len(b.Name) + sizeOf(b.Members) + sizeOf(b.Models) + sizeOf(b.Services)
	}
	return total + total/allocatorShare
}

func sizeOf[S ~string](list []S) int {
	total := 0
	for _, s := range list {
		total += int(unsafe.Sizeof(s)) + len(s)
	}
	return total
}
