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
	// unreachablePeriod is the time between two probes of unreachable members,
	// unknownPeriod that between two probes of VMs without a known member.
	unreachablePeriod = time.Second
	unknownPeriod     = 10 * time.Second
	// joinAttempts is the number of candidates probed per round until the first
	// member is found. Most VMs of the list may run no daemon.
	joinAttempts = 16
	// The time between two probes of one candidate doubles from initialBackoff to
	// one of the two maxima.
	initialBackoff        = time.Second
	maxUnreachableBackoff = 5 * time.Second
	maxUnknownBackoff     = 10 * time.Minute
)

// candidate is a VM that is probed because it may run a daemon. No live member runs
// there.
type candidate struct {
	peer        messenger.Peer
	nextAttempt time.Time
	backoff     time.Duration
}

// candidateProbes returns the probes of candidates that are due.
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

// attemptProbes returns probes of the candidates and schedules their next ones.
func (v *view) attemptProbes(candidates []*candidate, maxBackoff time.Duration, now time.Time) []probe {
	var probes []probe
	for _, c := range candidates {
		c.nextAttempt = now.Add(c.backoff)
		c.backoff = min(2*c.backoff, maxBackoff)
		probes = append(probes, probe{probeCandidate, Record{Peer: c.peer}})
	}
	return probes
}

// dueCandidates returns the candidates that are due: the unreachable members, and the
// VMs without a known member.
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

// prioritizeCandidate adds a daemon that is known from elsewhere to the candidates and
// schedules it before the others.
func (v *view) prioritizeCandidate(p messenger.Peer, now time.Time) {
	v.addCandidate(p.VM, p.Zone, p.Address, now)
	if c, ok := v.plan.candidates[p.VM]; ok {
		c.nextAttempt = time.Time{}
	}
}

// addCandidate makes a VM a candidate, or updates its address. VMs of live members
// are no candidates.
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

// addUnreachable makes a member that has just become unreachable a candidate, or
// resets its backoff.
func (v *view) addUnreachable(m *member, now time.Time) {
	if c, ok := v.plan.candidates[m.Peer.VM]; ok {
		c.backoff = initialBackoff
		return
	}
	v.addCandidate(m.Peer.VM, m.Peer.Zone, m.Peer.Address, now)
}
