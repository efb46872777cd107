package emulator

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"
	"time"

	"laburnumline/dispatcher"
)

// maxEventLog is the number of cache events that an engine retains.
const maxEventLog = 8192

// prefixCache is an LRU cache of prompt blocks that publishes its changes as events.
type prefixCache struct {
	mu           sync.Mutex
	capacity     int
	eventDelay   time.Duration
	dropEvery    uint64
	recent       *list.List
	blocks       map[uint64]*list.Element
	lastSequence uint64
	events       []publishedEvent
}

type publishedEvent struct {
	dispatcher.CacheEvent
	visibleAt time.Time
}

type eventsResponse struct {
	Events []dispatcher.CacheEvent `json:"events"`
}

func (c *prefixCache) init(config EngineConfig) {
	c.capacity = config.CacheBlocks
	c.eventDelay = config.EventDelay
	c.dropEvery = config.DropEventEvery
	c.recent = list.New()
	c.blocks = make(map[uint64]*list.Element)
}

// insert adds a prompt's blocks and returns the length in blocks of its cached prefix.
func (c *prefixCache) insert(blocks []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	for cached < len(blocks) && c.blocks[blocks[cached]] != nil {
		cached++
	}
	var event dispatcher.CacheEvent
	for _, b := range blocks {
		if e := c.blocks[b]; e != nil {
			c.recent.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.recent.PushFront(b)
		event.Stored = append(event.Stored, b)
	}
	event.Evicted = c.evict()
	c.publish(event)
	return cached
}

func (c *prefixCache) evict() []uint64 {
	var evicted []uint64
	for c.recent.Len() > c.capacity {
		b := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, b)
		evicted = append(evicted, b)
	}
	return evicted
}

func (c *prefixCache) publish(event dispatcher.CacheEvent) {
	if len(event.Stored)+len(event.Evicted) == 0 {
		return
	}
	c.lastSequence++
	event.Sequence = c.lastSequence
	if c.dropEvery > 0 && event.Sequence%c.dropEvery == 0 {
		return
	}
	c.events = append(c.events, publishedEvent{event, time.Now().Add(c.eventDelay)})
	if len(c.events) > maxEventLog {
		c.events = c.events[1:]
	}
}

// clear drops all blocks without publishing an event, as a crash does.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent.Init()
	clear(c.blocks)
}

func (c *prefixCache) since(after uint64, now time.Time) []dispatcher.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []dispatcher.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > after && !e.visibleAt.After(now) {
			events = append(events, e.CacheEvent)
		}
	}
	return events
}

func (c *prefixCache) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	writeJSON(w, eventsResponse{Events: c.since(after, time.Now())})
}
