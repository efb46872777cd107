package deduplicator

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"laburnumline/conductor"
	"laburnumline/contractor"
)

const claimPrefix = "claim/"

// State says what is known about a call.
type State uint8

const (
	// Running means that the claim's daemon may be executing the call.
	Running State = iota
	// Answered means that the call was executed and its response is stored.
	Answered
	// Unknown means that it is not known whether the call was executed.
	Unknown
)

// String returns "running", "answered" or "unknown".
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Answered:
		return "answered"
	case Unknown:
		return "unknown"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText accepts "running", "answered" and "unknown".
func (s *State) UnmarshalText(text []byte) error {
	for _, known := range []State{Running, Answered, Unknown} {
		if string(text) == known.String() {
			*s = known
			return nil
		}
	}
	return fmt.Errorf("state %q is not running, answered or unknown", text)
}

// Fingerprint is a digest of the method, the path and the body of a call.
type Fingerprint = [16]byte

// record is the value of a claim in the store.
type record struct {
	State State `cbor:"1,keyasint"`
	// OperationID identifies the last write of the claim.
	OperationID uuid.UUID              `cbor:"2,keyasint"`
	Fingerprint Fingerprint            `cbor:"3,keyasint"`
	VM          contractor.VM          `cbor:"4,keyasint"`
	Incarnation contractor.Incarnation `cbor:"5,keyasint"`
	StartedMS   int64                  `cbor:"6,keyasint"`
	EndedMS     int64                  `cbor:"7,keyasint,omitempty"`
	Response    *storedResponse        `cbor:"8,keyasint,omitempty"`
	// Operator is the name of the operator who resolved an unknown outcome.
	Operator string `cbor:"9,keyasint,omitempty"`
	// ClaimID identifies the claim in all its states.
	ClaimID uuid.UUID `cbor:"10,keyasint"`
}

// storedResponse is the response within a claim.
type storedResponse struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
	// DroppedBytes is the size of a body that was too large to store.
	DroppedBytes int `cbor:"4,keyasint,omitempty"`
}

// maxHeaderBytes is the largest header that is stored completely.
const maxHeaderBytes = 8 << 10

// newStoredResponse returns the part of a response that is stored.
func newStoredResponse(response *conductor.Response, maxBody int) *storedResponse {
	kept := &storedResponse{Status: response.Status, Header: limitHeader(response.Header), Body: response.Body}
	if len(response.Body) > maxBody {
		kept.Body = nil
		kept.DroppedBytes = len(response.Body)
	}
	return kept
}

// limitHeader returns the header, or only its Content-Type if it is too large.
func limitHeader(h http.Header) http.Header {
	size := 0
	for key, values := range h {
		size += len(key) + len(strings.Join(values, ""))
	}
	if size <= maxHeaderBytes {
		return h
	}
	return http.Header{"Content-Type": h.Values("Content-Type")}
}

// replay returns the response that a retry receives.
func (s *storedResponse) replay() *conductor.Response {
	response := &conductor.Response{Status: s.Status, Header: s.Header.Clone(), Body: s.Body, Replayed: true}
	if s.DroppedBytes == 0 {
		return response
	}
	if response.Header == nil {
		response.Header = make(http.Header)
	}
	response.Header.Del("Content-Length")
	response.Header.Del("Content-Encoding")
	response.Header.Set("Content-Type", "application/json")
	response.Body = fmt.Appendf(nil, `{"note":"the call has run once; its answer of %d bytes was too large to keep"}`, s.DroppedBytes)
	return response
}

func (r *record) encode() ([]byte, error) {
	raw, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode claim: %w", err)
	}
	return raw, nil
}

func decode(path string, raw []byte) (record, error) {
	var r record
	if err := cbor.Unmarshal(raw, &r); err != nil {
		return record{}, fmt.Errorf("decode %q: %w", path, err)
	}
	return r, nil
}

// withNewOperation returns a copy of the record with a new operation ID.
func (r *record) withNewOperation() record {
	n := *r
	n.OperationID = uuid.New()
	return n
}

// withEnd returns a copy of the record after the end of its call.
func (r *record) withEnd(state State, response *storedResponse, now time.Time) record {
	n := r.withNewOperation()
	n.State = state
	n.Response = response
	n.EndedMS = now.UnixMilli()
	return n
}
