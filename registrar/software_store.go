package registrar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/resolver"
)

const (
	// softwareKey is the key of the software history in the store.
	softwareKey = "software/history"
	// eraService and eraSoftware are where the stored history has the era of the store in which it
	// was written, plus one. A daemon that does not know them takes that for a version which is gone
	// for long.
	eraService  resolver.ServiceName = ""
	eraSoftware string               = "era"
	// goneTolerance is the difference up to which two times at which a version disappeared count
	// as the same. Clocks differ by seconds.
	goneTolerance = 10 * time.Second
	// firstReadDelay and maxReadDelay limit the time until a daemon that does not store changes reads
	// the history because of a version that it does not know to be stored. It doubles each time. Usually
	// a notice of another daemon comes before.
	firstReadDelay = time.Second
	// staleListDelay is the time until Save compares the history again with a list that was older. A list is confirmed
	// at least every 1.5 s.
	staleListDelay = 500 * time.Millisecond
	maxReadDelay   = 8 * time.Second
)

// SoftwareStore keeps the software history in the store, so that a fleet that restarts as a
// whole knows which versions may have begun streams. It is written when a version appears or its
// last upstream disappears.
type SoftwareStore struct {
	Store     persister.Store
	Registrar *Registrar
	// Timeout limits each call to the store.
	Timeout time.Duration
	// Era returns the number of restores of the store. Nil means that there are none.
	Era func() int64
	// MemberPrefix is the prefix of keys that daemons write after they have called Load, and that
	// stay. While there is none, an absent history means that the fleet starts for the first time.
	MemberPrefix string
	// ListRevision returns the revision up to which the list of upstreams is known to be current. Nil
	// means that it always is.
	ListRevision func() contractor.Revision
	// Recorded is called with each listed version that this daemon has found in the store or written
	// to it in Save. Noticed reports whether another daemon has sent a notice of that. Both may be nil.
	Recorded func(service resolver.ServiceName, software string)
	Noticed  func(service resolver.ServiceName, software string) bool

	saved  SoftwareHistory // own history at the last successful Save
	saveAt time.Time       // when Save may read again, or zero
	// first is true if no daemon had run when this one loaded the history. It knows all versions. created
	// is true if it has also written the first history.
	first, created bool
	readAt         time.Time // when Refresh may read again, or zero
	readDelay      time.Duration
}

// storedSoftware is the history in the store.
type storedSoftware struct {
	history  SoftwareHistory
	revision contractor.Revision
	// certain is false if the history may lack versions that were stored.
	certain bool
}

// Load merges the stored history into that of the registrar. If there is none and no daemon has run
// before, it writes the first one.
func (s *SoftwareStore) Load(ctx context.Context) error {
	stored, err := s.read(ctx)
	if err != nil {
		return err
	}
	if stored.revision == 0 && !s.first {
		if s.first, err = s.noDaemonHasRun(ctx); err != nil {
			return err
		}
	}
	switch {
	case s.first:
		s.Registrar.StartSoftware()
		// A conflict means that another daemon which starts has written it.
		err := s.Save(ctx)
		if err != nil && !errors.Is(err, persister.ErrConflict) {
			return err
		}
		s.created = err == nil
	case stored.certain:
		s.Registrar.MergeSoftware(stored.history)
	default:
		s.Registrar.MergeUncertainSoftware(stored.history)
	}
	return nil
}

// Created reports whether this daemon has written the first history. It has to call Save like those that store changes:
// others that start later do not know that no version was lost.
func (s *SoftwareStore) Created() bool { return s.created }

func (s *SoftwareStore) noDaemonHasRun(ctx context.Context) (bool, error) {
	if s.era() > 0 {
		return false, nil // what daemons have written may be lost
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	page, err := s.Store.Range(ctx, s.MemberPrefix, "", 1)
	if err != nil {
		return false, fmt.Errorf("look for daemons that have run: %w", err)
	}
	return len(page.Entries) == 0, nil
}

// Save stores the history if it has changed since the last call, or has a version that is not known to be stored. An
// error means that the next call tries again.
func (s *SoftwareStore) Save(ctx context.Context) error {
	own := s.Registrar.SoftwareHistory()
	if s.saved != nil && own.Equal(s.saved) && !s.Registrar.UnrecordedSoftware() {
		return nil
	}
	now := s.Registrar.config.Now()
	if wait := s.saveAt.Sub(now); wait > 0 && wait <= staleListDelay {
		return nil
	}
	stored, err := s.read(ctx)
	if err != nil {
		return err
	}
	if stored.certain {
		own = s.Registrar.adoptSoftware(stored.history)
	}
	next := own.Clone()
	if stored.certain && s.ListRevision != nil && stored.revision > s.ListRevision() {
		// Another daemon may have stored versions that the list of this one does not have yet.
		next.keepListed(stored.history)
	}
	current := next.Equal(own)
	if !stored.certain || !next.sameVersions(stored.history) {
		if err := s.write(ctx, next, stored.revision); err != nil {
			return err
		}
	}
	if s.saved = own; !current {
		s.saved, s.saveAt = nil, now.Add(staleListDelay)
	}
	s.setRecorded(next)
	return nil
}

// Refresh reads the stored history if a version is listed that is not known to be stored. It is called several times per
// second at daemons that do not call Save.
func (s *SoftwareStore) Refresh(ctx context.Context) error {
	now := s.Registrar.config.Now()
	if s.Noticed != nil && s.Registrar.UnrecordedSoftware() {
		s.Registrar.addRecordedSoftware(s.Noticed)
	}
	switch {
	case !s.Registrar.UnrecordedSoftware():
		s.readAt = time.Time{}
		return nil
	case s.readAt.IsZero() || s.readAt.Sub(now) > maxReadDelay: // the clock was set back
		s.readAt, s.readDelay = now.Add(firstReadDelay), firstReadDelay
		return nil
	case now.Before(s.readAt):
		return nil
	}
	s.readDelay = min(2*s.readDelay, maxReadDelay)
	s.readAt = now.Add(s.readDelay)
	stored, err := s.read(ctx)
	if err != nil {
		return err
	}
	if stored.certain {
		s.Registrar.adoptSoftware(stored.history)
		s.Registrar.setRecordedSoftware(stored.history)
	}
	return nil
}

// setRecorded reports versions that have become known to be stored.
func (s *SoftwareStore) setRecorded(stored SoftwareHistory) {
	known := s.Registrar.software.Load().recorded
	s.Registrar.setRecordedSoftware(stored)
	if s.Recorded == nil {
		return
	}
	nowMs := s.Registrar.config.Now().UnixMilli()
	for service, versions := range stored {
		for software, goneAtMs := range versions {
			if goneAtMs == 0 && !known.records(service, software, nowMs) {
				s.Recorded(service, software)
			}
		}
	}
}

// Forget makes the next Save compare the history with the stored one, which may be lost: the store was
// restored from an older copy.
func (s *SoftwareStore) Forget() { s.saved = nil }

func (s *SoftwareStore) era() int64 {
	if s.Era == nil {
		return 0
	}
	return s.Era()
}

func (s *SoftwareStore) read(ctx context.Context) (storedSoftware, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	entry, err := s.Store.Get(ctx, softwareKey)
	if err != nil {
		return storedSoftware{}, fmt.Errorf("read software history: %w", err)
	}
	stored := storedSoftware{history: SoftwareHistory{}, revision: entry.Revision}
	if entry.Revision == 0 {
		return stored, nil
	}
	if err := cbor.Unmarshal(entry.Value, &stored.history); err != nil {
		s.Registrar.config.Recorder.Event(recorder.SoftwareNotStored, "loaded", false, "revision", entry.Revision, "err", err)
		stored.history = SoftwareHistory{}
		return stored, nil
	}
	// Daemons that do not know eras leave them out.
	era, ok := stored.history[eraService][eraSoftware]
	stored.certain = !ok || era == s.era()+1
	delete(stored.history, eraService)
	return stored, nil
}

func (s *SoftwareStore) write(ctx context.Context, h SoftwareHistory, revision contractor.Revision) error {
	h = h.Clone()
	h[eraService] = map[string]int64{eraSoftware: s.era() + 1}
	value, err := cbor.Marshal(h)
	if err != nil {
		return fmt.Errorf("encode software history: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	_, err = s.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{{Key: softwareKey, Revision: revision}},
		Puts:     []persister.Put{{Key: softwareKey, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("write software history: %w", err)
	}
	return nil
}

// keepListed marks the versions as listed that a stored history has as listed.
func (h SoftwareHistory) keepListed(stored SoftwareHistory) {
	for service, versions := range stored {
		for software, goneAtMs := range versions {
			if goneAtMs == 0 {
				h.add(service, software, 0)
			}
		}
	}
}

// sameVersions reports whether both have the same versions, of which the same are listed, and none has
// disappeared again later than stored has it.
func (h SoftwareHistory) sameVersions(stored SoftwareHistory) bool {
	return h.covers(stored) && stored.covers(h) && !h.goneLater(stored)
}

func (h SoftwareHistory) goneLater(stored SoftwareHistory) bool {
	for service, versions := range h {
		for software, goneAtMs := range versions {
			if goneAtMs-stored[service][software] > goneTolerance.Milliseconds() {
				return true
			}
		}
	}
	return false
}

func (h SoftwareHistory) covers(other SoftwareHistory) bool {
	for service, versions := range other {
		for software, goneAtMs := range versions {
			own, ok := h[service][software]
			if !ok || (own == 0) != (goneAtMs == 0) {
				return false
			}
		}
	}
	return true
}
