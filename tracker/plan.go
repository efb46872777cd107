package tracker

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/recorder"
)

const (
	// ringNeighbours is the number of members that a daemon pings in turn: those that
	// follow it on the ring of its zone.
	ringNeighbours = 2
	// In one of roundsPerFinger rounds a daemon also pings a finger: one of the members
	// at distances 4, 8, 16 ... on the ring. Fingers let records spread in few hops
	// over connections that stay open.
	roundsPerFinger     = 4
	firstFingerDistance = 4
	// contactsPerZone is the number of members of each other zone that are polled in
	// turn.
	contactsPerZone = 2
	// One of turnsPerUnresponsive polls of a zone goes to a member that did not
	// answer earlier polls.
	turnsPerUnresponsive = 4
	// helperCount is the number of daemons that are asked for an indirect ping.
	helperCount = 3
)

// purpose is the reason for a probe, and decides how its failure is handled.
type purpose uint8

const (
	probeRing      purpose = iota // pings a neighbour or a finger of the own zone
	probePoll                     // polls a member of another zone
	probeCandidate                // searches for a daemon on a candidate VM
	probeVerify                   // checks a member whose VM the list no longer has
)

// probe is one probe that is due.
type probe struct {
	purpose purpose
	record  Record
}

// plan holds the state that decides which daemons are probed next.
type plan struct {
	round           int
	lastRound       time.Time
	slowUntil       time.Time // no suspicion is raised until then, see detectPause
	nextPoll        time.Time
	nextUnreachable time.Time // next probe of an unreachable member
	nextUnknown     time.Time // next probe of a VM without a known member
	pollZoneIndex   int
	pollTurn        int
	candidates      map[contractor.VM]*candidate
}

func (p *plan) init(v *view, now time.Time) {
	p.lastRound = now
	p.nextPoll = now
	p.candidates = make(map[contractor.VM]*candidate)
	p.round = v.random.IntN(roundsPerFinger)
}

// detectPause checks whether this daemon was slow or paused since the last round.
// If it was, it raises no suspicion for one ProbePeriod. After a pause of more than
// three periods, the present suspicions are extended by the length of the pause, as
// responses may have waited unread meanwhile.
func (v *view) detectPause(now time.Time) {
	gap := now.Sub(v.plan.lastRound)
	if 2*gap > 3*v.config.ProbePeriod {
		v.plan.slowUntil = now.Add(v.config.ProbePeriod)
	}
	if gap <= 3*v.config.ProbePeriod {
		return
	}
	v.plan.lastRound = now
	for _, m := range v.members {
		if m.State == Suspect {
			m.suspicionEnd = m.suspicionEnd.Add(gap)
		}
	}
}

// tick returns the probes of one round.
func (v *view) tick(now time.Time) []probe {
	v.detectPause(now)
	v.plan.lastRound = now
	v.plan.round++
	probes := v.ringProbes()
	probes = append(probes, v.pollProbes(now)...)
	probes = append(probes, v.candidateProbes(now)...)
	v.purgeGone(now)
	return probes
}

// ringProbes returns probes of the neighbour whose turn it is and, in one of
// roundsPerFinger rounds, of a finger.
func (v *view) ringProbes() []probe {
	ring := v.ring()
	if len(ring) == 0 {
		return nil
	}
	probes := []probe{{probeRing, ring[v.plan.round%min(ringNeighbours, len(ring))].Record}}
	turn := v.plan.round / roundsPerFinger
	if fingers := fingerCount(len(ring)); fingers > 0 && v.plan.round%roundsPerFinger == 0 {
		distance := firstFingerDistance << (turn % fingers)
		probes = append(probes, probe{probeRing, ring[distance-1].Record})
	}
	return probes
}

// fingerCount returns the number of fingers on a ring with this number of others.
func fingerCount(others int) int { return max(0, bits.Len(uint(others/firstFingerDistance))) }

// ring returns the other reachable members of the own zone, sorted by the hash of
// the VM and starting after this daemon.
func (v *view) ring() []*member {
	ring := v.zoneMembers(v.self.Peer.Zone)
	ownPosition := ringPosition(v.self)
	slices.SortFunc(ring, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(ringPosition(a)-ownPosition, ringPosition(b)-ownPosition),
			strings.Compare(string(a.Peer.VM), string(b.Peer.VM)),
		)
	})
	return ring
}

func ringPosition(m *member) uint64 { return xxhash.Sum64String(string(m.Peer.VM)) }

// zoneMembers returns the members of a zone that are neither unreachable nor gone,
// without this daemon.
func (v *view) zoneMembers(zone contractor.Zone) []*member {
	var members []*member
	for _, m := range v.members {
		if m.Peer.Zone == zone && m != v.self && m.State != Unreachable && !m.gone {
			members = append(members, m)
		}
	}
	return members
}

// pollProbes returns the poll of another zone if one is due. Each zone is polled once
// per PollPeriod.
func (v *view) pollProbes(now time.Time) []probe {
	if now.Before(v.plan.nextPoll) {
		return nil
	}
	zones := v.otherZones()
	if len(zones) == 0 {
		v.plan.nextPoll = now.Add(v.config.ProbePeriod)
		return nil
	}
	v.plan.nextPoll = now.Add(v.config.PollPeriod / time.Duration(len(zones)))
	v.plan.pollZoneIndex = (v.plan.pollZoneIndex + 1) % len(zones)
	if v.plan.pollZoneIndex == 0 {
		v.plan.pollTurn++
	}
	return []probe{{probePoll, v.contact(zones[v.plan.pollZoneIndex]).Record}}
}

// contact returns the member of another zone that this daemon polls next. The
// contactsPerZone responsive members with the highest rendezvous hash take turns.
// One of turnsPerUnresponsive polls goes to an unresponsive member, if there is one.
func (v *view) contact(zone contractor.Zone) *member {
	members := v.zoneMembers(zone)
	ownPosition := ringPosition(v.self)
	slices.SortFunc(members, func(a, b *member) int {
		return cmp.Compare(mix(ringPosition(b)^ownPosition), mix(ringPosition(a)^ownPosition))
	})
	unresponsive := slices.Clone(members)
	unresponsive = slices.DeleteFunc(unresponsive, func(m *member) bool { return m.failedPolls < maxFailedPolls })
	responsive := slices.DeleteFunc(members, func(m *member) bool { return m.failedPolls >= maxFailedPolls })
	turn := v.plan.pollTurn
	if len(responsive) == 0 || len(unresponsive) > 0 && turn%turnsPerUnresponsive == 0 {
		return unresponsive[turn/turnsPerUnresponsive%len(unresponsive)]
	}
	return responsive[turn%min(contactsPerZone, len(responsive))]
}

// otherZones returns the other zones that have reachable members, sorted by name.
func (v *view) otherZones() []contractor.Zone {
	var zones []contractor.Zone
	for _, m := range v.members {
		if !v.local(m) && m.State != Unreachable && !m.gone && !slices.Contains(zones, m.Peer.Zone) {
			zones = append(zones, m.Peer.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// helpers returns up to helperCount random daemons for indirect pings of target,
// preferably of the own zone.
func (v *view) helpers(target messenger.Peer) []messenger.Peer {
	var localPeers, remotePeers []messenger.Peer
	for _, m := range v.members {
		if m == v.self || m.Peer.VM == target.VM || m.State != Alive || !v.live(m) {
			continue
		}
		if v.local(m) {
			localPeers = append(localPeers, m.Peer)
		} else {
			remotePeers = append(remotePeers, m.Peer)
		}
	}
	v.shuffle(localPeers)
	v.shuffle(remotePeers)
	helpers := append(localPeers, remotePeers...)
	return helpers[:min(helperCount, len(helpers))]
}

func (v *view) shuffle(peers []messenger.Peer) {
	slices.SortFunc(peers, byVM)
	v.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// applyList applies a new list of the platform. It returns probes of the members
// that seem alive although the list has lacked their VM for GoneAfter.
func (v *view) applyList(list []ListedVM, now time.Time) []probe {
	v.vmList.update(list, now)
	v.dirty = true
	for _, listed := range list {
		v.addCandidate(listed.VM, listed.Zone, listed.Address, now)
	}
	for vm := range v.plan.candidates {
		if v.vmList.missingFor(vm) >= v.config.GoneAfter {
			delete(v.plan.candidates, vm)
		}
	}
	var unlisted []probe
	for _, m := range v.members {
		if m == v.self || v.vmList.missingFor(m.Peer.VM) < v.config.GoneAfter {
			continue
		}
		if m.State == Unreachable {
			v.markGone(m, now)
		} else {
			unlisted = append(unlisted, probe{probeVerify, m.Record})
		}
	}
	return unlisted
}

func (v *view) markGone(m *member, now time.Time) {
	if m.gone {
		return
	}
	m.gone = true
	m.changed = now
	v.dirty = true
	v.addEvent(recorder.MemberGone, m.Peer)
}

// purgeGone forgets members that have been gone for goneRetention.
func (v *view) purgeGone(now time.Time) {
	for vm, m := range v.members {
		if m.gone && now.Sub(m.changed) > goneRetention {
			delete(v.members, vm)
		}
	}
}
