package persister

import "laburnumline/contractor"

// eraBits is the number of low bits of a revision that hold the store's own number. The era is in
// the bits above.
const eraBits = 44

// maxEra is the largest era that fits into a revision.
const maxEra = 1<<(63-eraBits) - 1

// NewRevision returns the revision for a number that the store gave out in an era. A store that was
// restored from an older copy begins a new era and gives the same numbers out again. With the era
// in front, a later revision is always larger. Zero, for a key that does not exist, has no era.
func NewRevision(era, number int64) contractor.Revision {
	if number == 0 {
		return 0
	}
	return contractor.Revision(min(max(era, 0), maxEra)<<eraBits | number)
}

// EraOf returns the era of a revision. It is zero for a store that has no eras.
func EraOf(r contractor.Revision) int64 { return int64(r) >> eraBits }

// NumberOf returns the store's own number of a revision.
func NumberOf(r contractor.Revision) int64 { return int64(r) & (1<<eraBits - 1) }
