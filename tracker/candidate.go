package tracker

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"laburnumline/contractor"
	"laburnumline/messenger"
)

const (
	// unreachablePeriod is the time between two attempts to reach unreachable members,
	// strangerPeriod that between two attempts at listed VMs that were no members.
	unreachablePeriod = time.Second
	unknownPeriod     = 10 * time.Second
	// joinAttempts is the number of attempts per round until the first success.
	// Most VMs of the list may run no daemon.
	joinAttempts = 16
	// initialBackoff and the longest pauses bound the time between attempts at one VM.
	initialBackoff        = time.Second
	maxUnreachableBackoff = 5 * time.Second
	maxUnknownBackoff     = 10 * time.Minute
)

// candidate is a VM that may run a daemon that is not a live member.
type candidate struct {
	peer        messenger.Peer
	nextAttempt time.Time
	backoff     time.Duration
}

// candidateProbes returns attempts to reach listed VMs that are no live members.
func (v *view) candidateProbes(now time.Time) []probe {
	unreachable, unknown := v.dueCandidates(now)
	if len(v.members) == 1 {
		slices.SortFunc(unknown, byNextAttempt)
		return v.attemptProbes(unknown[:min(joinAttempts, len(unknown))], maxUnknownBackoff, now)
	}
	var probes []probe
	if len(unreachable) > 0 {
		v.plan.nextUnreachable = now.Add(unreachablePeriod)
		first := slices.MinFunc(unreachable, byNextAttempt)
		probes = v.attemptProbes([]*candidate{first}, maxUnreachableBackoff, now)
	}
	if len(unknown) > 0 {
		v.plan.nextUnknown = now.Add(unknownPeriod)
		first := slices.MinFunc(unknown, byNextAttempt)
		probes = append(probes, v.attemptProbes([]*candidate{first}, maxUnknownBackoff, now)...)
	}
	return probes
}

func byNextAttempt(a, b *candidate) int {
	return cmp.Or(a.nextAttempt.Compare(b.nextAttempt), byVM(a.peer, b.peer))
}

// attemptProbes returns probes of candidates and puts off their next ones.
func (v *view) attemptProbes(candidates []*candidate, maxBackoff time.Duration, now time.Time) []probe {
	var probes []probe
	for _, c := range candidates {
		c.nextAttempt = now.Add(c.backoff)
		c.backoff = min(2*c.backoff, maxBackoff)
		probes = append(probes, probe{probeCandidate, Record{Peer: c.peer}})
	}
	return probes
}

// dueCandidates returns the unreachable members and the other VMs that are due.
func (v *view) dueCandidates(now time.Time) (unreachable, unknown []*candidate) {
	for vm, c := range v.plan.candidates {
		if now.Before(c.nextAttempt) {
			continue
		}
		switch {
		case v.members[vm] == nil && !now.Before(v.plan.nextUnknown):
			unknown = append(unknown, c)
		case v.members[vm] != nil && !now.Before(v.plan.nextUnreachable):
			unreachable = append(unreachable, c)
		}
	}
	return unreachable, unknown
}

// prioritizeCandidate makes a daemon that is known from elsewhere the next candidate.
func (v *view) prioritizeCandidate(p messenger.Peer, now time.Time) {
	v.addCandidate(p.VM, p.Zone, p.Address, now)
	if c, ok := v.plan.candidates[p.VM]; ok {
		c.nextAttempt = time.Time{}
	}
}

// addCandidate makes a VM a candidate, unless a live member runs there.
func (v *view) addCandidate(vm contractor.VM, zone contractor.Zone, address netip.AddrPort, now time.Time) {
	if vm == v.self.Peer.VM || !address.IsValid() {
		return
	}
	if m, ok := v.members[vm]; ok && m.State != Unreachable {
		return
	}
	if c, ok := v.plan.candidates[vm]; ok {
		c.peer.Address = address
		return
	}
	v.plan.candidates[vm] = &candidate{
		peer:        messenger.Peer{VM: vm, Zone: zone, Address: address},
		nextAttempt: now,
		backoff:     initialBackoff,
	}
}

// addUnreachable makes a member that has just become unreachable a candidate.
func (v *view) addUnreachable(m *member, now time.Time) {
	if c, ok := v.plan.candidates[m.Peer.VM]; ok {
		c.backoff = initialBackoff
		return
	}
	v.addCandidate(m.Peer.VM, m.Peer.Zone, m.Peer.Address, now)
}
