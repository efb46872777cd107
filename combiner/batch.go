package combiner

import (
	"slices"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// batch is a transaction that is made of several.
type batch struct {
	maxOperations int
	members       []*pendingTxn
	txn           persister.Txn
	// compared are the revisions that it compares, puts the places of its puts by key.
	compared map[string]contractor.Revision
	puts     map[string]int
	deleted  map[string]bool
}

func newBatch(maxOperations int) *batch {
	return &batch{
		maxOperations: maxOperations, compared: make(map[string]contractor.Revision),
		puts: make(map[string]int), deleted: make(map[string]bool),
	}
}

// state returns a key with the value that the batch writes, if it does, and otherwise as it
// is known.
func (b *batch) state(key string, known persister.Entry) persister.Entry {
	if i, ok := b.puts[key]; ok {
		return persister.Entry{Key: key, Value: b.txn.Puts[i].Value, Revision: b.compared[key]}
	}
	return known
}

// add takes a transaction in, unless it touches a key that another one writes, writes one
// that another one compares, or the batch is full. The first one always fits.
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
			b.txn.Puts[i] = p // merged with what was there
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

// fits reports whether there is room for a transaction.
func (b *batch) fits(t rebased) bool {
	size := len(b.txn.Compares) + len(b.txn.Puts) + len(b.txn.Deletes)
	size += len(t.Compares) + len(t.Puts) + len(t.Deletes)
	for _, key := range t.merged {
		if _, ok := b.puts[key]; ok {
			size -= 2 // its compare and its put
		}
	}
	return size <= b.maxOperations
}

// conflictsWith reports whether a transaction and the batch exclude each other.
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

func (b *batch) writes(key string) bool {
	_, ok := b.puts[key]
	return ok || b.deleted[key]
}

// mergedEntries returns what the batch has mergedEntries to the keys that a transaction compares and
// puts, where that is another value than its own.
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

// outdated reports whether a state is not the one that the batch compares.
func (b *batch) outdated(states []persister.Entry) bool {
	return slices.ContainsFunc(states, func(e persister.Entry) bool { return e.Revision != b.compared[e.Key] })
}

// comparedStates returns the state of each key that the batch compares, from the answer of a store
// that may leave out keys which do not exist, as the batch expects. It reports false when the
// answer leaves out another one.
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
