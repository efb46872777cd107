// Package persister is the port to the platform's key-value service.
//
// The service is the only place where anything lasts. A Store reads keys,
// watches prefixes and commits transactions: compares of revisions, then puts
// and deletes that happen all together or not at all.
//
// The answer to a commit can be lost after the write took effect. An adapter
// resolves this by reading back Txn.Marker, or the first put when there is no
// marker, and only reports ErrUnknown when it could not find out in time. An
// adapter of a service that executes writes late cannot find out and reports
// ErrUnknown; its callers compare and write the same keys again.
//
//	entry, err := store.Get(ctx, "contract/loft-7")
//	...
//	rev, err := store.Commit(ctx, persister.Txn{
//		Compares: []persister.Compare{{Key: entry.Key, Revision: entry.Revision}},
//		Puts:     []persister.Put{{Key: entry.Key, Value: next}},
//	})
//	if errors.Is(err, persister.ErrConflict) {
//		// somebody else changed the contract: read again
//	}
package persister

import (
	"context"
	"errors"
	"fmt"
	"time"

	"laburnumline/contractor"
)

var (
	// ErrConflict means that a compare failed and nothing was written.
	ErrConflict = errors.New("store: a compared key has changed")
	// ErrUnavailable means that the service did not answer and nothing was written.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that the write may or may not have taken effect.
	ErrUnknown = errors.New("store: outcome of the write is unknown")
	// ErrThrottled means that the daemon's own rate budget for calls is used up.
	ErrThrottled = errors.New("store: call rate budget is used up")
	// ErrCompacted means that a watch asked for a revision that is gone.
	ErrCompacted = errors.New("store: revision is compacted")
	// ErrInvalid means that a call is malformed and nothing was written.
	ErrInvalid = errors.New("store: invalid call")
)

// ConflictError is ErrConflict together with the current state of the compared
// keys, from an adapter whose service tells it.
type ConflictError struct {
	Entries []Entry
}

// Error returns the text of ErrConflict.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// MaxValueSize is the largest value that the service holds, in bytes.
const MaxValueSize = 1 << 20

// Entry is one key with its value. Revision is the revision of its last
// change; zero means that the key does not exist.
type Entry struct {
	Key      string
	Value    []byte
	Revision contractor.Revision
}

// Compare requires that a key was last changed at a revision. A zero revision
// requires that the key does not exist.
type Compare struct {
	Key      string
	Revision contractor.Revision
}

// LeaseID identifies a lease of the service. Zero is no lease.
type LeaseID int64

// Put writes one key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a set of writes that take effect together when every compare holds.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
	// Marker is a key that only this transaction creates. When the answer is
	// lost, its existence tells that the transaction took effect.
	// It must be among the puts.
	Marker string
}

// Validate returns ErrInvalid when the service would refuse the transaction in any state.
func (t *Txn) Validate() error {
	written := make(map[string]bool, len(t.Puts)+len(t.Deletes))
	for _, p := range t.Puts {
		if written[p.Key] {
			return fmt.Errorf("%w: key %q is written twice", ErrInvalid, p.Key)
		}
		if len(p.Value) > MaxValueSize {
			return fmt.Errorf("%w: value of %q has %d bytes, allowed: %d", ErrInvalid, p.Key, len(p.Value), MaxValueSize)
		}
		written[p.Key] = true
	}
	if t.Marker != "" && !written[t.Marker] {
		return fmt.Errorf("%w: marker %q is not among the puts", ErrInvalid, t.Marker)
	}
	for _, key := range t.Deletes {
		if written[key] {
			return fmt.Errorf("%w: key %q is written twice", ErrInvalid, key)
		}
		written[key] = true
	}
	return nil
}

// Page is a part of the keys under a prefix, in key order.
type Page struct {
	Entries []Entry
	// Revision is the store's revision at which the page was read.
	Revision contractor.Revision
	// More is true when further keys follow the last entry.
	More bool
}

// Change is one step of a watch. Entry.Revision is the revision of the change;
// a deleted key has Deleted set and no value.
type Change struct {
	Entry   Entry
	Deleted bool
}

// Batch holds the changes of a watch up to and including Revision.
type Batch struct {
	Changes  []Change
	Revision contractor.Revision
}

// Store is the platform's key-value service.
type Store interface {
	// Get reads one key. An absent key has revision zero and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// Range reads up to limit keys under prefix that sort after the key after.
	Range(ctx context.Context, prefix, after string, limit int) (Page, error)
	// Commit writes a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (contractor.Revision, error)
	// Watch calls handle for each batch of changes under prefix after a
	// revision. It returns when ctx ends, when handle fails or with ErrCompacted.
	Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(Batch) error) error
	// GrantLease creates a lease that ends after ttl without a renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once and returns its remaining time.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
}
