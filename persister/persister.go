// Package persister is the interface to the platform's key-value service.
//
// The service is the only durable storage. A Store reads keys, watches prefixes
// and commits transactions. A transaction compares the revisions of keys and, if
// all match, applies all of its puts and deletes atomically.
//
// The response to a commit can be lost after the write took effect. A Store then
// reads Txn.Marker, or the first put if there is no marker, to find the outcome,
// and returns ErrUnknown only if it could not determine it in time. A Store whose
// service may execute writes late cannot determine it and returns ErrUnknown;
// its callers compare and write the same keys again.
//
//	entry, err := store.Get(ctx, "contract/loft-7")
//	...
//	rev, err := store.Commit(ctx, persister.Txn{
//		Compares: []persister.Compare{{Key: entry.Key, Revision: entry.Revision}},
//		Puts:     []persister.Put{{Key: entry.Key, Value: next}},
//	})
//	if errors.Is(err, persister.ErrConflict) {
//		// another writer changed the contract: read it again
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
	// ErrUnavailable means that the service did not process the call and nothing
	// was written.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that the write may or may not have taken effect.
	ErrUnknown = errors.New("store: outcome of the write is unknown")
	// ErrThrottled means that a rate limit, the daemon's own or the service's, is
	// exhausted and nothing was written.
	ErrThrottled = errors.New("store: call rate budget is used up")
	// ErrCompacted means that a watch needs a revision that the service has compacted.
	ErrCompacted = errors.New("store: revision is compacted")
	// ErrRestored means that a revision is of an earlier era: the service was restored from an
	// older copy since.
	ErrRestored = errors.New("store: restored from an older copy")
	// ErrInvalid means that a call is malformed and nothing was written.
	ErrInvalid = errors.New("store: invalid call")
)

// ConflictError is ErrConflict with the current state of the compared keys, from
// a Store whose service returns that state.
type ConflictError struct {
	Entries []Entry
}

// Error returns the text of ErrConflict.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// MaxValueSize is the maximum size of a value in bytes.
const MaxValueSize = 1 << 20

// Entry is one key with its value. Revision is the revision of its last
// change; zero means that the key does not exist. Revisions grow also when the
// service is restored from an older copy, see NewRevision.
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

// LeaseID identifies a lease of the service. Zero means no lease.
type LeaseID int64

// Put writes one key.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a set of writes that take effect together if every compare holds.
type Txn struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
	// Marker is a key that only this transaction creates. When the response is
	// lost, its existence shows that the transaction took effect.
	// It must be among the puts.
	Marker string
}

// Validate returns ErrInvalid if the service would refuse the transaction in any state.
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

// MixesEras reports whether the transaction compares revisions of several eras. Some of its states
// are then those of a store that was restored since.
func (t *Txn) MixesEras() bool {
	era := int64(-1)
	for _, c := range t.Compares {
		if c.Revision == 0 {
			continue
		}
		if era >= 0 && EraOf(c.Revision) != era {
			return true
		}
		era = EraOf(c.Revision)
	}
	return false
}

// Page is one page of the keys under a prefix, in key order.
type Page struct {
	Entries []Entry
	// Revision is the store's revision at which the page was read.
	Revision contractor.Revision
	// More reports whether further keys follow the last entry.
	More bool
}

// Change is one change of a key under a watched prefix. Entry.Revision is the
// revision of the change; a deleted key has Deleted set and no value.
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
	// Range reads up to limit keys under prefix, starting after the key after.
	Range(ctx context.Context, prefix, after string, limit int) (Page, error)
	// Commit writes a transaction and returns its revision. If the service was restored since
	// the compared revisions were read, nothing is written, or the error is ErrUnknown.
	Commit(ctx context.Context, txn Txn) (contractor.Revision, error)
	// Watch calls handle for each batch of changes under prefix later than the
	// revision after. It returns when ctx ends, when handle fails or with
	// ErrCompacted or ErrRestored.
	Watch(ctx context.Context, prefix string, after contractor.Revision, handle func(Batch) error) error
	// GrantLease creates a lease that expires after ttl unless it is renewed.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once and returns its remaining time.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
}
