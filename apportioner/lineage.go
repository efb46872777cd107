package apportioner

import (
	"fmt"
	"math"

	"laburnumline/contractor"
)

// The name of a VM does not tell which of its incarnations is meant. After a restore it matters: an incarnation that finds
// no row, or one of the copy, does not know what its predecessor held, so its own row confirms nothing of that. One
// that had taken over the last row of its predecessor before the restore confirms both. A lineage is the incarnations of
// a VM of which each has taken over the last row of the one before, so a row confirms just what its lineage held.

// lineageID identifies a lineage.
type lineageID struct {
	vm      string
	lineage uint32
}

// key is how the pool names a lineage. The name of the VM alone stands for a lineage that is unknown because a daemon of an
// earlier version wrote the row. Such daemons keep the other keys, which name no VM to them.
func (id lineageID) key() string {
	if id.lineage == 0 {
		return id.vm
	}
	return fmt.Sprintf("%s/%x", id.vm, id.lineage)
}

// lineageOf returns the lineage that an incarnation begins, which is never zero.
func lineageOf(incarnation contractor.Incarnation) uint32 {
	return max(uint32(incarnation)^uint32(incarnation>>32), 1)
}

// ownLineage is the lineage of this incarnation. The lock is held.
func (a *Apportioner) ownLineage() lineageID { return lineageID{a.config.Name, a.state.lineage} }

// loseLineage ends the lineage of a row of the copy, which an incarnation takes over as the beginning of another one.
// The lock is held.
func (a *Apportioner) loseLineage(r *row) {
	if r.Incarnation == 0 {
		return
	}
	a.rememberLineage(lineageID{a.config.Name, r.Lineage}.key(), math.MaxInt64)
	a.state.predecessorLost = a.state.predecessorLost || r.Lineage == 0
	r.Lineage = 0
}

// hasMember reports whether a member is of the lineage.
func (p *pool) hasMember(id lineageID) bool {
	m, ok := p.Members[id.vm]
	return ok && m.Lineage == id.lineage
}

// confirmedKeys returns the keys of the lineages whose rows are of the pool's era. A lineage that is unknown counts as
// confirmed with any row of its VM. It returns nil if no lineage is to be looked up.
func (p *pool) confirmedKeys(lookups int) map[string]bool {
	if lookups == 0 {
		return nil
	}
	keys := make(map[string]bool, 2*len(p.Members))
	for vm, m := range p.Members {
		if m.Era >= p.Era {
			keys[vm], keys[lineageID{vm, m.Lineage}.key()] = true, true
		}
	}
	return keys
}

// updateSeen determines whether another daemon knows this one as a member, so that it would be withheld for if the store
// lost all that this one has written. Until then this daemon draws nothing from the pool. One that has seen it counts
// only if it is seen itself, or several that were added at the same time might know only one another. A daemon alone, and
// one that takes over the row of a member that was seen, need not wait. The lock is held.
func (a *Apportioner) updateSeen(p *pool) {
	state := &a.state
	own, registered := p.Members[a.config.Name]
	others := len(p.Members)
	if registered {
		others--
	}
	// A daemon of an earlier version that writes the pool drops the lineages.
	registered = registered && (own.Lineage == state.lineage || own.Lineage == 0 && !state.rebalancedAt.IsZero())
	switch {
	case others == 0:
		state.seen = true
	case !registered:
		state.seen, state.registeredRounds = false, nil
	case own.Lineage == state.lineage && !own.Unseen:
		state.seen = true
	case state.registeredRounds == nil:
		state.registeredRounds = make(map[string]int64, len(p.Members))
		for vm, m := range p.Members {
			state.registeredRounds[vm] = m.Round
		}
	default:
		state.seen = state.seen || p.seenBy(a.config.Name, state.registeredRounds)
	}
}

// seenBy reports whether a seen member other than the VM has written the pool since the members had the rounds given. If
// no other one is seen, as after a start of all from the rows of a copy, any other one counts.
func (p *pool) seenBy(vm string, rounds map[string]int64) bool {
	bySeen, byUnseen, seenExists := false, false, false
	for other, m := range p.Members {
		if other == vm {
			continue
		}
		round, ok := rounds[other]
		wrote := !ok || m.Round != round
		seenExists = seenExists || !m.Unseen
		bySeen = bySeen || wrote && !m.Unseen
		byUnseen = byUnseen || wrote && m.Unseen
	}
	return bySeen || byUnseen && !seenExists
}

// hasUnseenBeside reports whether the pool has unseen members that the base lacks.
func (p *pool) hasUnseenBeside(base *pool) bool {
	for vm, m := range p.Members {
		if m.Unseen && !base.hasMember(lineageID{vm, m.Lineage}) {
			return true
		}
	}
	return false
}
