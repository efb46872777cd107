package router

import "sync"

const (
	prefixShards = 16
	// maxLocations is the largest number of upstreams kept for one block.
	maxLocations = 32
	// cacheLostGenerations is added to a cache generation when the cache is lost.
	// Locations that are this many generations old have no weight.
	cacheLostGenerations = 64
	// maxLevels is the largest number of prefix lengths at which a prompt is looked up.
	maxLevels = 40
)

// location is an upstream that probably has a block cached, with the upstream's
// cache generation when it was last known to have it.
type location struct {
	id              int32
	cacheGeneration uint32
}

// prefixTable maps prompt blocks to the upstreams that have probably cached them.
//
// A block's digest covers all blocks before it, so one digest identifies a whole
// prefix. Prompts are stored and looked up only at certain prefix lengths, the
// levels. Each level is at most about a third longer than the one before. The
// longest known prefix is found by binary search over the levels.
//
// Each shard has a young and an old map. Entries that are used move to the young
// map. When it is full, it becomes the old map and the previous old map is dropped.
type prefixTable struct {
	shards [prefixShards]prefixShard
	limit  int
}

type prefixShard struct {
	mu    sync.Mutex
	young map[uint64][]location
	old   map[uint64][]location
}

func newPrefixTable(limit int) *prefixTable {
	t := &prefixTable{limit: max(limit/prefixShards/2, 1)}
	for i := range t.shards {
		t.shards[i].young = make(map[uint64][]location)
	}
	return t
}

func (t *prefixTable) shard(digest uint64) *prefixShard {
	return &t.shards[mix(digest)%prefixShards]
}

// levelSizes holds the number of blocks at each level. The last level of a prompt
// is the whole prompt instead.
var levelSizes = func() (table [maxLevels]int) {
	level := 1
	for i := range table {
		table[i] = level
		level += 1 + level/3
	}
	return table
}()

// levelCount returns the number of levels of a prompt with a number of blocks.
func levelCount(blocks int) int {
	count := 0
	for count < maxLevels-1 && levelSizes[count] < blocks {
		count++
	}
	if blocks > 0 {
		count++
	}
	return count
}

// blocksAtLevel returns the number of blocks at level i of a prompt with count levels.
func blocksAtLevel(i, count, blocks int) int {
	if i == count-1 {
		return blocks
	}
	return levelSizes[i]
}

// find calls visit with the number of blocks and each location, for the levels
// that a binary search for the longest known prefix visits.
func (t *prefixTable) find(prefix []uint64, visit func(blocks int, l location)) {
	count := levelCount(len(prefix))
	low, high := 0, count
	for low < high {
		middle := (low + high) / 2
		blocks := blocksAtLevel(middle, count, len(prefix))
		if t.visitLocations(prefix[blocks-1], blocks, visit) {
			low = middle + 1
		} else {
			high = middle
		}
	}
}

// visitLocations calls visit for each location of a block and reports whether
// there is any.
func (t *prefixTable) visitLocations(digest uint64, blocks int, visit func(int, location)) bool {
	s := t.shard(digest)
	s.mu.Lock()
	defer s.mu.Unlock()
	locations := s.lookup(digest)
	for _, l := range locations {
		visit(blocks, l)
	}
	return len(locations) > 0
}

// lookup returns the locations of a block and moves an old entry to the young map.
func (s *prefixShard) lookup(digest uint64) []location {
	if locations, ok := s.young[digest]; ok {
		return locations
	}
	locations, ok := s.old[digest]
	if ok {
		s.young[digest] = locations
		delete(s.old, digest)
	}
	return locations
}

// store records that n will have cached the levels of a prompt that are longer
// than knownBlocks.
func (t *prefixTable) store(prefix []uint64, knownBlocks int, n *node) {
	count := levelCount(len(prefix))
	for i := range count {
		if blocks := blocksAtLevel(i, count, len(prefix)); blocks > knownBlocks {
			t.put(prefix[blocks-1], n)
		}
	}
}

func (t *prefixTable) put(digest uint64, n *node) {
	s := t.shard(digest)
	s.mu.Lock()
	defer s.mu.Unlock()
	locations := s.lookup(digest)
	s.young[digest] = addLocation(locations, location{n.id, n.cacheGeneration.Load()})
	if len(s.young) >= t.limit {
		s.old, s.young = s.young, make(map[uint64][]location, t.limit)
	}
}

func addLocation(locations []location, l location) []location {
	for i := range locations {
		if locations[i].id == l.id {
			locations[i] = l
			return locations
		}
	}
	if len(locations) < maxLocations {
		return append(locations, l)
	}
	locations[uint32(l.id)%maxLocations] = l
	return locations
}

// apply records the blocks that n has cached and evicted.
func (t *prefixTable) apply(e CacheEvent, n *node) {
	for _, digest := range e.Stored {
		t.put(digest, n)
	}
	for _, digest := range e.Evicted {
		t.remove(digest, n.id)
	}
}

func (t *prefixTable) remove(digest uint64, id int32) {
	s := t.shard(digest)
	s.mu.Lock()
	defer s.mu.Unlock()
	locations := s.lookup(digest)
	for i := range locations {
		if locations[i].id != id {
			continue
		}
		locations[i] = locations[len(locations)-1]
		locations = locations[:len(locations)-1]
		break
	}
	if len(locations) == 0 {
		delete(s.young, digest)
		return
	}
	s.young[digest] = locations
}
