package emulator

import (
	"maps"
	"slices"
	"time"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// StoreCopy is a copy of the content of a Store.
type StoreCopy struct {
	revision  contractor.Revision
	items     map[string]item
	keys      []string
	leases    map[persister.LeaseID]time.Duration
	lastLease persister.LeaseID
}

// Era returns the number of restores.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Copy returns a copy of the content, for a later Restore.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &StoreCopy{
		revision: s.revision, items: maps.Clone(s.items), keys: slices.Clone(s.keys),
		leases: make(map[persister.LeaseID]time.Duration, len(s.leases)), lastLease: s.lastLease,
	}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore replaces the content by that of a copy and begins a new era. What was written since the
// copy is lost, and its revisions and leases are given out again. Leases of the copy begin anew.
func (s *Store) Restore(c *StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.era++
	s.revision, s.compacted, s.history = c.revision, c.revision, nil
	s.items, s.keys, s.lastLease = maps.Clone(c.items), slices.Clone(c.keys), c.lastLease
	s.leases = make(map[persister.LeaseID]*lease, len(c.leases))
	for id, ttl := range c.leases {
		l := &lease{ttl: ttl, keys: make(map[string]bool)}
		l.timer = time.AfterFunc(ttl, func() { s.expireLease(id, l) })
		s.leases[id] = l
	}
	for key, i := range s.items {
		if l := s.leases[i.lease]; l != nil {
			l.keys[key] = true
		}
	}
	s.notify()
}
