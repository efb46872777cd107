package limiter

import (
	"hash/maphash"
	"sync"
)

// flowHeap orders the flows that wait by the service they received.
type flowHeap []*flow

// Len returns the number of flows.
func (h flowHeap) Len() int { return len(h) }

// Less reports whether flow i received less service than flow j.
func (h flowHeap) Less(i, j int) bool { return h[i].virtual < h[j].virtual }

// Swap exchanges two flows.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push adds a flow. Use heap.Push.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.position = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow. Use heap.Pop.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	*h = (*h)[:last]
	f.position = -1
	return f
}

type gateShard struct {
	mu    sync.Mutex
	gates map[string]*TargetLimiter
}

// gateShards holds the gates of all targets.
type gateShards struct {
	seed   maphash.Seed
	shards [gateShardCount]gateShard
}

func (s *gateShards) init() {
	s.seed = maphash.MakeSeed()
	for i := range s.shards {
		s.shards[i].gates = make(map[string]*TargetLimiter)
	}
}

func (s *gateShards) gate(target string, c *Config) *TargetLimiter {
	shard := &s.shards[maphash.String(s.seed, target)%gateShardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	g := shard.gates[target]
	if g == nil {
		g = newGate(target, c)
		shard.gates[target] = g
	}
	return g
}
