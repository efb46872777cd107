// Package throttler keeps the request limits that upstreams state.
//
// An upstream that rejects a request may ask for a pause, a time in which this daemon sends it no further
// requests.
//
// At times the upstreams of a service are brittle: they state how many requests a second they can
// reject for lack of capacity, and fail when they have to reject more. Each daemon then has few requests
// at each of them that are not accepted yet, and pauses one that has rejected a request.
//
// An overloaded upstream states in its responses how many requests per second it accepts from
// all daemons together. The limit applies from then on until a response without one.
// Responses can overtake each other: one without a limit, or with a higher one, counts only
// if its request was sent after the limit was last stated.
//
// The daemons keep a limit together without asking each other for each request. A few of
// them, the owners, divide most of the rate; rendezvous hashing determines them, in the same
// way on every daemon that knows the same members. A rate of less than two requests per
// second has one owner, because each owner may send one request at any time and all of these
// may come at once. The remaining daemons share what is left as rare permissions for a single
// request, so that each of them sees the end of the limit although notices may be lost.
// Daemons tell each other of limits in their notices (package announcer).
//
// An upstream is cold for some seconds after its start and crashes when it gets many requests in that time.
// Its limit is divided in the same way, but so that even the requests of any one second stay within a
// maximum; it ends by itself. An upstream counts as cold while its entry or a response says so, after
// its zone returns from an evacuation, and after this daemon could not reach it.
//
//	t := throttler.New(throttler.Config{Self: address, Members: members, Recorder: rec})
//	id := throttler.IDOf("i-7", startedAtMs)
//	if t.Allows(now, id) {
//		t.Take(now, id) // and send the request
//	}
//	t.Record(id, throttler.Response{Upstream: "i-7", SentAt: sentAt, ReceivedAt: now, Limit: limit})
package throttler

import (
	"encoding/binary"
	"iter"
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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

// ParseRate returns a number of requests per second. A text that is not one stands for zero: the
// upstream is overloaded.
func ParseRate(text string) float64 {
	rate, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(rate >= 0) || math.IsInf(rate, 0) {
		return 0
	}
	return rate
}

// ParsePause returns the time in a Retry-After header in seconds, at most maxPause. A text that is
// not a number of seconds states no pause.
func ParsePause(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second))
}

const maxPause = time.Hour

// Response is what a response says about the limit of its upstream.
type Response struct {
	// Upstream is the name for logs.
	Upstream string
	// SentAt is when the request was sent, ReceivedAt when the header of the response arrived.
	SentAt, ReceivedAt time.Time
	// Retry is true if it was not the first attempt of the request.
	Retry bool
	Limit Limit
	// Pause is how long the daemon sends the upstream no request. Zero means that it states
	// none.
	Pause time.Duration
	// Service is the service of the upstream, Rejected is true if the upstream had no capacity for
	// the request, and Rejections says how many rejections it bears.
	Service    string
	Rejected   bool
	Rejections Rejections
	// Warmup is what the response says about how much longer the upstream is cold. Address is that of the
	// upstream. Unreachable is true instead of all else if no connection could be opened, Misdirected if
	// another upstream has the address. Refused is true if the upstream's host refused the connection.
	Warmup                            WarmupStatement
	Address                           netip.AddrPort
	Unreachable, Refused, Misdirected bool
}

// Config holds what a Throttler needs.
type Config struct {
	// Self is the address of this daemon among Members.
	Self netip.AddrPort
	// Members returns the addresses of the other daemons of the fleet. It reports false while
	// they are not known; the daemon then sends nothing to upstreams with a limit. Nil means
	// that there are no others.
	Members func() ([]netip.AddrPort, bool)
	// MembersCurrent reports whether the other daemons agree about the members of the fleet. While they
	// may not, the daemon sends nothing to cold upstreams. Nil means that they always do.
	MembersCurrent func(now time.Time) bool
	// Warmup describes the cold upstreams of a service. Nil means that upstreams are never cold.
	Warmup func(service string) Warmup
	// SuspectUnreachable reports whether a connection that timed out shows that an upstream of the service
	// may have restarted. It does not if the daemon itself is overloaded or reaches no upstream. Nil means
	// that it always does.
	SuspectUnreachable func(service string) bool
	// Changed is called when an upstream has stated another limit than before. Nil means that
	// nobody needs to know.
	Changed func()
	// Random returns numbers from 0 to below 1. Nil means math/rand/v2.
	Random   func() float64
	Recorder *recorder.Recorder
}

// Throttler holds the limits of all upstreams. It is safe for concurrent use.
type Throttler struct {
	config Config
	// restricted is the number of limits, pauses and cold upstreams.
	restricted atomic.Int64

	mu     sync.Mutex
	limits map[ID]*state
	// pauses has the end of the pause of each upstream.
	pauses map[ID]time.Time
	cold   map[ID]*coldState
	// coldFilter has the keys of cold.
	coldFilter coldFilter
	members    members
	// brittle has the services whose upstreams are brittle. brittleServices is their number.
	brittle         map[string]brittleness
	brittleServices atomic.Int64
	brittleSenders  map[ID]brittleSender
}

// state is the limit of one upstream and the share of this daemon.
type state struct {
	limit Limit
	// statedAt is when the limit was last stated, or when the request was sent whose response
	// ended it.
	statedAt time.Time
	share    share
	// unlistedAt is when the upstream was first seen to be unlisted, or zero.
	unlistedAt time.Time
	// announcements is the number of notices that are still to carry the limit.
	announcements int
}

// New returns a Throttler without limits.
func New(c Config) *Throttler {
	if c.Members == nil {
		c.Members = func() ([]netip.AddrPort, bool) { return nil, true }
	}
	if c.MembersCurrent == nil {
		c.MembersCurrent = func(time.Time) bool { return true }
	}
	if c.Warmup == nil {
		c.Warmup = func(string) Warmup { return Warmup{} }
	}
	if c.SuspectUnreachable == nil {
		c.SuspectUnreachable = func(string) bool { return true }
	}
	if c.Changed == nil {
		c.Changed = func() {}
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	return &Throttler{
		config: c, limits: make(map[ID]*state), pauses: make(map[ID]time.Time), cold: make(map[ID]*coldState),
		brittle: make(map[string]brittleness), brittleSenders: make(map[ID]brittleSender),
	}
}

// Record records what a response says about the limit of its upstream.
func (t *Throttler) Record(id ID, r Response) {
	start := Start{ID: id, Upstream: r.Upstream, Service: r.Service, Address: r.Address}
	if r.Unreachable {
		if r.Refused || t.config.SuspectUnreachable(r.Service) {
			t.MarkUnreachable(r.ReceivedAt, start)
		} else {
			t.config.Recorder.Count("throttler.unreachable_ignored", 1)
		}
		return
	}
	if !r.Misdirected {
		t.MarkReached(r.ReceivedAt, id)
		t.RecordWarmup(r.ReceivedAt, start, r.Warmup)
	}
	t.recordBrittle(id, r)
	if !r.Limit.Stated && r.Pause <= 0 && t.restricted.Load() == 0 {
		return
	}
	t.pause(id, r)
	if t.record(id, r) {
		t.config.Changed()
	}
}

// pause records the pause of an upstream. The latest end counts.
func (t *Throttler) pause(id ID, r Response) {
	if r.Pause <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	end, paused := t.pauses[id]
	if !paused {
		t.restricted.Add(1)
		t.config.Recorder.Event(recorder.UpstreamPaused, "upstream", r.Upstream, "pause", r.Pause)
	}
	if until := r.ReceivedAt.Add(r.Pause); until.After(end) {
		t.pauses[id] = until
	}
}

// isPaused reports whether an upstream is paused. It deletes a pause that has ended. The
// lock is held.
func (t *Throttler) isPaused(now time.Time, id ID) bool {
	end, paused := t.pauses[id]
	if paused && !now.Before(end) {
		t.restricted.Add(-1)
		delete(t.pauses, id)
		return false
	}
	return paused
}

// record reports whether the limit has changed.
func (t *Throttler) record(id ID, r Response) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limits[id]
	if !r.Limit.Stated && (s == nil || !s.limit.Stated) {
		return false
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
			return false
		}
	}
	previous := s.limit
	t.set(s, r.Limit, statedAt)
	s.announcements = announcementsPerLimit
	if r.Limit == previous {
		return false
	}
	t.config.Recorder.Event(recorder.UpstreamLimited, "upstream", r.Upstream, "limited", r.Limit.Stated, "rate", r.Limit.Rate,
		"previous_limited", previous.Stated, "previous_rate", previous.Rate, "took", r.ReceivedAt.Sub(r.SentAt))
	return true
}

// set changes the limit of an upstream. The lock is held.
func (t *Throttler) set(s *state, l Limit, statedAt time.Time) {
	if l.Stated != s.limit.Stated {
		change := int64(1)
		if !l.Stated {
			change = -1
		}
		t.restricted.Add(change)
		s.share = share{}
	}
	if l.Rate != s.limit.Rate {
		s.share.computedAt = time.Time{}
	}
	s.limit, s.statedAt = l, statedAt
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
	if t.restricted.Load() == 0 {
		return Limit{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.limits[id]; s != nil {
		return s.limit
	}
	return Limit{}
}

// Allows reports whether this daemon may send a request to an upstream now.
func (t *Throttler) Allows(now time.Time, id ID) bool {
	if t.restricted.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isPaused(now, id) {
		return false
	}
	if c := t.coldState(now, id); c != nil && !t.hasColdShare(now, id, c) {
		return false
	}
	s := t.limits[id]
	return s == nil || !s.limit.Stated || t.hasShare(now, id, s)
}

// IsRestricted reports whether an upstream is paused, cold or brittle, or has a limit. Extra requests, which nobody
// needs to be served, are not sent to such an upstream: they would take a permission away from others.
func (t *Throttler) IsRestricted(now time.Time, service string, id ID) bool {
	if t.restricted.Load() == 0 && t.brittleServices.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if b, known := t.brittle[service]; known && now.Sub(b.statedAt) <= brittleRetention {
		return true
	}
	s := t.limits[id]
	return t.isPaused(now, id) || t.coldState(now, id) != nil || s != nil && s.limit.Stated
}

// recheckInterval is the time without a statement of a limit after which a request should show
// whether the limit still applies.
const recheckInterval = 5 * time.Second

// RetryAfter returns the expected time until one of some upstreams accepts another request of the
// fleet, or zero if none has a limit or a pause. Another daemon may have the share that allows it.
func (t *Throttler) RetryAfter(now time.Time, ids iter.Seq[ID]) time.Duration {
	if t.restricted.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	wait, rate := time.Duration(0), 0.0
	for id := range ids {
		if t.isPaused(now, id) {
			if rest := t.pauses[id].Sub(now); wait == 0 || rest < wait {
				wait = rest
			}
			continue
		}
		s, c := t.limits[id], t.coldState(now, id)
		switch {
		case s != nil && s.limit.Stated:
			rate += max(s.limit.Rate, minRate)
		case c != nil:
			rate += max(c.warmup.Rate, minRate)
		}
	}
	if rate > 0 {
		if mean := time.Duration(float64(time.Second) / rate); wait == 0 || mean < wait {
			wait = mean
		}
	}
	if wait == 0 {
		return 0
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// IsStale reports whether an upstream has stated its limit to no daemon for recheckInterval, as far
// as this daemon knows.
func (t *Throttler) IsStale(now time.Time, id ID) bool {
	if t.restricted.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.limits[id]
	return s != nil && s.limit.Stated && now.Sub(s.statedAt) > recheckInterval
}

// Take counts a request that is sent to an upstream. It reports whether Allows is true.
func (t *Throttler) Take(now time.Time, id ID) bool {
	if t.restricted.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isPaused(now, id) {
		return false
	}
	c := t.coldState(now, id)
	if c != nil && !t.hasColdShare(now, id, c) {
		return false
	}
	if s := t.limits[id]; s != nil && s.limit.Stated {
		if !t.hasShare(now, id, s) {
			return false
		}
		s.share.take()
	}
	if c != nil {
		c.share.take()
		t.config.Recorder.Count("throttler.cold", 1)
	}
	return true
}

// unlistedRetention is how long the limit of an upstream that is no longer listed is kept. Entries
// of live upstreams may expire while the store is away.
const unlistedRetention = time.Minute

// Retain deletes the limits and pauses of upstreams that have not been listed for
// unlistedRetention. It is called when the list changes.
func (t *Throttler) Retain(now time.Time, listed map[ID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.limits {
		switch {
		case listed[id]:
			s.unlistedAt = time.Time{}
		case s.unlistedAt.IsZero():
			s.unlistedAt = now
		case now.Sub(s.unlistedAt) >= unlistedRetention:
			t.set(s, Limit{}, s.statedAt)
			delete(t.limits, id)
		}
	}
	for id := range t.pauses {
		t.isPaused(now, id) // deletes a pause that has ended
	}
	t.retainCold(now, listed)
	clear(t.brittleSenders)
}
