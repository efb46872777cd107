package registrar

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// softwareKey is the key of the software history in the store.
const softwareKey = "software/history"

// SoftwareStore keeps the software history in the store, so that a fleet that restarts as a
// whole knows which versions may have begun streams. It is written when a version appears or its
// last upstream disappears.
type SoftwareStore struct {
	Store     persister.Store
	Registrar *Registrar
	// Timeout limits each call to the store.
	Timeout time.Duration

	saved SoftwareHistory // own history at the last successful Save
}

// Load merges the stored history into that of the registrar.
func (s *SoftwareStore) Load(ctx context.Context) error {
	stored, _, err := s.read(ctx)
	if err != nil {
		return err
	}
	s.Registrar.MergeSoftware(stored)
	return nil
}

// Save stores the history if it has changed since the last call. An error means that the next call
// tries again.
func (s *SoftwareStore) Save(ctx context.Context) error {
	own := s.Registrar.SoftwareHistory()
	if s.saved != nil && own.Equal(s.saved) {
		return nil
	}
	stored, revision, err := s.read(ctx)
	if err != nil {
		return err
	}
	if !own.sameVersions(stored) {
		if err := s.write(ctx, own, revision); err != nil {
			return err
		}
	}
	s.saved = own
	return nil
}

// Forget makes the next Save compare the history with the stored one, which may be lost: the store was
// restored from an older copy.
func (s *SoftwareStore) Forget() { s.saved = nil }

func (s *SoftwareStore) read(ctx context.Context) (SoftwareHistory, contractor.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	entry, err := s.Store.Get(ctx, softwareKey)
	if err != nil {
		return nil, 0, fmt.Errorf("read software history: %w", err)
	}
	stored := SoftwareHistory{}
	if entry.Revision == 0 {
		return stored, 0, nil
	}
	if err := cbor.Unmarshal(entry.Value, &stored); err != nil {
		return nil, 0, fmt.Errorf("decode software history of revision %d: %w", entry.Revision, err)
	}
	return stored, entry.Revision, nil
}

func (s *SoftwareStore) write(ctx context.Context, h SoftwareHistory, revision contractor.Revision) error {
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

// sameVersions reports whether both have the same versions, of which the same are listed. The times
// at which daemons saw a version disappear differ.
func (h SoftwareHistory) sameVersions(other SoftwareHistory) bool {
	return h.covers(other) && other.covers(h)
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
