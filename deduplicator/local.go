package deduplicator

import "time"

// orphanCheckInterval is the time between two looks for an orphaned claim in the store.
const orphanCheckInterval = 10 * time.Second

// phase is what this daemon knows about one of its claims.
type phase uint8

const (
	// phaseRunning: the call is being claimed or may be running.
	phaseRunning phase = iota
	// phaseOrphaned: the call did not run, and the store may still hold the claim.
	phaseOrphaned
	// phaseEnded: the end of the call is known, the store may not hold it yet.
	phaseEnded
)

// localClaim is a claim of this daemon that has not ended in the store.
type localClaim struct {
	phase  phase
	record record
	// claim is set once the call may run.
	claim *Claim
	// orphanedSince is the time of the last write that may have left a claim
	// behind for a call that did not run.
	orphanedSince time.Time
	// earlierWriteLost is true when an earlier write of the name was lost.
	earlierWriteLost bool
	// lastCheck is the time of the last look for an orphaned claim in the store.
	lastCheck time.Time
}

// beginLocal opens a name for one call at a time. When a call of the name is open
// already, it returns what is known about that call.
func (d *Deduplicator) beginLocal(k claimKey, fresh record) (*localClaim, *record) {
	s := d.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	local := &localClaim{phase: phaseRunning, record: fresh}
	if before := s.claims[k]; before != nil {
		if before.phase != phaseOrphaned {
			held := before.record
			return nil, &held
		}
		local.orphanedSince = before.orphanedSince
		local.earlierWriteLost = true
	}
	s.claims[k] = local
	return local, nil
}

// cancelLocal closes a name whose call does not run. It stays orphaned when the store
// may hold a claim for it.
func (d *Deduplicator) cancelLocal(k claimKey, local *localClaim, mayBeStored bool) {
	s := d.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if mayBeStored {
		local.orphanedSince = time.Now()
	}
	if local.orphanedSince.IsZero() {
		delete(s.claims, k)
		return
	}
	local.phase = phaseOrphaned
}

// endLocal sets how the call of a claim ended. It is false when the claim is not open.
func (d *Deduplicator) endLocal(c *Claim, p phase, r record) (*localClaim, bool) {
	s := d.shard(c.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	local := s.claims[c.key]
	if local == nil || local.phase != phaseRunning || local.record.OperationID != c.record.OperationID {
		return nil, false
	}
	local.claim = c
	local.phase = p
	local.record = r
	if p == phaseOrphaned {
		local.orphanedSince = time.Now()
	}
	return local, true
}

// forget forgets a claim, unless its name has been entered again.
func (d *Deduplicator) forget(k claimKey, local *localClaim) {
	s := d.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims[k] == local {
		delete(s.claims, k)
	}
}

// inPhase reports whether a claim is open in a phase.
func (d *Deduplicator) inPhase(k claimKey, local *localClaim, p phase) bool {
	s := d.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims[k] == local && local.phase == p
}

// pendingEnd is a claim whose end the store may not hold.
type pendingEnd struct {
	key   claimKey
	local *localClaim
	phase phase
}

// checkDue reports whether an orphaned claim has to be looked for in the store again.
func (local *localClaim) checkDue() bool {
	if time.Since(local.lastCheck) < orphanCheckInterval {
		return false
	}
	local.lastCheck = time.Now()
	return true
}

// pendingEnds returns the claims whose ends have to be stored now.
func (d *Deduplicator) pendingEnds() []pendingEnd {
	var all []pendingEnd
	for i := range d.shards {
		s := &d.shards[i]
		s.mu.Lock()
		for k, local := range s.claims {
			if local.phase == phaseEnded || (local.phase == phaseOrphaned && local.checkDue()) {
				all = append(all, pendingEnd{k, local, local.phase})
			}
		}
		s.mu.Unlock()
	}
	return all
}
