package apportioner

import (
	"bytes"
	"context"
	"fmt"
	"sync"

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

// PoolMerger merges the pool values of daemons that rebalance at the same time. It is safe for
// concurrent use.
type PoolMerger struct {
	mu sync.Mutex
	// decoded holds the pools of recent values. A large fleet rebalances some hundred times a
	// second from the same few values, and decoding one takes longer than the merge.
	decoded map[string]pool
}

// maxDecodedPools limits the decoded values, which take about 60 KB each in a large fleet.
const maxDecodedPools = 64

// CanMerge reports whether the key is that of the pool.
func (*PoolMerger) CanMerge(key string) bool { return key == poolKey }

// Merge applies the change from base to mine to theirs. It fails when the grants of all would
// exceed what an account has prepaid.
func (m *PoolMerger) Merge(key string, base, theirs, mine []byte) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	basePool, err := m.decode(key, base)
	if err != nil {
		return nil, err
	}
	theirPool, err := m.decode(key, theirs)
	if err != nil {
		return nil, err
	}
	ownPool, err := decode[pool](key, mine)
	if err != nil {
		return nil, err
	}
	if ownPool.Era > theirPool.Era && bytes.Equal(base, theirs) {
		return mine, nil // the first change of an era; others plan anew from it
	}
	merged := theirPool.clone()
	if err := merged.merge(&basePool, &ownPool); err != nil {
		return nil, err
	}
	value, err := cbor.Marshal(merged)
	if err == nil {
		m.remember(value, merged)
	}
	return value, err
}

// decode returns the pool of a value, which the caller must not change. The lock is held.
func (m *PoolMerger) decode(key string, value []byte) (pool, error) {
	if p, ok := m.decoded[string(value)]; ok {
		return p, nil
	}
	p, err := decode[pool](key, value)
	if err == nil {
		m.remember(value, p)
	}
	return p, err
}

// remember keeps a decoded value for later merges. The lock is held.
func (m *PoolMerger) remember(value []byte, p pool) {
	if m.decoded == nil || len(m.decoded) >= maxDecodedPools {
		m.decoded = make(map[string]pool)
	}
	m.decoded[string(value)] = p
}

// merge applies the change from base to mine.
func (p *pool) merge(base, mine *pool) error {
	if base.Era != p.Era || mine.Era != p.Era {
		return fmt.Errorf("merge: the pool is of era %d, and a change from era %d to %d does not apply to it", p.Era, base.Era, mine.Era)
	}
	settled := p.Settled
	p.mergeEra(base, mine)
	resumed := settled && !p.Settled
	for name, m := range mine.Accounts {
		b, t := base.Accounts[name], p.Accounts[name]
		granted, withheld := m.Granted-b.Granted, m.Withheld-b.Withheld
		if resumed {
			t.Withheld, withheld = 0, 0 // see below
		}
		t.Granted += granted
		t.Withheld += withheld
		taken := t.Granted
		if !p.Settled {
			taken += t.Withheld
		}
		if granted+withheld > 0 && taken > m.Prepaid {
			return fmt.Errorf("merge: account %q has prepaid %d tokens, of which %d would be granted", name, m.Prepaid, taken)
		}
		t.Spent += m.Spent - b.Spent
		t.Demand = max(t.Demand+m.Demand-b.Demand, 0)
		t.Prepaid = m.Prepaid
		p.Accounts[name] = t
	}
	if resumed {
		p.withholdUnallocated()
	}
	missesUnseen := p.hasUnseenBeside(base)
	for vm, m := range mine.Members {
		if m == base.Members[vm] {
			continue
		}
		if theirs, ok := p.Members[vm]; ok && missesUnseen {
			m.Round = theirs.Round // it has not seen them, so this write must not count as one that has
		}
		p.Members[vm] = m
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
