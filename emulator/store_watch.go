package emulator

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// Watch calls handle for each batch of changes under prefix after a revision. It
// returns when ctx ends, when handle fails or when the revision has been compacted.
func (s *Store) Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(persister.Batch) error) error {
	inRange := func(key string) bool { return strings.HasPrefix(key, prefix) }
	if err := s.watch(ctx, inRange, after, handle); err != nil {
		return fmt.Errorf("watch %q: %w", prefix, err)
	}
	return nil
}

func (s *Store) watch(ctx context.Context, inRange func(string) bool, after contractor.Revision, handle func(persister.Batch) error) error {
	s.countOpen(1)
	defer s.countOpen(-1)
	reported := after
	lastReport := time.Now()
	for {
		batch, wait, changed, err := s.dueChanges(inRange, after)
		if err != nil {
			return err
		}
		after = max(after, batch.Revision)
		untilProgress := time.Until(lastReport.Add(s.progressInterval))
		if len(batch.Changes) > 0 || (after > reported && untilProgress <= 0) {
			if err := handle(batch); err != nil {
				return err
			}
			reported = after
			lastReport = time.Now()
			continue
		}
		if after > reported && (wait == 0 || untilProgress < wait) {
			wait = untilProgress
		}
		if err := waitForChange(ctx, wait, changed); err != nil {
			return err
		}
	}
}

func (s *Store) countOpen(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.WatchesOpen += n
	if n > 0 {
		countWatch(&s.counts)
	}
}

// waitForChange returns at the next change, or after wait unless that is zero.
func waitForChange(ctx context.Context, wait time.Duration, changed <-chan struct{}) error {
	var timeout <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-timeout:
	case <-changed:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	return nil
}

// dueChanges returns the changes after a revision that may be delivered now, and the
// time until the next one that is delayed (zero if none is) with a channel that is
// closed at the next change of keys or faults.
func (s *Store) dueChanges(inRange func(string) bool, after contractor.Revision) (persister.Batch, time.Duration, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage || s.faults.Hang || s.faults.HoldEvents {
		return persister.Batch{Revision: after}, 0, s.changed, nil
	}
	if after != 0 && persister.EraOf(after) != s.era {
		return persister.Batch{}, 0, nil, persister.ErrRestored
	}
	if after < s.stamp(s.compacted) || after > s.stamp(s.revision) {
		return persister.Batch{}, 0, nil, persister.ErrCompacted
	}
	batch := persister.Batch{Revision: after}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].change.Entry.Revision > after })
	for _, e := range s.history[first:] {
		if wait := time.Until(e.at.Add(s.faults.EventDelay)); s.faults.EventDelay > 0 && wait > 0 {
			return batch, wait, s.changed, nil
		}
		batch.Revision = e.change.Entry.Revision
		if inRange(e.change.Entry.Key) {
			batch.Changes = append(batch.Changes, e.change)
			s.counts.Events++
		}
	}
	batch.Revision = max(batch.Revision, s.stamp(s.revision))
	return batch, 0, s.changed, nil
}
