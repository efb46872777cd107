package throttler

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownerFraction is the fraction of a limit that its owners divide. The other daemons send
	// the rest, at random times.
	ownerFraction = 0.75
	// burstDuration is the time over which an owner may save up its rate, but at least one
	// request.
	burstDuration = 500 * time.Millisecond
	// permissionDuration is how long a daemon that is not an owner may use a permission for one
	// request. It is short, because permissions that are saved up may all be used at once.
	permissionDuration = time.Second
	// minRate is the rate of limits below it, in requests per second. Only a response shows
	// whether an upstream that wanted no requests accepts some again.
	minRate = 0.05
	// shareLifetime is the time between two computations of a share.
	shareLifetime = time.Second
)

// share is the part of a limit that one daemon may use.
type share struct {
	computedAt time.Time // zero if the share has to be computed
	// owner is true if the daemon has a token bucket with rate requests per second.
	owner       bool
	rate, burst float64
	tokens      float64
	filledAt    time.Time
	// permission is the probability that a daemon that is not an owner may send one request
	// within permissionDuration.
	permission     float64
	permitted      bool
	permittedUntil time.Time
}

// members are the daemons of the fleet.
type members struct {
	others   []netip.AddrPort
	known    bool
	loadedAt time.Time
	// settledSize is the size of the fleet from which growth counts. Until unsettledUntil, other daemons
	// may know more members than this one.
	settledSize    int
	unsettledUntil time.Time
}

// hasShare reports whether the share of this daemon allows a request to an upstream with a limit. The
// lock is held.
func (t *Throttler) hasShare(now time.Time, id ID, s *state) bool {
	if !t.loadMembers(now) {
		return false
	}
	if s.share.computedAt.IsZero() || now.Sub(s.share.computedAt) > shareLifetime {
		t.computeShare(now, id, s)
	}
	if s.share.owner {
		return s.share.refill(now) >= 1
	}
	return s.share.drawPermission(now, t.config.Random)
}

func (t *Throttler) loadMembers(now time.Time) bool {
	m := &t.members
	if m.loadedAt.IsZero() || now.Sub(m.loadedAt) > shareLifetime {
		m.others, m.known = t.config.Members()
		m.loadedAt = now
		m.settle(now)
	}
	return m.known
}

// settle notes when the fleet has grown by more than a quarter, or has no other members at first.
func (m *members) settle(now time.Time) {
	size := len(m.others) + 1
	if m.known && (m.settledSize == 0 && size == 1 || m.settledSize > 0 && 4*size > 5*m.settledSize) {
		m.unsettledUntil = now.Add(membersSettleTime)
	}
	if m.known {
		m.settledSize = size
	}
}

// computeShare computes the share of this daemon in a limit.
func (t *Throttler) computeShare(now time.Time, id ID, s *state) {
	rate := max(s.limit.Rate, minRate)
	fleet := len(t.members.others) + 1
	owners := min(max(int(rate), 1), fleet)
	others := fleet - owners
	owner := t.isOwner(id, owners)
	if owner != s.share.owner || s.share.filledAt.IsZero() {
		s.share = share{filledAt: now}
	}
	s.share.computedAt, s.share.owner = now, owner
	if !owner {
		s.share.permission = min((1-ownerFraction)*rate*permissionDuration.Seconds()/float64(others), 1)
		return
	}
	if others > 0 {
		rate *= ownerFraction
	}
	s.share.rate = rate / float64(owners)
	s.share.burst = max(s.share.rate*burstDuration.Seconds(), 1)
}

// isOwner reports whether this daemon is among the first by rendezvous hashing.
func (t *Throttler) isOwner(id ID, owners int) bool {
	own, before := rendezvousWeight(id, t.config.Self), 0
	for _, other := range t.members.others {
		if rendezvousWeight(id, other) > own {
			before++
		}
	}
	return before < owners
}

func rendezvousWeight(id ID, member netip.AddrPort) uint64 {
	var b [26]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(id))
	address := member.Addr().As16()
	copy(b[8:24], address[:])
	binary.LittleEndian.PutUint16(b[24:], member.Port())
	return xxhash.Sum64(b[:])
}

// refill adds the tokens since the last call and returns how many there are.
func (s *share) refill(now time.Time) float64 {
	if elapsed := now.Sub(s.filledAt); elapsed > 0 {
		s.tokens = min(s.tokens+elapsed.Seconds()*s.rate, s.burst)
		s.filledAt = now
	}
	return s.tokens
}

// drawPermission draws a permission once in permissionDuration and reports whether there is one.
func (s *share) drawPermission(now time.Time, random func() float64) bool {
	if !now.Before(s.permittedUntil) {
		s.permitted = random() < s.permission
		s.permittedUntil = now.Add(permissionDuration)
	}
	return s.permitted
}

func (s *share) take() {
	if s.owner {
		s.tokens--
		return
	}
	s.permitted = false
}
