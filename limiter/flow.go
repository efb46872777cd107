package limiter

import (
	"hash/maphash"
	"sync"
)

// flowHeap is a heap of the flows with waiting requests, ordered by virtual
// time.
type flowHeap []*flow

// Len returns the number of flows.
func (h flowHeap) Len() int { return len(h) }

// Less reports whether flow i has a lower virtual time than flow j.
func (h flowHeap) Less(i, j int) bool { return h[i].virtualTime < h[j].virtualTime }

// Swap exchanges two flows.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push adds a flow. Use heap.Push.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow. Use heap.Pop.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	*h = (*h)[:last]
	f.heapIndex = -1
	return f
}

type targetShard struct {
	mu      sync.Mutex
	targets map[string]*TargetLimiter
}

// targetTable holds the limiters of all targets in shards, each with a lock of
// its own.
type targetTable struct {
	seed   maphash.Seed
	shards [targetShardCount]targetShard
}

func (s *targetTable) init() {
	s.seed = maphash.MakeSeed()
	for i := range s.shards {
		s.shards[i].targets = make(map[string]*TargetLimiter)
	}
}

func (s *targetTable) target(name string, c *Config) *TargetLimiter {
	shard := &s.shards[maphash.String(s.seed, name)%targetShardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	t := shard.targets[name]
	if t == nil {
		t = newTargetLimiter(name, c)
		shard.targets[name] = t
	}
	return t
}
