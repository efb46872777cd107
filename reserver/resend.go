package reserver

import (
	"slices"
	"time"

	"laburnumline/contractor"
)

// TakeUnreported returns up to limit settlements of an account that were not reported
// after since, and marks them as reported at now.
func (r *Reserver) TakeUnreported(now, since time.Time, name contractor.Account, limit int) []Record {
	s, a := r.lockAccount(name)
	defer s.mu.Unlock()
	var records []Record
	for _, e := range a.records {
		if e.state != stateSettled || e.reportedAt.After(since) {
			continue
		}
		e.reportedAt = now
		records = append(records, e.record)
		if len(records) == limit {
			break
		}
	}
	return records
}

// MarkUnreported makes settlements due for another report after a report has failed.
func (r *Reserver) MarkUnreported(name contractor.Account, records []Record) {
	s, a := r.lockAccount(name)
	defer s.mu.Unlock()
	for _, record := range records {
		if e, ok := a.records[record.Ref.ID]; ok {
			e.reportedAt = time.Time{}
		}
	}
}

// Acknowledge removes settlements that the ledger has recorded.
func (r *Reserver) Acknowledge(name contractor.Account, ids []uint64) {
	s, a := r.lockAccount(name)
	defer s.mu.Unlock()
	a.acknowledge(ids)
}

// AcknowledgeReleases removes settlements with zero use that a keeper has applied. It
// returns false when the keeper has been replaced. They must then be reported to its
// successor.
func (r *Reserver) AcknowledgeReleases(name contractor.Account, epoch contractor.Epoch, ids []uint64) bool {
	s, a := r.lockAccount(name)
	defer s.mu.Unlock()
	if epoch < a.minEpoch {
		return false
	}
	a.acknowledge(ids)
	return true
}

func (a *account) acknowledge(ids []uint64) {
	for _, id := range ids {
		if e, ok := a.records[id]; ok && e.state == stateSettled {
			delete(a.records, id)
		}
	}
}

// Counts holds the numbers of an account's reservations.
type Counts struct {
	// Open counts the reservations that are not settled.
	Open int
	// Unacknowledged counts the settlements that the ledger is not known to hold.
	Unacknowledged int
}

// CountsByAccount returns the numbers for each account that has reservations.
func (r *Reserver) CountsByAccount() map[contractor.Account]Counts {
	counts := make(map[contractor.Account]Counts)
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for name, a := range s.accounts {
			if len(a.records) > 0 {
				counts[name] = a.counts()
			}
		}
		s.mu.Unlock()
	}
	return counts
}

func (a *account) counts() Counts {
	var counts Counts
	for _, e := range a.records {
		if e.state == stateSettled {
			counts.Unacknowledged++
		} else {
			counts.Open++
		}
	}
	return counts
}

// SettleExpired settles the reservations whose EndBy has passed and returns their
// number. A dispatched reservation is settled with its whole amount, another one with
// zero use.
func (r *Reserver) SettleExpired(now time.Time) int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, a := range s.accounts {
			for _, e := range a.records {
				if e.state == stateSettled || now.Before(e.endBy) {
					continue
				}
				n++
				used := e.record.Amount
				if e.state != stateDispatched {
					used = 0
				}
				e.settle(now, used)
			}
		}
		s.mu.Unlock()
	}
	return n
}

// HasMinEpoch reports whether the daemon knows an epoch of an account.
func (r *Reserver) HasMinEpoch(name contractor.Account) bool {
	s, a := r.lockAccount(name)
	defer s.mu.Unlock()
	return a.epochKnown
}

// RaiseMinEpoch raises the lowest epoch whose reservations are accepted to epoch. A
// lower value has no effect.
func (r *Reserver) RaiseMinEpoch(name contractor.Account, epoch contractor.Epoch) {
	s, a := r.lockAccount(name)
	defer s.mu.Unlock()
	a.raiseMinEpoch(epoch)
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(x, y Record) int {
		if x.Ref.Entry.VM != y.Ref.Entry.VM {
			if x.Ref.Entry.VM < y.Ref.Entry.VM {
				return -1
			}
			return 1
		}
		switch {
		case x.Ref.ID < y.Ref.ID:
			return -1
		case x.Ref.ID > y.Ref.ID:
			return 1
		}
		return 0
	})
}

// MinEpoch returns the lowest epoch whose reservations are accepted.
func (r *Reserver) MinEpoch(name contractor.Account) contractor.Epoch {
	s, a := r.lockAccount(name)
	defer s.mu.Unlock()
	return a.minEpoch
}
