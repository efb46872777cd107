// Package archivist keeps the software versions of event streams in the store.
//
// A stream continues only at the software version that began it (package pinner). When all
// daemons that know the version of a stream have died, the store still does. A daemon assigns a stream to a
// version before it sends the request to an upstream, and collects these records in blocks, one key each. The rounds of an
// Apportioner write blocks with new records and delete those that no caller needs any more, so no call to the store is made for
// them. Most records are in the store when the first event arrives. A daemon that is asked for an unknown stream
// reads the blocks of all daemons.
//
// The record of a stream that has begun never changes. Before that, its request may be sent to an upstream that produces
// no event, and then to another version. The store then has a record that voids the first one before the request is sent again, and a
// stream with a void record, or with records of two versions, counts as unknown. A record of a stream that had not begun
// counts only if it is read after the caller has asked for the stream, and if the store has not been restored from an
// older copy since, which may lack a void one. So no record, however old, names a wrong version.
//
//	a := archivist.New(archivist.Config{Store: store, Name: "edge-1", Incarnation: "7f3a"})
//	err := a.Assign(ctx, pinner.StreamOf(attemptID), "v1.2") // before the request is sent
//	a.Begin(pinner.StreamOf(attemptID))                      // at the first event
//	batch := a.Pending()                                     // with the next round
//	...
//	software, ok, err := a.Find(ctx, pinner.StreamOf(attemptID)) // at another daemon
package archivist

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/apportioner"
	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/pinner"
	"laburnumline/recorder"
)

// Prefix is that of the keys of all blocks.
const Prefix = "streams/"

const (
	// maxBlockRecords and maxBlockAge limit what a round writes again with a new record.
	maxBlockRecords = 256
	maxBlockAge     = 20 * time.Second
	// retention is how long after its last record a block is kept. Callers resume a stream within
	// their deadline, which is shorter.
	retention = 80 * time.Second
	// maxBatch limits the keys that one round writes and deletes. The store accepts 32 entries in a
	// transaction, and a round has up to nine of its own.
	maxBatch = 8
	// maxNameBytes limits the name of a version. Streams of versions with longer names count as unknown.
	maxNameBytes = 200
	// assignTimeout limits how long a request waits for the round that voids its record. Rounds are 0.4 s apart
	// when they are hastened.
	assignTimeout = 700 * time.Millisecond
)

var errNotWritten = errors.New("no round has written the record in time")

// Store is the part of the store that an Archivist calls itself.
type Store interface {
	Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error)
	Commit(ctx context.Context, txn persister.Txn) (contractor.Revision, error)
}

// Config holds what an Archivist needs.
type Config struct {
	Store Store
	// Name is the name of the VM, Incarnation differs at each start of the daemon.
	Name, Incarnation string
	// Era returns the era of the store, which changes when it is restored from an older copy. Nil means that it never is.
	Era func() int64
	// Members returns the number of daemons in the fleet. Nil means one.
	Members func() int
	// Hasten is called when records wait for the next round. Nil means that rounds are not hastened.
	Hasten func()
	// Now returns the time. Nil means time.Now.
	Now      func() time.Time
	Recorder *recorder.Recorder
}

// voidSoftware is the version in a void record. Versions of upstreams are text without a zero byte.
const voidSoftware = "\x00void"

// record assigns a stream to a software version.
type record struct {
	stream   pinner.Stream
	software string
	block    *block
	addedAt  time.Time
	// begun is true once the stream has begun.
	begun bool
	// voids is true if the record voids another one, which the store may have.
	voids bool
	// sent is true once a round may have written the record or an equal one, written once one has written this one.
	sent, written bool
}

// block has the records of one key.
type block struct {
	key             string
	begunAt, lastAt time.Time
	records         []*record
	// changes counts the changes of the records, written has those that the store is known to have.
	changes, written int
	// sent is true once a round may have written the key, deleted once the block is no longer needed.
	sent, deleted bool
}

// encodedBlock is the value of a key.
type encodedBlock struct {
	// Assigned and Begun have the concatenated streams that are assigned to a software version, and those that have begun there.
	Assigned map[string][]byte `cbor:"1,keyasint,omitempty"`
	Begun    map[string][]byte `cbor:"2,keyasint,omitempty"`
	// Era is that of the store when the block was written.
	Era int64 `cbor:"3,keyasint,omitempty"`
}

// Archivist keeps the records of one daemon, and finds those of others. It is safe for concurrent use.
type Archivist struct {
	config Config

	mu     sync.Mutex
	blocks []*block // from the oldest on; records are added to the last one
	number int      // of the last block
	// latest has the latest record of each stream in the blocks.
	latest map[pinner.Stream]*record
	// acknowledged is closed and replaced when a round has written records.
	acknowledged chan struct{}
	index        index
	read         *read // the last one that was begun, or nil
	// swept has the revisions of the keys of other daemons at the last call of RemoveUnused.
	swept map[string]contractor.Revision
}

// New returns an Archivist without records.
func New(c Config) *Archivist {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Members == nil {
		c.Members = func() int { return 1 }
	}
	if c.Era == nil {
		c.Era = func() int64 { return 0 }
	}
	if c.Hasten == nil {
		c.Hasten = func() {}
	}
	return &Archivist{config: c, latest: make(map[pinner.Stream]*record), acknowledged: make(chan struct{})}
}

// Assign records the software version of the upstream to which the request for a stream is sent next. If the stream
// was assigned to another version, whose record may be in the store, Assign returns once the store has the void record. After an
// error the request must not be sent.
func (a *Archivist) Assign(ctx context.Context, s pinner.Stream, software string) error {
	if len(software) > maxNameBytes {
		a.config.Recorder.Count("archivist.name_too_long", 1)
		software = voidSoftware
	}
	a.mu.Lock()
	now, r := a.config.Now(), a.latest[s]
	switch {
	case r == nil:
		a.add(now, &record{stream: s, software: software})
	case r.voids:
		a.mu.Unlock()
		return a.awaitWritten(ctx, r)
	case r.software == software:
		if now.Sub(r.addedAt) >= maxBlockAge {
			a.add(now, &record{stream: s, software: software, begun: r.begun, sent: r.sent}) // to be kept for longer
		}
	case r.sent:
		a.mu.Unlock()
		return a.Withdraw(ctx, s, true)
	default:
		r.software = software
	}
	a.mu.Unlock()
	a.config.Hasten()
	return nil
}

// Begin records that a stream has begun at the version to which it is assigned.
func (a *Archivist) Begin(s pinner.Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.latest[s]; r != nil && !r.begun && r.software != voidSoftware {
		r.begun = true
		r.block.changes++
	}
}

// Withdraw voids the record of a stream whose request is sent to another daemon or to another version. If wait is true, it
// returns once the store has no record of the stream, or the void one.
func (a *Archivist) Withdraw(ctx context.Context, s pinner.Stream, wait bool) error {
	a.mu.Lock()
	r := a.latest[s]
	switch {
	case r == nil:
		a.mu.Unlock()
		return nil
	case !r.sent && !r.voids:
		r.block.records = slices.DeleteFunc(r.block.records, func(other *record) bool { return other == r })
		delete(a.latest, s)
		a.mu.Unlock()
		return nil
	case !r.voids:
		r = a.add(a.config.Now(), &record{stream: s, software: voidSoftware, voids: true})
	}
	a.mu.Unlock()
	a.config.Hasten()
	if !wait {
		return nil
	}
	return a.awaitWritten(ctx, r)
}

// add adds a record to the current block. The lock is held.
func (a *Archivist) add(now time.Time, r *record) *record {
	var current *block
	if n := len(a.blocks); n > 0 {
		current = a.blocks[n-1]
	}
	if current == nil || len(current.records) >= maxBlockRecords || now.Sub(current.begunAt) >= maxBlockAge {
		a.dropOutdated(now)
		a.number++
		current = &block{key: fmt.Sprintf("%s%s/%s/%d", Prefix, a.config.Name, a.config.Incarnation, a.number), begunAt: now}
		a.blocks = append(a.blocks, current)
	}
	r.addedAt, r.block = now, current
	current.records = append(current.records, r)
	current.lastAt = now
	current.changes++
	a.latest[r.stream] = r
	return r
}

// awaitWritten returns once the store has a record.
func (a *Archivist) awaitWritten(ctx context.Context, r *record) error {
	ctx, cancel := context.WithTimeoutCause(ctx, assignTimeout, errNotWritten)
	defer cancel()
	for {
		a.mu.Lock()
		written, acknowledged := r.written, a.acknowledged
		a.mu.Unlock()
		if written {
			return nil
		}
		select {
		case <-acknowledged:
		case <-ctx.Done():
			return fmt.Errorf("assign stream to another software version: %w", context.Cause(ctx))
		}
	}
}

// Pending returns the blocks to write and to delete with the next round.
func (a *Archivist) Pending() apportioner.Attachment {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Now()
	a.index.expire(now)
	var batch apportioner.Attachment
	var written []writtenBlock
	for _, b := range a.blocks {
		if len(batch.Puts)+len(batch.Deletes) == maxBatch {
			break
		}
		switch expired := now.Sub(b.lastAt) >= retention; {
		case expired && b.sent:
			batch.Deletes = append(batch.Deletes, b.key)
			written = append(written, writtenBlock{block: b, deleted: true})
		case expired:
			b.deleted = true
		case b.changes > b.written:
			value, err := b.encode(a.config.Era())
			if err != nil {
				a.config.Recorder.Event(recorder.StreamArchiveFailed, "step", "encode", "key", b.key, "err", err)
				continue
			}
			batch.Puts = append(batch.Puts, persister.Put{Key: b.key, Value: value})
			written = append(written, writtenBlock{block: b, changes: b.changes, records: len(b.records)})
		}
	}
	a.dropDeleted()
	batch.Written = func() { a.acknowledge(written) }
	return batch
}

// encode returns the value of a block, and marks its records as sent.
func (b *block) encode(era int64) ([]byte, error) {
	e := encodedBlock{Assigned: make(map[string][]byte), Begun: make(map[string][]byte), Era: era}
	for _, r := range b.records {
		streams := e.Assigned
		if r.begun {
			streams = e.Begun
		}
		streams[r.software] = append(streams[r.software], r.stream[:]...)
		r.sent = true
	}
	b.sent = true
	return cbor.Marshal(e)
}

// writtenBlock is a block as of a write, or one that was deleted.
type writtenBlock struct {
	block            *block
	changes, records int
	deleted          bool
}

// acknowledge records that a batch has been written.
func (a *Archivist) acknowledge(batch []writtenBlock) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, w := range batch {
		w.block.deleted = w.block.deleted || w.deleted
		w.block.written = max(w.block.written, w.changes)
		for _, r := range w.block.records[:w.records] {
			r.written = true
		}
	}
	a.dropDeleted()
	close(a.acknowledged)
	a.acknowledged = make(chan struct{})
}

// dropOutdated drops blocks that no round has deleted for long, because rounds fail or write no records. RemoveUnused of
// another daemon deletes their keys.
func (a *Archivist) dropOutdated(now time.Time) {
	for _, b := range a.blocks {
		b.deleted = b.deleted || now.Sub(b.lastAt) >= 2*retention
	}
	a.dropDeleted()
}

func (a *Archivist) dropDeleted() {
	a.blocks = slices.DeleteFunc(a.blocks, func(b *block) bool {
		if !b.deleted {
			return false
		}
		for _, r := range b.records {
			if a.latest[r.stream] == r {
				delete(a.latest, r.stream)
			}
		}
		return true
	})
}

// Rewrite makes the next rounds write all blocks again. It is called when the store was restored from an older copy.
func (a *Archivist) Rewrite() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, b := range a.blocks {
		b.changes++
	}
}
