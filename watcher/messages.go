package watcher

import (
	"time"

	"laburnumline/contractor"
	"laburnumline/messenger"
)

// Methods of the watcher have the numbers 300 to 399.
const (
	// MethodPoll waits for changes of the configuration.
	MethodPoll messenger.Method = 300
	// MethodFetch reads a contract, or the account of a bearer key.
	MethodFetch messenger.Method = 301
	// MethodRevisions asks which revisions are in force.
	MethodRevisions messenger.Method = 302
)

// PollRequest asks for the changes after the caller's revisions.
type PollRequest struct {
	After Revisions `cbor:"1,keyasint"`
	// MaxWait is how long the answer may wait for a change.
	MaxWait time.Duration `cbor:"2,keyasint"`
}

// PollResponse answers a Poll.
type PollResponse struct {
	Updates []Update `cbor:"1,keyasint,omitempty"`
	// Synced is true when the relay has been in contact with the store.
	Synced bool `cbor:"2,keyasint,omitempty"`
	// Age is the time since that contact, on the relay's clock.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Waited is how long the answer waited.
	Waited time.Duration `cbor:"4,keyasint,omitempty"`
}

// FetchRequest asks for one contract, or for the account of a bearer key.
type FetchRequest struct {
	Account contractor.Account `cbor:"1,keyasint,omitempty"`
	KeyHash contractor.KeyHash `cbor:"2,keyasint,omitempty"`
	// MinRevision is the revision of contracts that the answer has to include.
	MinRevision contractor.Revision `cbor:"3,keyasint,omitempty"`
}

// FetchResponse answers a Fetch.
type FetchResponse struct {
	// Contract is nil when the account has none.
	Contract *CompressedContract `cbor:"1,keyasint,omitempty"`
	Revision contractor.Revision `cbor:"2,keyasint,omitempty"`
	// Account is empty when the bearer key is unknown.
	Account contractor.Account `cbor:"3,keyasint,omitempty"`
	// Age is the time since the answer was known to be current.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// RevisionsRequest asks which revisions are in force.
type RevisionsRequest struct{}

// RevisionsResponse tells which revisions are in force.
type RevisionsResponse struct {
	Applied Revisions `cbor:"1,keyasint"`
	// Age is the time since the daemon's last contact; negative means never.
	Age time.Duration `cbor:"2,keyasint"`
}
