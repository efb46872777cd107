package apportioner

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// mergingStore is a store that merges changes of the pool by several daemons (package combiner).
// It also returns the entries that it has written with values other than the transaction's.
type mergingStore interface {
	CommitMerged(ctx context.Context, txn persister.Txn) (contractor.Revision, []persister.Entry, error)
}

// write commits a transaction, merged with those of others if the store supports it.
func (a *Apportioner) write(ctx context.Context, txn persister.Txn) (contractor.Revision, []persister.Entry, error) {
	if m, ok := a.config.Store.(mergingStore); ok {
		return m.CommitMerged(ctx, txn)
	}
	revision, err := a.config.Store.Commit(ctx, txn)
	return revision, nil, err
}

// adoptMergedPool replaces the pool by the one that was written in place of the daemon's own.
// It reports whether the pool is known afterwards. The lock is held.
func (a *Apportioner) adoptMergedPool(entries []persister.Entry) bool {
	for _, e := range entries {
		if e.Key != poolKey {
			continue
		}
		p, err := decode[pool](e.Key, e.Value)
		if err != nil {
			return false // the next round reads the store
		}
		a.state.pool, a.state.poolRevision = p.clone(), e.Revision
	}
	return true
}

// PoolMerger merges the pool values of daemons that rebalance at the same time.
type PoolMerger struct{}

// CanMerge reports whether the key is that of the pool.
func (PoolMerger) CanMerge(key string) bool { return key == poolKey }

// Merge applies the change from base to mine to theirs. It fails when the grants of all would
// exceed what an account has prepaid.
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

// merge applies the change from base to mine.
func (p *pool) merge(base, mine *pool) error {
	for name, m := range mine.Accounts {
		b, t := base.Accounts[name], p.Accounts[name]
		granted := m.Granted - b.Granted
		t.Granted += granted
		if granted > 0 && t.Granted > m.Prepaid {
			return fmt.Errorf("merge: account %q has prepaid %d tokens, of which %d would be granted", name, m.Prepaid, t.Granted)
		}
		t.Spent += m.Spent - b.Spent
		t.Demand = max(t.Demand+m.Demand-b.Demand, 0)
		t.Prepaid = m.Prepaid
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

// setPrepaid records what an account has prepaid. It is zero for an account without a limit.
func (p *pool) setPrepaid(name contractor.Account, prepaid contractor.Tokens) {
	s := p.Accounts[name]
	s.Prepaid = prepaid
	p.Accounts[name] = s
}
