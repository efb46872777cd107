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
	// goneRetention is the time for which gone members are remembered.
	goneRetention = 10 * time.Minute
	// maxFailedPolls is the number of consecutive failed polls after which a member
	// of another zone is excluded.
	maxFailedPolls = 2
	// roundTripWeight is the weight of a new round trip time in the moving average.
	roundTripWeight = 0.2
	// unknownRoundTrip is assumed for members that have not been pinged.
	unknownRoundTrip = time.Hour
)

// member is one daemon as this one sees it.
type member struct {
	Record
	// suspicionEnd is the time at which a suspect of the own zone becomes unreachable.
	suspicionEnd time.Time
	// suspectedHere is true when this daemon raised the suspicion.
	suspectedHere bool
	roundTrip     time.Duration
	// failedPolls counts the consecutive failed polls of a member of another zone.
	failedPolls int
	gone        bool
	// changed is the time of the last change of the record, or of gone.
	changed time.Time
}

// event is a change that the Tracker logs.
type event struct {
	code recorder.Code
	peer messenger.Peer
}

// view is the membership as one daemon sees it, and the rules by which it changes.
// It does no I/O.
type view struct {
	config  *Config
	self    *member
	members map[contractor.VM]*member
	digests map[contractor.Zone]uint64
	vmList  vmListHistory
	random  *rand.Rand
	plan    plan

	// suppressedSuspicions counts suspicions that were not raised because this
	// daemon itself was slow.
	suppressedSuspicions int64
	// dirty is true when the directory has to be rebuilt.
	dirty bool
	// toBroadcast holds records to be pushed to the zone.
	toBroadcast []Record
	events      []event
}

func newView(c *Config, now time.Time) *view {
	seed := xxhash.Sum64String(string(c.Self.VM))
	v := &view{
		config:  c,
		members: make(map[contractor.VM]*member),
		digests: make(map[contractor.Zone]uint64),
		random:  rand.New(rand.NewPCG(seed, uint64(c.Self.Incarnation))),
	}
	v.plan.init(v, now)
	v.self = &member{Record: Record{Peer: c.Self}, changed: now}
	v.members[c.Self.VM] = v.self
	v.digests[c.Self.Zone] = v.self.digest()
	v.dirty = true
	return v
}

// live reports whether requests may be sent to the member.
func (v *view) live(m *member) bool {
	return m.State != Unreachable && !m.gone && m.failedPolls < maxFailedPolls
}

// leaving reports whether a stop of the member or of its VM has been announced.
func (v *view) leaving(m *member) bool {
	return m.Leaving || v.vmList.state(m.Peer.VM) == VMLeaving
}

func (v *view) local(m *member) bool { return m.Peer.Zone == v.self.Peer.Zone }

// digest returns a hash of all records. It is equal in daemons with equal records.
func (v *view) digest() uint64 {
	var sum uint64
	for zone, d := range v.digests {
		if d != 0 {
			sum ^= mix(d ^ xxhash.Sum64String(string(zone)))
		}
	}
	return sum
}

// merge merges records received from other daemons into the view.
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
		v.setRecord(m, m.merge(r), now)
	}
}

func (v *view) add(r Record, now time.Time) {
	m := &member{Record: Record{Peer: r.Peer, State: Unreachable}}
	v.members[r.Peer.VM] = m
	v.setRecord(m, r, now)
}

// mergeSelf refutes a suspicion of this daemon, and reports a newer incarnation on
// its VM.
func (v *view) mergeSelf(r Record, now time.Time) {
	if r.Peer.Incarnation != v.self.Peer.Incarnation {
		if r.Peer.Incarnation > v.self.Peer.Incarnation {
			v.addEvent(recorder.PeerOutdated, r.Peer)
		}
		return
	}
	v.refute(r.Sequence, r.State, now)
}

// refute raises the own sequence above that of a suspicion and announces it to the
// zone.
func (v *view) refute(sequence uint32, state State, now time.Time) {
	if state == Alive || sequence < v.self.Sequence {
		return
	}
	r := v.self.Record
	r.Sequence = sequence + 1
	v.setRecord(v.self, r, now)
	v.toBroadcast = append(v.toBroadcast, r)
}

// leave marks this daemon as leaving and returns the record to be announced.
func (v *view) leave(now time.Time) Record {
	r := v.self.Record
	r.Leaving = true
	v.setRecord(v.self, r, now)
	return r
}

// suspect raises a suspicion of a member that has not answered a probe sent at
// sentAt, unless its record has changed since or this daemon itself was too slow.
func (v *view) suspect(r Record, sentAt, now time.Time) {
	m, ok := v.members[r.Peer.VM]
	if !ok || m.Record != r || m.State != Alive {
		return
	}
	// A direct ping takes up to ProbeTimeout, an indirect one twice that.
	maxProbeTime := 3 * v.config.ProbeTimeout
	if now.Before(v.plan.slowUntil) || 2*now.Sub(sentAt) > 3*maxProbeTime {
		v.suppressedSuspicions++
		return
	}
	r.State = Suspect
	v.setRecord(m, r, now)
	m.suspectedHere = true
	v.toBroadcast = append(v.toBroadcast, r)
}

// expireSuspicions marks those suspects of the own zone as unreachable that have not
// refuted the suspicion in time.
func (v *view) expireSuspicions(now time.Time) {
	v.detectPause(now)
	for _, m := range v.members {
		if m.State != Suspect || !v.local(m) || now.Before(m.suspicionEnd) {
			continue
		}
		suspectedHere := m.suspectedHere
		v.markUnreachable(m, now)
		if suspectedHere {
			v.toBroadcast = append(v.toBroadcast, m.Record)
		}
	}
}

// nextExpiry returns the time at which the next suspicion ends, or zero.
func (v *view) nextExpiry() time.Time {
	var next time.Time
	for _, m := range v.members {
		if m.State != Suspect || !v.local(m) {
			continue
		}
		if next.IsZero() || m.suspicionEnd.Before(next) {
			next = m.suspicionEnd
		}
	}
	return next
}

func (v *view) markUnreachable(m *member, now time.Time) {
	r := m.Record
	r.State = Unreachable
	v.setRecord(m, r, now)
}

// setRecord replaces the record of a member, and updates everything derived from
// it: the zone's digest, the candidates and the events.
func (v *view) setRecord(m *member, r Record, now time.Time) {
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
		m.gone, m.failedPolls = false, 0
	}
	m.suspectedHere = false
	if r.State == Suspect {
		m.suspicionEnd = now.Add(v.config.SuspicionTimeout)
	}
	if r.State == Unreachable {
		v.addUnreachable(m, now)
	} else {
		delete(v.plan.candidates, r.Peer.VM)
	}
	v.addChangeEvents(old, r)
}

func (v *view) addChangeEvents(old, r Record) {
	restarted := old.Peer.Incarnation != r.Peer.Incarnation
	switch {
	case r.State != Unreachable && (old.State == Unreachable || restarted):
		v.addEvent(recorder.MemberJoined, r.Peer)
	case r.State == Suspect:
		v.addEvent(recorder.MemberSuspected, r.Peer)
	case r.State == Alive && old.State == Suspect:
		v.addEvent(recorder.MemberRestored, r.Peer)
	case r.State == Unreachable && old.State != Unreachable:
		v.addEvent(recorder.MemberLost, r.Peer)
	}
	if r.Leaving && !old.Leaving {
		v.addEvent(recorder.MemberLeaving, r.Peer)
	}
}

func (v *view) addEvent(code recorder.Code, peer messenger.Peer) {
	v.events = append(v.events, event{code, peer})
}

// pingSucceeded records that a member answered a ping of this daemon.
func (v *view) pingSucceeded(r Record, roundTrip time.Duration, now time.Time) {
	v.merge([]Record{r}, now)
	m, ok := v.members[r.Peer.VM]
	if !ok {
		return
	}
	if m.failedPolls >= maxFailedPolls {
		v.resetFailedPolls(m.Peer.Zone)
	}
	m.failedPolls = 0
	if m.roundTrip == 0 {
		m.roundTrip = roundTrip
	}
	m.roundTrip += time.Duration(roundTripWeight * float64(roundTrip-m.roundTrip))
}

// pollFailed records that a member of another zone did not answer a poll.
func (v *view) pollFailed(peer messenger.Peer) {
	m, ok := v.members[peer.VM]
	if !ok || m.Peer.Incarnation != peer.Incarnation {
		return
	}
	m.failedPolls++
	if m.failedPolls == maxFailedPolls {
		v.dirty = true
	}
}

// resetFailedPolls readmits all members of another zone once an excluded one
// answers again, because a network partition between the zones may have excluded
// them all.
func (v *view) resetFailedPolls(zone contractor.Zone) {
	v.dirty = true
	for _, m := range v.members {
		if m.Peer.Zone == zone {
			m.failedPolls = 0
		}
	}
}

// isGone implements Tracker.Gone.
func (v *view) isGone(vm contractor.VM, incarnation contractor.Incarnation) bool {
	m, ok := v.members[vm]
	if ok && m.Peer.Incarnation > incarnation {
		return true
	}
	if ok && m.State != Unreachable {
		return false
	}
	return v.vmList.missingFor(vm) >= v.config.GoneAfter
}

// state returns the state that Snapshot reports for a member.
func (v *view) state(m *member) State {
	switch {
	case m.gone:
		return Gone
	case m.State == Alive && m.failedPolls >= maxFailedPolls:
		return Suspect
	case m.State == Alive && v.leaving(m):
		return Leaving
	}
	return m.State
}

// zonesByRoundTrip returns the zones with live members: the own zone first, the
// others by the shortest round trip time to a member.
func (v *view) zonesByRoundTrip() []contractor.Zone {
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
