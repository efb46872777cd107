package apportioner

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// merging is a store that merges the pool's values of several daemons (package combiner). It
// also returns what it has written in place of the transaction's own values.
type merging interface {
	CommitMerged(ctx context.Context, txn persister.Txn) (contractor.Revision, []persister.Entry, error)
}

// write commits a transaction, merged with those of others if the store does so.
func (a *Apportioner) write(ctx context.Context, txn persister.Txn) (contractor.Revision, []persister.Entry, error) {
	if m, ok := a.config.Store.(merging); ok {
		return m.CommitMerged(ctx, txn)
	}
	revision, err := a.config.Store.Commit(ctx, txn)
	return revision, nil, err
}

// takeMerged takes the pool over that was written in place of the own one. It reports
// whether the pool is known then. The lock is held.
func (a *Apportioner) takeMerged(entries []persister.Entry) bool {
	for _, e := range entries {
		if e.Key != poolKey {
			continue
		}
		p, err := decode[pool](e.Key, e.Value)
		if err != nil {
			return false // the next round reads the store
		}
		a.rounds.pool, a.rounds.poolRevision = p.clone(), e.Revision
	}
	return true
}

// PoolMerger merges the pool's values of daemons that deal at the same time.
type PoolMerger struct{}

// CanMerge reports whether a key is the pool's.
func (PoolMerger) CanMerge(key string) bool { return key == poolKey }

// Merge makes the change that led from base to mine to theirs. It fails when a balance does
// not cover what all of them have granted.
func (PoolMerger) Merge(key string, base, theirs, mine []byte) ([]byte, error) {
	var pools [3]pool
	for i, value := range [][]byte{base, theirs, mine} {
		p, err := decode[pool](key, value)
		if err != nil {
			return nil, err
		}
		pools[i] = p.clone()
	}
	if err := pools[1].merge(&pools[0], &pools[2]); err != nil {
		return nil, err
	}
	return cbor.Marshal(pools[1])
}

// merge makes the change that led from base to mine.
func (p *pool) merge(base, mine *pool) error {
	for name, m := range mine.Accounts {
		b, t := base.Accounts[name], p.Accounts[name]
		granted := m.Granted - b.Granted
		t.Granted += granted
		if granted > 0 && t.Granted > m.Bound {
			return fmt.Errorf("merge: account %q has prepaid %d tokens, of which %d would be granted", name, m.Bound, t.Granted)
		}
		t.Spent += m.Spent - b.Spent
		t.Demand = max(t.Demand+m.Demand-b.Demand, 0)
		t.Bound = m.Bound
		p.Accounts[name] = t
	}
	for vm, m := range mine.Members {
		if m != base.Members[vm] {
			p.Members[vm] = m
		}
	}
	for vm := range base.Members {
		if _, kept := mine.Members[vm]; !kept {
			delete(p.Members, vm)
		}
	}
	return nil
}

// bind notes what an account has prepaid. An account without a bound has any.
func (p *pool) bind(name contractor.Account, bound contractor.Tokens) {
	s := p.Accounts[name]
	s.Bound = bound
	p.Accounts[name] = s
}
