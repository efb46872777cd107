package tracker

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/recorder"
)

const (
	// goneLimit is the time for which gone members are remembered.
	goneLimit = 10 * time.Minute
	// lostPolls is the number of failed polls in a row after which a member of
	// another zone is passed over.
	lostPolls = 2
	// roundTripWeight is the weight of a new round trip in the moving average.
	roundTripWeight = 0.2
	// unknownRoundTrip is taken for members that have not been probed.
	unknownRoundTrip = time.Hour
)

// member is one daemon as this one sees it.
type member struct {
	Record
	// expiry is when the suspicion of a member of the own zone ends.
	expiry time.Time
	// detected is true when this daemon raised the suspicion.
	detected  bool
	roundTrip time.Duration
	// missed counts failed polls of a member of another zone in a row.
	missed int
	gone   bool
	// changed is when the record last changed.
	changed time.Time
}

// notice is an event that the adapter logs.
type notice struct {
	code recorder.Code
	peer messenger.Peer
}

// view is the membership as one daemon sees it. It does no I/O.
type view struct {
	config  *Config
	self    *member
	members map[contractor.VM]*member
	digests map[contractor.Zone]uint64
	listing listing
	random  *rand.Rand
	plan    plan

	// starvations counts suspicions that were not raised as this daemon was slow.
	starvations int64
	// dirty is true when the board has to be made anew.
	dirty bool
	// news holds records to be told to the zone.
	news    []Record
	notices []notice
}

func newView(c *Config, now time.Time) *view {
	seed := xxhash.Sum64String(string(c.Self.VM))
	v := &view{
		config:  c,
		members: make(map[contractor.VM]*member),
		digests: make(map[contractor.Zone]uint64),
		random:  rand.New(rand.NewPCG(seed, uint64(c.Self.Incarnation))),
	}
	v.plan.start(v, now)
	v.self = &member{Record: Record{Peer: c.Self}, changed: now}
	v.members[c.Self.VM] = v.self
	v.digests[c.Self.Zone] = v.self.digest()
	v.dirty = true
	return v
}

// live reports whether requests should be sent to the member.
func (v *view) live(m *member) bool {
	return m.State != Unreachable && !m.gone && m.missed < lostPolls
}

// leaving reports whether the member stops soon.
func (v *view) leaving(m *member) bool {
	return m.Leaving || v.listing.state(m.Peer.VM) == VMLeaving
}

func (v *view) local(m *member) bool { return m.Peer.Zone == v.self.Peer.Zone }

// digest returns a hash of all records, equal in daemons that agree.
func (v *view) digest() uint64 {
	var sum uint64
	for zone, d := range v.digests {
		if d != 0 {
			sum ^= mix(d ^ xxhash.Sum64String(string(zone)))
		}
	}
	return sum
}

// merge takes in records of other daemons.
func (v *view) merge(records []Record, now time.Time) {
	for _, r := range records {
		if !r.valid() {
			continue
		}
		if r.Peer.VM == v.self.Peer.VM {
			v.mergeSelf(r, now)
			continue
		}
		m, known := v.members[r.Peer.VM]
		if !known {
			v.add(r, now)
			continue
		}
		v.set(m, m.join(r), now)
	}
}

func (v *view) add(r Record, now time.Time) {
	m := &member{Record: Record{Peer: r.Peer, State: Unreachable}}
	v.members[r.Peer.VM] = m
	v.set(m, r, now)
}

// mergeSelf contradicts a suspicion of this daemon.
func (v *view) mergeSelf(r Record, now time.Time) {
	if r.Peer.Incarnation != v.self.Peer.Incarnation {
		if r.Peer.Incarnation > v.self.Peer.Incarnation {
			v.note(recorder.PeerOutdated, r.Peer)
		}
		return
	}
	v.contradict(r.Sequence, r.State, now)
}

// contradict raises the own sequence above that of a suspicion and tells the zone.
func (v *view) contradict(sequence uint32, state State, now time.Time) {
	if state == Alive || sequence < v.self.Sequence {
		return
	}
	r := v.self.Record
	r.Sequence = sequence + 1
	v.set(v.self, r, now)
	v.news = append(v.news, r)
}

// leave announces the planned stop of this daemon.
func (v *view) leave(now time.Time) Record {
	r := v.self.Record
	r.Leaving = true
	v.set(v.self, r, now)
	return r
}

// suspect records that a member did not answer since asked, unless it has shown
// that it is alive or this daemon itself was too slow.
func (v *view) suspect(r Record, asked, now time.Time) {
	m, ok := v.members[r.Peer.VM]
	if !ok || m.Record != r || m.State != Alive {
		return
	}
	// A direct probe takes up to ProbeTimeout, one by helpers twice that.
	longest := 3 * v.config.ProbeTimeout
	if now.Before(v.plan.starved) || 2*now.Sub(asked) > 3*longest {
		v.starvations++
		return
	}
	r.State = Suspect
	v.set(m, r, now)
	m.detected = true
	v.news = append(v.news, r)
}

// expire ends suspicions whose time is over.
func (v *view) expire(now time.Time) {
	v.resume(now)
	for _, m := range v.members {
		if m.State != Suspect || !v.local(m) || now.Before(m.expiry) {
			continue
		}
		detected := m.detected
		v.remove(m, now)
		if detected {
			v.news = append(v.news, m.Record)
		}
	}
}

// nextExpiry returns when the next suspicion ends, or zero.
func (v *view) nextExpiry() time.Time {
	var next time.Time
	for _, m := range v.members {
		if m.State != Suspect || !v.local(m) {
			continue
		}
		if next.IsZero() || m.expiry.Before(next) {
			next = m.expiry
		}
	}
	return next
}

// remove marks a member as unreachable.
func (v *view) remove(m *member, now time.Time) {
	r := m.Record
	r.State = Unreachable
	v.set(m, r, now)
}

// set changes the record of a member and all that follows from it.
func (v *view) set(m *member, r Record, now time.Time) {
	if m.Record == r {
		return
	}
	old := m.Record
	m.Record = r
	v.digests[old.Peer.Zone] ^= old.digest()
	v.digests[r.Peer.Zone] ^= r.digest()
	v.dirty = true
	m.changed = now
	if old.Peer.Incarnation != r.Peer.Incarnation || r.State == Alive {
		m.gone, m.missed = false, 0
	}
	m.detected = false
	if r.State == Suspect {
		m.expiry = now.Add(v.config.SuspicionTimeout)
	}
	if r.State == Unreachable {
		v.retry(m, now)
	} else {
		delete(v.plan.candidates, r.Peer.VM)
	}
	v.noteChange(old, r)
}

func (v *view) noteChange(old, r Record) {
	restarted := old.Peer.Incarnation != r.Peer.Incarnation
	switch {
	case r.State != Unreachable && (old.State == Unreachable || restarted):
		v.note(recorder.MemberJoined, r.Peer)
	case r.State == Suspect:
		v.note(recorder.MemberSuspected, r.Peer)
	case r.State == Alive && old.State == Suspect:
		v.note(recorder.MemberRestored, r.Peer)
	case r.State == Unreachable && old.State != Unreachable:
		v.note(recorder.MemberLost, r.Peer)
	}
	if r.Leaving && !old.Leaving {
		v.note(recorder.MemberLeaving, r.Peer)
	}
}

func (v *view) note(code recorder.Code, peer messenger.Peer) {
	v.notices = append(v.notices, notice{code, peer})
}

// heard takes in that a member answered this daemon.
func (v *view) heard(r Record, roundTrip time.Duration, now time.Time) {
	v.merge([]Record{r}, now)
	m, ok := v.members[r.Peer.VM]
	if !ok {
		return
	}
	if m.missed >= lostPolls {
		v.restore(m.Peer.Zone)
	}
	m.missed = 0
	if m.roundTrip == 0 {
		m.roundTrip = roundTrip
	}
	m.roundTrip += time.Duration(roundTripWeight * float64(roundTrip-m.roundTrip))
}

// missed takes in that a member of another zone did not answer a poll.
func (v *view) missed(peer messenger.Peer) {
	m, ok := v.members[peer.VM]
	if !ok || m.Peer.Incarnation != peer.Incarnation {
		return
	}
	m.missed++
	if m.missed == lostPolls {
		v.dirty = true
	}
}

// restore gives the members of another zone new chances once one that was passed
// over answers again, as the link to the zone may have been cut.
func (v *view) restore(zone contractor.Zone) {
	v.dirty = true
	for _, m := range v.members {
		if m.Peer.Zone == zone {
			m.missed = 0
		}
	}
}

// isGone reports whether a run of a daemon has certainly ended.
func (v *view) isGone(vm contractor.VM, incarnation contractor.Incarnation) bool {
	m, ok := v.members[vm]
	if ok && m.Peer.Incarnation > incarnation {
		return true
	}
	if ok && m.State != Unreachable {
		return false
	}
	return v.listing.absent(vm) >= v.config.GoneAfter
}

// state returns the state of a member as others see it.
func (v *view) state(m *member) State {
	switch {
	case m.gone:
		return Gone
	case m.State == Alive && m.missed >= lostPolls:
		return Suspect
	case m.State == Alive && v.leaving(m):
		return Leaving
	}
	return m.State
}

// zonesByDistance returns the zones with live members, the own one first, then
// by the shortest round trip to a member.
func (v *view) zonesByDistance() []contractor.Zone {
	shortest := make(map[contractor.Zone]time.Duration)
	for _, m := range v.members {
		if !v.live(m) {
			continue
		}
		d := cmp.Or(m.roundTrip, unknownRoundTrip)
		if old, ok := shortest[m.Peer.Zone]; !ok || d < old {
			shortest[m.Peer.Zone] = d
		}
	}
	shortest[v.self.Peer.Zone] = 0
	return slices.SortedFunc(maps.Keys(shortest), func(a, b contractor.Zone) int {
		return cmp.Or(cmp.Compare(shortest[a], shortest[b]), cmp.Compare(a, b))
	})
}

func (v *view) copyDigests() map[contractor.Zone]uint64 { return maps.Clone(v.digests) }
