package deduplicator

import "time"

// orphanCheckInterval is the time between two checks for an orphaned claim in the store.
const orphanCheckInterval = 10 * time.Second

// phase is what this daemon knows about one of its claims.
type phase uint8

const (
	// phaseRunning means that the call is being claimed or may be running.
	phaseRunning phase = iota
	// phaseOrphaned means that the call was not executed but the store may still
	// have the claim.
	phaseOrphaned
	// phaseEnded means that the outcome of the call is known but may not be stored yet.
	phaseEnded
)

// localClaim is a claim of this daemon whose end the store may not have yet.
type localClaim struct {
	phase  phase
	record record
	// claim is set when the call has ended.
	claim *Claim
	// orphanedSince is the time of the last write that may have left a claim in
	// the store although its call was not executed.
	orphanedSince time.Time
	// hadOrphan is true if the key had an orphaned claim when the call was
	// registered. The store is then still checked for that claim after Release.
	hadOrphan bool
	// lastCheck is the time of the last check for an orphaned claim in the store.
	lastCheck time.Time
}

// beginLocal registers a call, so that this daemon handles one call per key at a
// time. If another one is registered already, it returns the record of that one.
func (d *Deduplicator) beginLocal(k claimKey, fresh record) (*localClaim, *record) {
	s := d.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	local := &localClaim{phase: phaseRunning, record: fresh}
	if before := s.claims[k]; before != nil {
		if before.phase != phaseOrphaned {
			earlier := before.record
			return nil, &earlier
		}
		local.orphanedSince = before.orphanedSince
		local.hadOrphan = true
	}
	s.claims[k] = local
	return local, nil
}

// cancelLocal ends a call that is not executed. Its claim becomes orphaned if the
// store may have it.
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

// endLocal records how the call of a claim ended. The bool is false if the claim
// is not registered as running.
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

// forget removes a claim, unless a new call with its key has been registered.
func (d *Deduplicator) forget(k claimKey, local *localClaim) {
	s := d.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claims[k] == local {
		delete(s.claims, k)
	}
}

// inPhase reports whether a claim is still registered and in the given phase.
func (d *Deduplicator) inPhase(k claimKey, local *localClaim, p phase) bool {
	s := d.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.claims[k] == local && local.phase == p
}

// pendingEnd is a claim whose end has to be written to the store.
type pendingEnd struct {
	key   claimKey
	local *localClaim
	phase phase
}

// checkDue reports whether it is time to check for an orphaned claim in the store.
// If so, it updates lastCheck.
func (local *localClaim) checkDue() bool {
	if time.Since(local.lastCheck) < orphanCheckInterval {
		return false
	}
	local.lastCheck = time.Now()
	return true
}

// pendingEnds returns the claims whose ends have to be written to the store now.
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
