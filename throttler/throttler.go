// Package throttler keeps the request limits that upstreams state.
//
// An upstream in need states in its responses how many requests per second it accepts from
// all daemons together. The limit applies from then on until a response without one.
// Responses can overtake each other: one without a limit, or with a higher one, counts only
// if its request was sent after the limit was last stated.
//
//	t := throttler.New(throttler.Config{Recorder: rec})
//	id := throttler.IDOf("i-7", startedAtMs)
//	t.Record(id, throttler.Response{Upstream: "i-7", SentAt: sentAt, ReceivedAt: now, Limit: limit})
package throttler

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumline/recorder"
)

// ID identifies one start of an upstream.
type ID uint64

// IDOf returns the ID of an upstream that has started at a time in Unix milliseconds. Zero
// means that the time is not known.
func IDOf(name string, startedAtMs int64) ID {
	d := xxhash.New()
	_, _ = d.WriteString(name) // writing to a digest does not fail
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(startedAtMs)))
	return ID(d.Sum64())
}

// Limit is what an upstream states about its limit in a response. The zero value means that
// it states none.
type Limit struct {
	Stated bool
	// Rate is the limit in requests per second.
	Rate float64
}

// Response is what a response says about the limit of its upstream.
type Response struct {
	// Upstream is the name for logs.
	Upstream string
	// SentAt is when the request was sent, ReceivedAt when the header of the response arrived.
	SentAt, ReceivedAt time.Time
	// Retry is true if it was not the first attempt of the request.
	Retry bool
	Limit Limit
}

// Config holds what a Throttler needs.
type Config struct {
	Recorder *recorder.Recorder
}

// Throttler holds the limits of all upstreams. It is safe for concurrent use.
type Throttler struct {
	config Config

	mu     sync.Mutex
	limits map[ID]*state
}

// state is the limit of one upstream.
type state struct {
	limit Limit
	// statedAt is when the limit was last stated, or when the request was sent whose response
	// ended it.
	statedAt time.Time
}

// New returns a Throttler without limits.
func New(c Config) *Throttler { return &Throttler{config: c, limits: make(map[ID]*state)} }

// Record records what a response says about the limit of its upstream.
func (t *Throttler) Record(id ID, r Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limits[id]
	if s == nil && !r.Limit.Stated {
		return
	}
	if s == nil {
		s = &state{}
		t.limits[id] = s
	}
	if r.Limit.Stated {
		t.count(r.Retry)
	}
	statedAt := r.ReceivedAt
	if !r.Limit.Stated || s.limit.Stated && r.Limit.Rate > s.limit.Rate {
		if statedAt = r.SentAt; !statedAt.After(s.statedAt) {
			return
		}
	}
	if r.Limit != s.limit {
		t.config.Recorder.Event(recorder.UpstreamLimited, "upstream", r.Upstream, "limited", r.Limit.Stated, "rate", r.Limit.Rate,
			"previous_limited", s.limit.Stated, "previous_rate", s.limit.Rate, "took", r.ReceivedAt.Sub(r.SentAt))
	}
	s.limit, s.statedAt = r.Limit, statedAt
}

func (t *Throttler) count(retry bool) {
	name := "throttler.first"
	if retry {
		name = "throttler.retry"
	}
	t.config.Recorder.Count(name, 1)
}

// LimitOf returns the limit of an upstream.
func (t *Throttler) LimitOf(id ID) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.limits[id]; s != nil {
		return s.limit
	}
	return Limit{}
}
