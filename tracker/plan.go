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
	// ringSize is the number of neighbours in the zone that a daemon watches.
	ringSize = 2
	// fingerRounds is the number of rounds of which one also probes a finger. The
	// fingers are the members at 4, 8, 16 ... places on the ring, so that records
	// spread in few steps over connections that stay open.
	fingerRounds = 4
	firstFinger  = 4
	// contactCount is the number of daemons of each other zone that are polled in turn.
	contactCount = 2
	// silentTurns is the number of polls of a zone of which one goes to a daemon
	// that did not answer earlier ones.
	silentTurns = 4
	// helperCount is the number of daemons that are asked to probe in this one's place.
	helperCount = 3
)

// purpose says why a daemon is probed.
type purpose uint8

const (
	probeRing      purpose = iota // watches a daemon of the own zone
	probePoll                     // polls a daemon of another zone
	probeCandidate                // looks for a daemon on a listed VM
	probeVerify                   // checks a daemon that the list no longer has
)

// probe is one probe that is due.
type probe struct {
	purpose purpose
	record  Record
}

// plan decides whom a daemon probes next.
type plan struct {
	round        int
	last         time.Time // last round
	starved      time.Time // until then the daemon's own slowness may explain failures
	nextPoll     time.Time
	nextMember   time.Time // next attempt at an unreachable member
	nextStranger time.Time // next attempt at another VM
	pollZone     int
	pollTurn     int
	candidates   map[contractor.VM]*candidate
}

func (p *plan) start(v *view, now time.Time) {
	p.last = now
	p.nextPoll = now
	p.candidates = make(map[contractor.VM]*candidate)
	p.round = v.random.IntN(fingerRounds)
}

// resume notices that the daemon was paused or came late. It raises no suspicion
// for a while, and suspicions go on for as long as it was paused, as answers may
// have waited meanwhile.
func (v *view) resume(now time.Time) {
	gap := now.Sub(v.plan.last)
	if 2*gap > 3*v.config.ProbePeriod {
		v.plan.starved = now.Add(v.config.ProbePeriod)
	}
	if gap <= 3*v.config.ProbePeriod {
		return
	}
	v.plan.last = now
	for _, m := range v.members {
		if m.State == Suspect {
			m.expiry = m.expiry.Add(gap)
		}
	}
}

// tick returns the probes of one round.
func (v *view) tick(now time.Time) []probe {
	v.resume(now)
	v.plan.last = now
	v.plan.round++
	probes := v.ringProbes()
	probes = append(probes, v.pollProbes(now)...)
	probes = append(probes, v.candidateProbes(now)...)
	v.purge(now)
	return probes
}

// ringProbes returns the neighbour whose turn it is, and now and then a finger.
func (v *view) ringProbes() []probe {
	ring := v.ring()
	if len(ring) == 0 {
		return nil
	}
	probes := []probe{{probeRing, ring[v.plan.round%min(ringSize, len(ring))].Record}}
	turn := v.plan.round / fingerRounds
	if fingers := fingerCount(len(ring)); fingers > 0 && v.plan.round%fingerRounds == 0 {
		place := firstFinger << (turn % fingers)
		probes = append(probes, probe{probeRing, ring[place-1].Record})
	}
	return probes
}

// fingerCount returns the number of fingers on a ring with so many others.
func fingerCount(others int) int { return max(0, bits.Len(uint(others/firstFinger))) }

// ring returns the other reachable members of the zone, in an order that starts
// behind this daemon.
func (v *view) ring() []*member {
	ring := v.zoneMembers(v.self.Peer.Zone)
	own := ringPosition(v.self)
	slices.SortFunc(ring, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(ringPosition(a)-own, ringPosition(b)-own),
			strings.Compare(string(a.Peer.VM), string(b.Peer.VM)),
		)
	})
	return ring
}

func ringPosition(m *member) uint64 { return xxhash.Sum64String(string(m.Peer.VM)) }

// zoneMembers returns the members of a zone that are not unreachable, without
// this daemon.
func (v *view) zoneMembers(zone contractor.Zone) []*member {
	var members []*member
	for _, m := range v.members {
		if m.Peer.Zone == zone && m != v.self && m.State != Unreachable && !m.gone {
			members = append(members, m)
		}
	}
	return members
}

// pollProbes returns the contact of another zone when one is due. Each zone is
// polled once per PollPeriod.
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
	v.plan.pollZone = (v.plan.pollZone + 1) % len(zones)
	if v.plan.pollZone == 0 {
		v.plan.pollTurn++
	}
	return []probe{{probePoll, v.contact(zones[v.plan.pollZone]).Record}}
}

// contact returns the daemon of another zone that this one polls next: in turn
// the contactCount ones with the highest rendezvous hash that answer, and now and
// then one that did not.
func (v *view) contact(zone contractor.Zone) *member {
	members := v.zoneMembers(zone)
	own := ringPosition(v.self)
	slices.SortFunc(members, func(a, b *member) int {
		return cmp.Compare(mix(ringPosition(b)^own), mix(ringPosition(a)^own))
	})
	silent := slices.Clone(members)
	silent = slices.DeleteFunc(silent, func(m *member) bool { return m.missed < lostPolls })
	answering := slices.DeleteFunc(members, func(m *member) bool { return m.missed >= lostPolls })
	turn := v.plan.pollTurn
	if len(answering) == 0 || len(silent) > 0 && turn%silentTurns == 0 {
		return silent[turn/silentTurns%len(silent)]
	}
	return answering[turn%min(contactCount, len(answering))]
}

// otherZones returns the zones with members, without the own one, by name.
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

// helpers returns daemons that can probe target in this one's place, those of
// the zone first.
func (v *view) helpers(target messenger.Peer) []messenger.Peer {
	var near, far []messenger.Peer
	for _, m := range v.members {
		if m == v.self || m.Peer.VM == target.VM || m.State != Alive || !v.live(m) {
			continue
		}
		if v.local(m) {
			near = append(near, m.Peer)
		} else {
			far = append(far, m.Peer)
		}
	}
	v.shuffle(near)
	v.shuffle(far)
	helpers := append(near, far...)
	return helpers[:min(helperCount, len(helpers))]
}

func (v *view) shuffle(peers []messenger.Peer) {
	slices.SortFunc(peers, byVM)
	v.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// list takes in the platform's list and returns the members that it no longer
// has although they seem to be alive.
func (v *view) list(list []ListedVM, now time.Time) []probe {
	v.listing.update(list, now)
	v.dirty = true
	for _, x := range list {
		v.consider(x.VM, x.Zone, x.Address, now)
	}
	for vm := range v.plan.candidates {
		if v.listing.absent(vm) >= v.config.GoneAfter {
			delete(v.plan.candidates, vm)
		}
	}
	var doubtful []probe
	for _, m := range v.members {
		if m == v.self || v.listing.absent(m.Peer.VM) < v.config.GoneAfter {
			continue
		}
		if m.State == Unreachable {
			v.bury(m, now)
		} else {
			doubtful = append(doubtful, probe{probeVerify, m.Record})
		}
	}
	return doubtful
}

// bury marks an unreachable member as gone.
func (v *view) bury(m *member, now time.Time) {
	if m.gone {
		return
	}
	m.gone = true
	m.changed = now
	v.dirty = true
	v.note(recorder.MemberGone, m.Peer)
}

// purge forgets members that have been gone for long.
func (v *view) purge(now time.Time) {
	for vm, m := range v.members {
		if m.gone && now.Sub(m.changed) > goneLimit {
			delete(v.members, vm)
		}
	}
}
