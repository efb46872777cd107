package emulator

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// Get reads one key.
func (s *Store) Get(ctx context.Context, key string) (persister.Entry, error) {
	if err := s.begin(ctx, countRead, s.reads); err != nil {
		return persister.Entry{}, fmt.Errorf("get %q: %w", key, err)
	}
	entry := s.Peek(key)
	if err := s.finish(ctx); err != nil {
		return persister.Entry{}, fmt.Errorf("get %q: %w: %w", key, persister.ErrUnavailable, err)
	}
	return entry, nil
}

// Peek reads one key. It injects no faults and counts no call.
func (s *Store) Peek(key string) persister.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry(key)
}

// Keys returns the keys under a prefix. It injects no faults and counts no call.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for i, _ := slices.BinarySearch(s.keys, prefix); i < len(s.keys); i++ {
		if !strings.HasPrefix(s.keys[i], prefix) {
			break
		}
		found = append(found, s.keys[i])
	}
	return found
}

// Range reads up to limit keys under prefix that sort after the key after.
// A limit of zero is no limit.
func (s *Store) Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error) {
	if err := s.begin(ctx, countRead, s.reads); err != nil {
		return persister.Page{}, fmt.Errorf("range %q: %w", prefix, err)
	}
	from := prefix
	if after >= prefix && after != "" {
		from = after + "\x00"
	}
	page := s.read(from, func(key string) bool { return strings.HasPrefix(key, prefix) }, limit)
	if err := s.finish(ctx); err != nil {
		return persister.Page{}, fmt.Errorf("range %q: %w: %w", prefix, persister.ErrUnavailable, err)
	}
	return page, nil
}

func (s *Store) read(from string, inRange func(string) bool, limit int) persister.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := persister.Page{Revision: s.stamp(s.revision)}
	for i, _ := slices.BinarySearch(s.keys, from); i < len(s.keys) && inRange(s.keys[i]); i++ {
		if limit > 0 && len(page.Entries) == limit {
			page.More = true
			break
		}
		page.Entries = append(page.Entries, s.entry(s.keys[i]))
	}
	return page
}

// Commit writes a transaction and returns its revision.
func (s *Store) Commit(ctx context.Context, txn persister.Txn) (contractor.Revision, error) {
	if err := txn.Validate(); err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	if err := s.begin(ctx, countWrite, s.writes); err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	if s.drawLateCommit(txn) {
		return 0, fmt.Errorf("commit: %w", persister.ErrUnknown)
	}
	lost, delivered := s.drawLoss()
	if lost {
		return 0, fmt.Errorf("commit: %w", persister.ErrUnknown)
	}
	revision, err := s.apply(txn)
	if !delivered {
		return 0, fmt.Errorf("commit: %w", persister.ErrUnknown)
	}
	if finishErr := s.finish(ctx); finishErr != nil {
		return 0, fmt.Errorf("commit: %w: %w", persister.ErrUnknown, finishErr)
	}
	if err != nil {
		return 0, fmt.Errorf("commit: %w", err)
	}
	return revision, nil
}

// drawLateCommit decides at random whether a commit takes effect late, and schedules
// it if so.
func (s *Store) drawLateCommit(txn persister.Txn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LateCommits == 0 || s.random.Float64() >= s.faults.LateCommits {
		return false
	}
	s.counts.Lost++
	time.AfterFunc(s.faults.LateCommitDelay, func() {
		// The client has already received an error; nobody needs the result.
		_, _ = s.apply(txn)
	})
	return true
}

// drawLoss decides at random whether a commit is lost before its effect, and whether
// its response is delivered.
func (s *Store) drawLoss() (lost, delivered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.responsesToLose > 0 {
		s.responsesToLose--
		s.counts.Lost++
		return false, false
	}
	draw := s.random.Float64()
	lost = draw < s.faults.LoseRequests
	delivered = lost || draw >= s.faults.LoseRequests+s.faults.LoseResponses
	if lost || !delivered {
		s.counts.Lost++
	}
	return lost, delivered
}

func (s *Store) apply(txn persister.Txn) (contractor.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if txn.MixesEras() {
		return 0, s.conflict(txn)
	}
	earlierEra := false
	for _, c := range txn.Compares {
		if int64(s.items[c.Key].modified) != persister.NumberOf(c.Revision) {
			return 0, s.conflict(txn)
		}
		earlierEra = earlierEra || c.Revision != 0 && persister.EraOf(c.Revision) != s.era
	}
	if txn.Marker != "" && s.items[txn.Marker].modified != 0 {
		return 0, persister.ErrConflict
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, fmt.Errorf("%w: lease %d does not exist", persister.ErrInvalid, p.Lease)
		}
	}
	s.write(txn.Puts, txn.Deletes)
	if earlierEra {
		// The service compares numbers only. A client learns from the response that the state
		// which it compared is not that of this era.
		return 0, fmt.Errorf("%w: %w", persister.ErrUnknown, persister.ErrRestored)
	}
	return s.stamp(s.revision), nil
}

// conflict returns the error of a transaction with a failed compare. The caller holds
// the lock.
func (s *Store) conflict(txn persister.Txn) error {
	if !s.reportConflicts {
		return persister.ErrConflict
	}
	var states persister.ConflictError
	for _, c := range txn.Compares {
		states.Entries = append(states.Entries, s.entry(c.Key))
	}
	return &states
}

// write applies puts and deletes as one new revision. The caller holds the lock.
func (s *Store) write(puts []persister.Put, deletes []string) {
	next := s.revision + 1
	now := time.Now()
	for _, p := range puts {
		s.put(p, next)
		s.history = append(s.history, event{at: now, change: persister.Change{Entry: s.entry(p.Key)}})
	}
	removed := false
	for _, key := range deletes {
		if !s.remove(key) {
			continue
		}
		removed = true
		deletion := persister.Change{Deleted: true, Entry: persister.Entry{Key: key, Revision: s.stamp(next)}}
		s.history = append(s.history, event{at: now, change: deletion})
	}
	if len(puts) == 0 && !removed {
		return
	}
	s.revision = next
	if len(s.history) > 2*s.keepRevisions {
		s.compact(contractor.Revision(persister.NumberOf(s.history[len(s.history)-s.keepRevisions].change.Entry.Revision)))
	}
	s.notify()
}

func (s *Store) put(p persister.Put, revision contractor.Revision) {
	old, exists := s.items[p.Key]
	if !exists {
		at, _ := slices.BinarySearch(s.keys, p.Key)
		s.keys = slices.Insert(s.keys, at, p.Key)
		old.created = revision
	}
	s.detach(p.Key, old.lease)
	if p.Lease != 0 {
		s.leases[p.Lease].keys[p.Key] = true
	}
	s.items[p.Key] = item{value: bytes.Clone(p.Value), created: old.created, modified: revision, lease: p.Lease}
}

func (s *Store) remove(key string) bool {
	old, exists := s.items[key]
	if !exists {
		return false
	}
	s.detach(key, old.lease)
	delete(s.items, key)
	at, _ := slices.BinarySearch(s.keys, key)
	s.keys = slices.Delete(s.keys, at, at+1)
	return true
}

func (s *Store) entry(key string) persister.Entry {
	found := s.items[key]
	return persister.Entry{Key: key, Value: bytes.Clone(found.value), Revision: s.stamp(found.modified)}
}

func countRead(c *StoreCounts)  { c.Reads++ }
func countWrite(c *StoreCounts) { c.Writes++ }
func countLease(c *StoreCounts) { c.Leases++ }
func countWatch(c *StoreCounts) { c.Watches++ }
