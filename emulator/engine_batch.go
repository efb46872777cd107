package emulator

import (
	"container/heap"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// batch holds the calls that share an engine. It admits waiting calls to its slots
// by priority, then by arrival.
type batch struct {
	mu        sync.Mutex
	slots     int
	reportLag time.Duration
	active    int
	arrivals  uint64
	waiting   waiters
	history   []loadSample
}

// loadSample is the load from a time until the next sample.
type loadSample struct {
	at      time.Time
	running int
	queued  int
}

type waiter struct {
	priority int
	order    uint64
	admitted chan struct{}
	index    int
}

func (b *batch) init(slots int, lag time.Duration) {
	b.slots = slots
	b.reportLag = lag
}

func (b *batch) acquire(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.active < b.slots {
		b.active++
		b.sample()
		b.mu.Unlock()
		return context.Cause(ctx)
	}
	b.arrivals++
	w := &waiter{priority: priority, order: b.arrivals, admitted: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.sample()
	b.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		b.abandon(w)
		return context.Cause(ctx)
	}
}

// abandon removes a waiter, or releases the slot if it has been admitted meanwhile.
func (b *batch) abandon(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&b.waiting, w.index)
		b.sample()
		return
	}
	b.admitNext()
}

func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admitNext()
}

func (b *batch) admitNext() {
	if len(b.waiting) > 0 {
		w := heap.Pop(&b.waiting).(*waiter)
		close(w.admitted)
	} else {
		b.active--
	}
	b.sample()
}

func (b *batch) running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.active
}

// sample records the load and drops the samples that are older than needed to
// report the load of one lag ago.
func (b *batch) sample() {
	now := time.Now()
	b.history = append(b.history, loadSample{at: now, running: b.active, queued: len(b.waiting)})
	for len(b.history) > 1 && !b.history[1].at.After(now.Add(-b.reportLag)) {
		b.history = b.history[1:]
	}
}

// lagged returns the load of one lag ago.
func (b *batch) lagged(now time.Time) loadSample {
	b.mu.Lock()
	defer b.mu.Unlock()
	var last loadSample
	for _, s := range b.history {
		if s.at.After(now.Add(-b.reportLag)) {
			break
		}
		last = s
	}
	return last
}

type loadResponse struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Slots   int   `json:"slots"`
	AgeMS   int64 `json:"age_ms"`
}

func (b *batch) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s := b.lagged(time.Now())
	writeJSON(w, loadResponse{Running: s.running, Queued: s.queued, Slots: b.slots, AgeMS: b.reportLag.Milliseconds()})
}

func writeJSON[T any](w http.ResponseWriter, response T) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// waiters is a heap of calls without a slot.
type waiters []*waiter

// Len returns the number of waiting calls.
func (h waiters) Len() int { return len(h) }

// Less puts lower priorities first, then earlier arrivals.
func (h waiters) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].order < h[j].order
}

// Swap exchanges two calls.
func (h waiters) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a *waiter.
func (h *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop removes the last *waiter.
func (h *waiters) Pop() any {
	old := *h
	w := old[len(old)-1]
	w.index = -1
	*h = old[:len(old)-1]
	return w
}
