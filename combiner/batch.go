package combiner

import (
	"slices"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// batch is a transaction of the store that consists of several transactions of callers.
type batch struct {
	maxOperations int
	members       []*pendingTxn
	txn           persister.Txn
	// compared holds the compared revisions, and puts the indices of the puts in txn, by key.
	compared map[string]contractor.Revision
	puts     map[string]int
	deleted  map[string]bool
	// full is true if transactions that did not fit remain in the queue.
	full bool
}

func newBatch(maxOperations int) *batch {
	return &batch{
		maxOperations: maxOperations, compared: make(map[string]contractor.Revision),
		puts: make(map[string]int), deleted: make(map[string]bool),
	}
}

// state returns the entry of a key with the value that the batch writes, or known if the batch
// does not write the key.
func (b *batch) state(key string, known persister.Entry) persister.Entry {
	if i, ok := b.puts[key]; ok {
		return persister.Entry{Key: key, Value: b.txn.Puts[i].Value, Revision: b.compared[key]}
	}
	return known
}

// add adds a transaction and reports whether it did. It does not if the transaction conflicts with
// the batch, if both together exceed maxOperations, or if either has to be committed alone, as
// those with a marker have to: a transaction of the store has one marker at most. An empty batch
// accepts any transaction.
func (b *batch) add(pending *pendingTxn, t rebased) bool {
	if len(b.members) > 0 && (pending.alone || b.members[0].alone || !b.fits(t) || t.Marker != "" || b.txn.Marker != "" || b.conflictsWith(t)) {
		return false
	}
	for _, compare := range t.Compares {
		if _, ok := b.compared[compare.Key]; !ok {
			b.compared[compare.Key] = compare.Revision
			b.txn.Compares = append(b.txn.Compares, compare)
		}
	}
	for _, p := range t.Puts {
		if i, ok := b.puts[p.Key]; ok {
			b.txn.Puts[i] = p // its value includes that of the earlier put
			continue
		}
		b.puts[p.Key] = len(b.txn.Puts)
		b.txn.Puts = append(b.txn.Puts, p)
	}
	for _, key := range t.Deletes {
		b.deleted[key] = true
		b.txn.Deletes = append(b.txn.Deletes, key)
	}
	b.txn.Marker = t.Marker
	b.members = append(b.members, pending)
	return true
}

// hasRoom reports whether the batch can hold the compare and the put of one more key.
func (b *batch) hasRoom() bool {
	return len(b.members) == 0 || len(b.txn.Compares)+len(b.txn.Puts)+len(b.txn.Deletes)+2 <= b.maxOperations
}

// fits reports whether the batch with a transaction added stays within maxOperations.
func (b *batch) fits(t rebased) bool {
	size := len(b.txn.Compares) + len(b.txn.Puts) + len(b.txn.Deletes)
	size += len(t.Compares) + len(t.Puts) + len(t.Deletes)
	for _, key := range t.merged {
		if _, ok := b.puts[key]; ok {
			size -= 2 // the batch has its compare and its put already
		}
	}
	return size <= b.maxOperations
}

// conflictsWith reports whether a transaction cannot be committed together with the batch: one of
// them writes a key that the other compares or writes, and the values were not merged, or they
// compare different revisions of a key.
func (b *batch) conflictsWith(t rebased) bool {
	compares := slices.ContainsFunc(t.Compares, func(c persister.Compare) bool {
		revision, compared := b.compared[c.Key]
		return b.writes(c.Key) && !slices.Contains(t.merged, c.Key) || compared && revision != c.Revision
	})
	writes := func(key string) bool {
		_, compared := b.compared[key]
		return (compared || b.writes(key)) && !slices.Contains(t.merged, key)
	}
	return compares || slices.ContainsFunc(t.Deletes, writes) ||
		slices.ContainsFunc(t.Puts, func(p persister.Put) bool { return writes(p.Key) })
}

// writes reports whether the batch puts or deletes a key.
func (b *batch) writes(key string) bool {
	_, ok := b.puts[key]
	return ok || b.deleted[key]
}

// mergedEntries returns the entries that the batch has written to the keys of a transaction's puts
// where their values differ from the transaction's own.
func (b *batch) mergedEntries(txn persister.Txn, revision contractor.Revision) []persister.Entry {
	var entries []persister.Entry
	for _, p := range txn.Puts {
		value := b.txn.Puts[b.puts[p.Key]].Value
		if !slices.Equal(value, p.Value) {
			entries = append(entries, persister.Entry{Key: p.Key, Value: value, Revision: revision})
		}
	}
	return entries
}

// outdated reports whether the revision of any state differs from the one that the batch compares.
func (b *batch) outdated(states []persister.Entry) bool {
	return slices.ContainsFunc(states, func(e persister.Entry) bool { return e.Revision != b.compared[e.Key] })
}

// comparedStates returns the state of each key that the batch compares, taken from the entries that
// the store reported. The store may omit keys that do not exist. It reports false if a key is
// missing that the batch expects to exist.
func (b *batch) comparedStates(reported []persister.Entry) ([]persister.Entry, bool) {
	states := make([]persister.Entry, len(b.txn.Compares))
	for i, compare := range b.txn.Compares {
		at := slices.IndexFunc(reported, func(e persister.Entry) bool { return e.Key == compare.Key })
		switch {
		case at >= 0:
			states[i] = reported[at]
		case compare.Revision == 0:
			states[i] = persister.Entry{Key: compare.Key}
		default:
			return nil, false
		}
	}
	return states, true
}
