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
	// Running means that the claim's daemon may be running the call.
	Running State = iota
	// Answered means that the call has run and its answer is stored.
	Answered
	// Unknown means that nobody can tell whether the call has run.
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
	// Operation identifies the last write of the claim.
	Operation   uuid.UUID              `cbor:"2,keyasint"`
	Fingerprint Fingerprint            `cbor:"3,keyasint"`
	VM          contractor.VM          `cbor:"4,keyasint"`
	Incarnation contractor.Incarnation `cbor:"5,keyasint"`
	StartedMS   int64                  `cbor:"6,keyasint"`
	EndedMS     int64                  `cbor:"7,keyasint,omitempty"`
	Answer      *storedAnswer          `cbor:"8,keyasint,omitempty"`
	// Operator has resolved an unknown outcome.
	Operator string `cbor:"9,keyasint,omitempty"`
	// Claimed identifies the claim through all its states.
	Claimed uuid.UUID `cbor:"10,keyasint"`
}

// storedAnswer is an answer within a claim.
type storedAnswer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
	// Dropped is the size of a body that was too large to keep, in bytes.
	Dropped int `cbor:"4,keyasint,omitempty"`
}

// maxHeader is the largest stored header in bytes.
const maxHeader = 8 << 10

// stored returns the part of an answer that is kept.
func stored(a *conductor.Response, maxBody int) *storedAnswer {
	kept := &storedAnswer{Status: a.Status, Header: boundedHeader(a.Header), Body: a.Body}
	if len(a.Body) > maxBody {
		kept.Body = nil
		kept.Dropped = len(a.Body)
	}
	return kept
}

func boundedHeader(h http.Header) http.Header {
	size := 0
	for key, values := range h {
		size += len(key) + len(strings.Join(values, ""))
	}
	if size <= maxHeader {
		return h
	}
	return http.Header{"Content-Type": h.Values("Content-Type")}
}

// replay returns the stored answer as the caller receives it.
func (a *storedAnswer) replay() *conductor.Response {
	answer := &conductor.Response{Status: a.Status, Header: a.Header.Clone(), Body: a.Body, Replayed: true}
	if a.Dropped == 0 {
		return answer
	}
	if answer.Header == nil {
		answer.Header = make(http.Header)
	}
	answer.Header.Del("Content-Length")
	answer.Header.Del("Content-Encoding")
	answer.Header.Set("Content-Type", "application/json")
	answer.Body = fmt.Appendf(nil, `{"note":"the call has run once; its answer of %d bytes was too large to keep"}`, a.Dropped)
	return answer
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

// next returns the record with a new operation id.
func (r *record) next() record {
	n := *r
	n.Operation = uuid.New()
	return n
}

// ended returns the record after the end of its call.
func (r *record) ended(state State, answer *storedAnswer, now time.Time) record {
	n := r.next()
	n.State = state
	n.Answer = answer
	n.EndedMS = now.UnixMilli()
	return n
}
