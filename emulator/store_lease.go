package emulator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"laburnumline/persister"
)

// lease deletes its keys when its timer fires.
type lease struct {
	ttl   time.Duration
	keys  map[string]bool
	timer *time.Timer
}

// GrantLease creates a lease that expires after ttl without a renewal.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (persister.LeaseID, error) {
	if err := s.begin(ctx, countLease, s.writes); err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	id := s.addLease(ttl)
	if err := s.finish(ctx); err != nil {
		return 0, fmt.Errorf("grant lease: %w: %w", persister.ErrUnknown, err)
	}
	return id, nil
}

func (s *Store) addLease(ttl time.Duration) persister.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	l := &lease{ttl: ttl, keys: make(map[string]bool)}
	l.timer = time.AfterFunc(ttl, func() { s.expireLease(id, l) })
	s.leases[id] = l
	return id
}

// KeepAlive renews a lease once and returns its remaining time.
// An expired lease has a remaining time of zero and no error.
func (s *Store) KeepAlive(ctx context.Context, id persister.LeaseID) (time.Duration, error) {
	if err := s.begin(ctx, countLease, s.writes); err != nil {
		return 0, fmt.Errorf("keep lease %d alive: %w", id, err)
	}
	remaining := s.renew(id)
	if err := s.finish(ctx); err != nil {
		return 0, fmt.Errorf("keep lease %d alive: %w: %w", id, persister.ErrUnavailable, err)
	}
	return remaining, nil
}

func (s *Store) renew(id persister.LeaseID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return 0
	}
	l.timer.Reset(l.ttl)
	return l.ttl
}

// expireLease ends a lease, unless the ID belongs to another one since a restore.
func (s *Store) expireLease(id persister.LeaseID, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] != l {
		return
	}
	if s.faults.PauseLeases {
		l.timer.Reset(pausedLeaseRecheck)
		return
	}
	delete(s.leases, id)
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	s.write(nil, keys)
}

// pausedLeaseRecheck is the time after which a lease that was due to expire during
// PauseLeases is checked again.
const pausedLeaseRecheck = time.Second

func (s *Store) detach(key string, id persister.LeaseID) {
	if l := s.leases[id]; l != nil {
		delete(l.keys, key)
	}
}
