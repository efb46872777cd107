package watcher

import (
	"time"

	"laburnumline/contractor"
	"laburnumline/messenger"
)

// The methods of this package have the numbers 300 to 399.
const (
	// MethodPoll waits for changes of the configuration.
	MethodPoll messenger.Method = 300
	// MethodFetch reads a contract, or the account of a bearer key.
	MethodFetch messenger.Method = 301
	// MethodRevisions returns the revisions that a daemon has applied.
	MethodRevisions messenger.Method = 302
)

// PollRequest is a long poll for the changes after the sender's revisions.
type PollRequest struct {
	After Revisions `cbor:"1,keyasint"`
	// MaxWait is how long the response may wait for a change.
	MaxWait time.Duration `cbor:"2,keyasint"`
}

// PollResponse is the response to a PollRequest.
type PollResponse struct {
	Updates []Update `cbor:"1,keyasint,omitempty"`
	// Synced is true when the relay has been in contact with the store, directly
	// or through another relay, at least once.
	Synced bool `cbor:"2,keyasint,omitempty"`
	// Age is the time since the last such contact on the relay's clock.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Waited is how long the relay kept the poll open.
	Waited time.Duration `cbor:"4,keyasint,omitempty"`
}

// FetchRequest requests the contract of Account or, when KeyHash is set, the
// account of that bearer key.
type FetchRequest struct {
	Account contractor.Account `cbor:"1,keyasint,omitempty"`
	KeyHash contractor.KeyHash `cbor:"2,keyasint,omitempty"`
	// MinRevision is the revision of the section of contracts that the response
	// has to include.
	MinRevision contractor.Revision `cbor:"3,keyasint,omitempty"`
}

// FetchResponse is the response to a FetchRequest.
type FetchResponse struct {
	// Contract is nil when the account has none.
	Contract *CompressedContract `cbor:"1,keyasint,omitempty"`
	// Revision is the revision of the contract. It is zero when the account has none.
	Revision contractor.Revision `cbor:"2,keyasint,omitempty"`
	// Account is empty when the bearer key is unknown.
	Account contractor.Account `cbor:"3,keyasint,omitempty"`
	// Age is the time since the contract was last known to be current.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// RevisionsRequest requests the revisions that a daemon has applied.
type RevisionsRequest struct{}

// RevisionsResponse is the response to a RevisionsRequest.
type RevisionsResponse struct {
	Applied Revisions `cbor:"1,keyasint"`
	// Age is the time since the daemon's last contact; negative means never.
	Age time.Duration `cbor:"2,keyasint"`
}
