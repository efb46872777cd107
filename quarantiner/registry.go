package quarantiner

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/refuser"
	"laburnumline/sleeper"
)

const (
	keyPrefix = "quarantine/"
	// maxCommitAttempts is the number of attempts at a compare-and-swap that conflicts.
	maxCommitAttempts = 5
	// permitRetryAfter is the Retry-After when no permit is granted, for instance during
	// another execution of the suspect.
	permitRetryAfter = 2 * time.Second
	// minPersistDelay doubles with each failed attempt to store a record, up to maxPersistDelay.
	minPersistDelay = 250 * time.Millisecond
	maxPersistDelay = 4 * time.Second
	// recordLifetime is how long after its last crash a record stays in the store. Daemons
	// that run keep theirs.
	recordLifetime = 24 * time.Hour
	// loadPageSize is the number of records that Load reads per page.
	loadPageSize = 500
)

// Registry keeps suspects in the store and grants permits to execute them.
type Registry struct {
	// Store is the platform's key-value service.
	Store persister.Store
	// Local is the state of this daemon.
	Local *Quarantiner
	// Incarnation identifies the incarnation (one start) of this daemon.
	Incarnation string
	// PermitTimeout is the time after which the permit of another daemon expires and its
	// execution counts as a crash. It must exceed the maximum duration of a request.
	// Zero means 15 min.
	PermitTimeout time.Duration
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
	// Recorder counts what is not stored. Nil discards it.
	Recorder *recorder.Recorder
}

const defaultPermitTimeout = 15 * time.Minute

func (r *Registry) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

func (r *Registry) permitTimeout() time.Duration {
	if r.PermitTimeout <= 0 {
		return defaultPermitTimeout
	}
	return r.PermitTimeout
}

// Permit is the right to execute a suspect once.
type Permit struct {
	// Exclusive is true when the suspect must be executed on an upstream without other
	// work. Otherwise it must only be kept apart from other suspects.
	Exclusive bool

	registry *Registry
	record   Record
	revision contractor.Revision
}

// Permit requests a permit to execute a suspect: a request, or a part of a request with some parts. It charges a crash in
// advance, which End removes. The permit is nil if the store shows that the suspect has been cleared. Errors are
// *refuser.Refusal with Execution equal to NotExecuted.
func (r *Registry) Permit(ctx context.Context, d Digest, parts ...Digest) (*Permit, error) {
	for range maxCommitAttempts {
		permit, err := r.permit(ctx, d, parts)
		if !errors.Is(err, persister.ErrConflict) {
			return permit, err
		}
	}
	return nil, busyRefusal(d)
}

func (r *Registry) permit(ctx context.Context, d Digest, parts []Digest) (*Permit, error) {
	stored, revision, err := r.read(ctx, d)
	if err != nil {
		return nil, unavailableRefusal(err)
	}
	local, _ := r.Local.Record(d)
	record := merge(local, stored)
	record.Digest = d
	now := r.now()
	if record.PermitHolder != "" && now.Unix()-record.PermitGranted <= int64(r.permitTimeout().Seconds()) {
		return nil, busyRefusal(d)
	}
	if len(record.CrashedUpstreams) == 0 && (record.Part || record.Lifts > 0) {
		r.Local.Merge(now, []Record{record})
		return nil, nil
	}
	if r.Local.verdictOn(now, &record, parts) == Quarantined {
		return nil, r.storeQuarantine(ctx, record, stored, revision)
	}
	p := &Permit{Exclusive: len(record.CrashedUpstreams) > 1, registry: r}
	record.CrashedUpstreams = append(slices.Clone(record.CrashedUpstreams), permitPrefix+r.Incarnation)
	record.PermitHolder, record.PermitGranted, record.Cleared = r.Incarnation, now.Unix(), false
	record.LastCrash = now.Unix()
	p.revision, err = r.write(ctx, &record, revision)
	if errors.Is(err, persister.ErrConflict) {
		return nil, err
	}
	if err != nil {
		return nil, unavailableRefusal(err)
	}
	p.record = record
	r.Local.setPermitHeld(d, true)
	return p, nil
}

// storeQuarantine stores the record of a request that reached MaxCrashes and returns the
// refusal.
func (r *Registry) storeQuarantine(ctx context.Context, record, stored Record, revision contractor.Revision) error {
	if len(stored.CrashedUpstreams) < len(record.CrashedUpstreams) || record.PermitHolder != "" {
		record.PermitHolder = ""
		if _, err := r.write(ctx, &record, revision); errors.Is(err, persister.ErrConflict) {
			return err
		}
	}
	return refuser.New(refuser.Quarantined, "permit").
		WithDetail("the request crashed %d upstreams, digest %s", len(record.CrashedUpstreams), record.Digest)
}

// End records the result of the execution and releases the permit. It is called after
// Quarantiner.End. The upstream is empty if the request was not sent. If the store does
// not respond, the charged crash remains.
func (p *Permit) End(ctx context.Context, upstream string, crashed bool) error {
	defer p.registry.Local.setPermitHeld(p.record.Digest, false)
	record := p.record
	record.PermitHolder = ""
	last := len(record.CrashedUpstreams) - 1
	record.CrashedUpstreams = record.CrashedUpstreams[:last:last]
	switch {
	case crashed:
		record.CrashedUpstreams = append(record.CrashedUpstreams, upstream)
		record.LastCrash = p.registry.now().Unix()
		if p.Exclusive {
			record.ExclusiveCrashes++
		}
	case upstream != "" && record.Part:
		record = Record{Digest: record.Digest, Part: true, Version: record.Version, Lifts: record.Lifts + 1}
	case upstream != "":
		record.Cleared = record.PermittedSuccesses == 0 && record.ExclusiveCrashes == 0
		record.PermittedSuccesses++
	}
	_, err := p.registry.write(ctx, &record, p.revision)
	if err != nil {
		return fmt.Errorf("end permit of digest %s: %w", record.Digest, err)
	}
	return nil
}

// Report merges the local record of a digest into the store, from which daemons that start
// later load it.
func (r *Registry) Report(ctx context.Context, d Digest) error {
	for range maxCommitAttempts {
		stored, revision, err := r.read(ctx, d)
		if err != nil {
			return err
		}
		local, ok := r.Local.Record(d)
		if !ok {
			return nil
		}
		record := merge(local, stored)
		record.Digest = d
		if len(record.CrashedUpstreams) == len(stored.CrashedUpstreams) && record.Lifts == stored.Lifts {
			return nil
		}
		_, err = r.write(ctx, &record, revision)
		if !errors.Is(err, persister.ErrConflict) {
			return err
		}
	}
	return fmt.Errorf("report digest %s: %w", d, persister.ErrConflict)
}

// Persist reports a digest until the store has it, or ctx ends.
func (r *Registry) Persist(ctx context.Context, d Digest) {
	err := r.Report(ctx, d)
	for delay := minPersistDelay; err != nil; delay = min(2*delay, maxPersistDelay) {
		if sleeper.Sleep(ctx, delay) != nil {
			r.Recorder.Event(recorder.QuarantineNotStored, "digest", d, "err", err)
			return
		}
		err = r.Report(ctx, d)
	}
}

// Lift lifts the quarantine of a request: at an operator's request, or because it has been executed without a crash.
func (r *Registry) Lift(ctx context.Context, d Digest) error {
	for range maxCommitAttempts {
		record, revision, err := r.read(ctx, d)
		if err != nil {
			return err
		}
		record = Record{Digest: d, Version: record.Version, Lifts: record.Lifts + 1}
		_, err = r.write(ctx, &record, revision)
		if !errors.Is(err, persister.ErrConflict) {
			return err
		}
	}
	return fmt.Errorf("lift quarantine of digest %s: %w", d, persister.ErrConflict)
}

// Load merges all records of the store into Local, when the daemon starts, and removes the
// expired ones from the store.
func (r *Registry) Load(ctx context.Context) error {
	after := ""
	for {
		page, err := r.Store.Range(ctx, keyPrefix, after, loadPageSize)
		if err != nil {
			return fmt.Errorf("load quarantine: %w", err)
		}
		for _, entry := range page.Entries {
			r.Apply(entry)
			after = entry.Key
		}
		r.removeExpired(ctx, page.Entries)
		if !page.More || len(page.Entries) == 0 {
			return nil
		}
	}
}

// Watch merges every change of a record in the store into Local until ctx ends.
func (r *Registry) Watch(ctx context.Context, after contractor.Revision) error {
	return r.Store.Watch(ctx, keyPrefix, after, func(b persister.Batch) error {
		for _, c := range b.Changes {
			if !c.Deleted {
				r.Apply(c.Entry)
			}
		}
		return nil
	})
}

// Apply merges an entry of the store into Local.
func (r *Registry) Apply(entry persister.Entry) {
	record, err := decode(entry)
	if err != nil {
		r.Recorder.Event(recorder.EntrySkipped, "key", entry.Key, "revision", entry.Revision, "err", err)
		return
	}
	r.Local.Merge(r.now(), []Record{record})
}

// removeExpired removes those entries from the store whose last crash is longer than
// recordLifetime ago. If it fails, another daemon that starts removes them.
func (r *Registry) removeExpired(ctx context.Context, entries []persister.Entry) {
	oldest := r.now().Add(-recordLifetime).Unix()
	for _, e := range entries {
		record, err := decode(e)
		if err != nil || record.LastCrash >= oldest || record.PermitHolder != "" {
			continue
		}
		_, err = r.Store.Commit(ctx, persister.Txn{
			Compares: []persister.Compare{{Key: e.Key, Revision: e.Revision}}, Deletes: []string{e.Key},
		})
		if err != nil {
			r.Recorder.Event(recorder.QuarantineNotStored, "key", e.Key, "err", err)
			return
		}
	}
}

func (r *Registry) read(ctx context.Context, d Digest) (Record, contractor.Revision, error) {
	entry, err := r.Store.Get(ctx, keyPrefix+d.String())
	if err != nil {
		return Record{}, 0, fmt.Errorf("read quarantine of digest %s: %w", d, err)
	}
	record, err := decode(entry)
	return record, entry.Revision, err
}

func decode(entry persister.Entry) (Record, error) {
	var record Record
	if entry.Revision == 0 {
		return record, nil
	}
	if err := cbor.Unmarshal(entry.Value, &record); err != nil {
		return Record{}, fmt.Errorf("decode %s: %w", entry.Key, err)
	}
	return record, nil
}

func (r *Registry) write(ctx context.Context, record *Record, revision contractor.Revision) (contractor.Revision, error) {
	record.Version++
	raw, err := cbor.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("encode quarantine of digest %s: %w", record.Digest, err)
	}
	key := keyPrefix + record.Digest.String()
	written, err := r.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{{Key: key, Revision: revision}},
		Puts:     []persister.Put{{Key: key, Value: raw}},
	})
	if err != nil {
		return 0, fmt.Errorf("write quarantine of digest %s: %w", record.Digest, err)
	}
	r.Local.Merge(r.now(), []Record{*record})
	return written, nil
}

func busyRefusal(d Digest) error {
	return refuser.New(refuser.Quarantined, "permit").WithRetryAfter(permitRetryAfter).
		WithDetail("the request may have crashed an upstream; another run of it goes on, digest %s", d)
}

func unavailableRefusal(err error) error {
	return refuser.New(refuser.Quarantined, "permit").WithRetryAfter(permitRetryAfter).WithCause(err).
		WithDetail("the request may have crashed an upstream and no permit can be had")
}
