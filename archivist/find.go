package archivist

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/pinner"
	"laburnumline/recorder"
	"laburnumline/sleeper"
)

const (
	// readInterval is the shortest time between the starts of two reads of a daemon. In a fleet of more than
	// fullRateFleetSize daemons it grows in proportion, because most of them read when most have died.
	readInterval      = 250 * time.Millisecond
	fullRateFleetSize = 16
	// findTimeout limits how long a request waits for a read. The store responds in 4 ms, or in up to
	// 100 times as long when it is slow.
	findTimeout = 600 * time.Millisecond
	// readTimeout limits a read, which may have several pages.
	readTimeout = 2 * time.Second
	// pageSize is the number of keys in a page.
	pageSize = 500
	// maxIndexRecords limits the memory of the index, to about 10 MB.
	maxIndexRecords = 1 << 18
	// deletesPerCall is the number of keys that one transaction deletes.
	deletesPerCall = 16
)

// errTooSoon means that the next read is due later than the request can wait.
var errTooSoon = errors.New("the records of streams were read a moment ago, and are read again later")

// errRestored means that the store was restored from an older copy during a read.
var errRestored = errors.New("the store was restored from an older copy meanwhile")

// read is a read of all blocks, in flight or planned.
type read struct {
	begunAt time.Time
	done    chan struct{} // closed at its end
	err     error
}

// index has the records of all daemons as of a read.
type index struct {
	readAt time.Time
	// era is that of the store at the read.
	era int64
	// names are those of the software versions. The first one is voidSoftware.
	names   []string
	streams map[pinner.Stream]indexed
}

// voidName is the index of voidSoftware in the names of an index.
const voidName = 0

// indexed is what the records of a stream say.
type indexed struct {
	name  uint16
	begun bool
}

func newIndex(readAt time.Time) index {
	return index{readAt: readAt, names: []string{voidSoftware}, streams: make(map[pinner.Stream]indexed)}
}

// find returns the version of a stream if it is certain for a caller that asks at a time.
func (x *index) find(s pinner.Stream, at time.Time) (software string, ok bool) {
	found, recorded := x.streams[s]
	if !recorded || found.name == voidName || !found.begun && x.readAt.Before(at) {
		return "", false
	}
	return x.names[found.name], true
}

// expire frees the memory of an index that has not been needed for a while.
func (x *index) expire(now time.Time) {
	if now.Sub(x.readAt) >= retention {
		*x = index{}
	}
}

// add adds the records of a block. It reports false if the index is full.
func (x *index) add(b *encodedBlock) bool {
	for software, streams := range b.Begun {
		if !x.addStreams(software, streams, true) {
			return false
		}
	}
	for software, streams := range b.Assigned {
		if b.Era != x.era {
			software = voidSoftware
		}
		if !x.addStreams(software, streams, false) {
			return false
		}
	}
	return true
}

func (x *index) addStreams(software string, streams []byte, begun bool) bool {
	const size = len(pinner.Stream{})
	name := slices.Index(x.names, software)
	if name < 0 {
		name = len(x.names)
		x.names = append(x.names, software)
	}
	for ; len(streams) >= size; streams = streams[size:] {
		if len(x.streams) >= maxIndexRecords || name > math.MaxUint16 {
			return false
		}
		x.merge(pinner.Stream(streams), indexed{name: uint16(name), begun: begun})
	}
	return true
}

// merge adds a record of a stream. That a stream has begun at a version outweighs what it was assigned to.
func (x *index) merge(s pinner.Stream, r indexed) {
	known, recorded := x.streams[s]
	switch {
	case !recorded || r.begun && !known.begun:
	case known.begun && !r.begun:
		return
	case known.name != r.name:
		r.name = voidName
	}
	x.streams[s] = r
}

// Find returns the software version that began a stream, or false if the store has no record of it. The records of
// daemons that died before the call are all considered.
func (a *Archivist) Find(ctx context.Context, s pinner.Stream) (software string, ok bool, err error) {
	ctx, cancel := context.WithTimeoutCause(ctx, findTimeout, errors.New("reading the records of streams takes too long"))
	defer cancel()
	calledAt := a.config.Now()
	for {
		interval := a.readInterval()
		a.mu.Lock()
		software, ok = a.index.find(s, calledAt)
		if ok {
			a.mu.Unlock()
			return software, true, nil
		}
		r := a.joinRead(calledAt, interval)
		a.mu.Unlock()
		if r == nil {
			return "", false, nil
		}
		if r.begunAt.Sub(calledAt) > findTimeout {
			return "", false, fmt.Errorf("find stream: %w", errTooSoon)
		}
		select {
		case <-r.done:
		case <-ctx.Done():
			return "", false, fmt.Errorf("find stream: %w", context.Cause(ctx))
		}
		if r.err != nil && !r.begunAt.Before(calledAt) {
			return "", false, r.err
		}
	}
}

// readInterval is the time between the begins of two reads. The lock is not held: Members takes that of another part, which
// calls the Archivist.
func (a *Archivist) readInterval() time.Duration {
	return readInterval * time.Duration(max(a.config.Members(), fullRateFleetSize)) / fullRateFleetSize
}

// joinRead returns the read in flight or the next one, which begins an interval after the last one. It returns nil if one
// that began after a time has succeeded. The lock is held.
func (a *Archivist) joinRead(after time.Time, interval time.Duration) *read {
	if !a.index.readAt.Before(after) {
		return nil
	}
	now := a.config.Now()
	begin := now
	if a.read != nil {
		select {
		case <-a.read.done:
			if next := a.read.begunAt.Add(interval); next.After(now) {
				begin = next
			}
		default:
			return a.read
		}
	}
	r := &read{begunAt: begin, done: make(chan struct{})}
	a.read = r
	go a.run(r, begin.Sub(now))
	return r
}

// run reads all blocks after a delay.
func (a *Archivist) run(r *read, delay time.Duration) {
	defer close(r.done)
	ctx, cancel := context.WithTimeout(context.Background(), delay+readTimeout)
	defer cancel()
	r.err = sleeper.Sleep(ctx, delay)
	next := newIndex(r.begunAt)
	if r.err == nil {
		r.err = a.forEachPage(ctx, func(entries []persister.Entry) error { return a.addEntries(&next, entries) })
	}
	if r.err != nil {
		a.config.Recorder.Event(recorder.StreamArchiveFailed, "step", "read", "err", r.err)
		return
	}
	a.config.Recorder.Event(recorder.StreamArchiveRead, "records", len(next.streams), "versions", next.names)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = next
}

// addEntries adds the records of some keys to an index.
func (a *Archivist) addEntries(x *index, entries []persister.Entry) error {
	era := a.config.Era()
	if len(x.streams) > 0 && era != x.era {
		return errRestored
	}
	x.era = era
	for _, e := range entries {
		var b encodedBlock
		if err := cbor.Unmarshal(e.Value, &b); err != nil {
			a.config.Recorder.Event(recorder.EntrySkipped, "key", e.Key, "revision", e.Revision, "err", err)
			continue
		}
		if !x.add(&b) {
			a.config.Recorder.Count("archivist.index_full", 1)
			return nil
		}
	}
	return nil
}

// forEachPage reads all keys, page by page.
func (a *Archivist) forEachPage(ctx context.Context, handle func([]persister.Entry) error) error {
	after := ""
	for {
		page, err := a.config.Store.Range(ctx, Prefix, after, pageSize)
		if err != nil {
			return fmt.Errorf("read records of streams: %w", err)
		}
		if err := handle(page.Entries); err != nil {
			return err
		}
		if !page.More || len(page.Entries) == 0 {
			return nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

// RemoveUnused deletes the keys that have not changed since its last call, which must have been longer than retention ago.
// They are those of daemons that are gone: the others delete theirs.
func (a *Archivist) RemoveUnused(ctx context.Context) error {
	a.mu.Lock()
	before := a.swept
	a.mu.Unlock()
	current, unused := make(map[string]contractor.Revision), []string(nil)
	err := a.forEachPage(ctx, func(entries []persister.Entry) error {
		for _, e := range entries {
			current[e.Key] = e.Revision
			if before[e.Key] == e.Revision {
				unused = append(unused, e.Key)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	for len(unused) > 0 {
		n := min(len(unused), deletesPerCall)
		if _, err := a.config.Store.Commit(ctx, persister.Txn{Deletes: unused[:n]}); err != nil {
			return fmt.Errorf("delete records of streams: %w", err)
		}
		unused = unused[n:]
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.swept = current
	return nil
}
