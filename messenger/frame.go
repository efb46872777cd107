package messenger

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"laburnumline/contractor"
)

// alpnProtocol is the name that both ends of a connection agree on.
const alpnProtocol = "laburnumline/1"

const (
	// maxFrameOverhead is an upper bound of the bytes that a frame adds to its body.
	maxFrameOverhead = 1024
	// maxHelloSize is an upper bound of the bytes of a hello.
	maxHelloSize = 4096
)

// errFrameTooLarge means that a frame is larger than the limit for messages.
var errFrameTooLarge = errors.New("message is too large")

// hello is the first message of each side of a connection.
type hello struct {
	Peer Peer `cbor:"1,keyasint"`
}

// requestFrame is one call. It has a stream of its own.
type requestFrame struct {
	Method Method `cbor:"1,keyasint"`
	// Incarnation is the run that the call is meant for. Zero means any.
	Incarnation contractor.Incarnation `cbor:"2,keyasint,omitempty"`
	// Timeout is the time that the caller waits, so that no clocks are compared.
	Timeout time.Duration `cbor:"3,keyasint"`
	Body    []byte        `cbor:"4,keyasint,omitempty"`
}

// status says what became of a call.
type status uint8

const (
	statusOK               status = iota // the handler returned an answer
	statusFailed                         // the handler returned an error
	statusWrongIncarnation               // the call is meant for another incarnation
	statusBusy                           // too many calls are running
	statusClosing                        // the daemon stops
	statusTooLarge                       // the request exceeds the limit
	statusInvalid                        // the request cannot be decoded
)

// responseFrame is the answer to one call.
type responseFrame struct {
	Status status `cbor:"1,keyasint"`
	// Message is the handler's error.
	Message string `cbor:"2,keyasint,omitempty"`
	// Incarnation is the run that answers.
	Incarnation contractor.Incarnation `cbor:"3,keyasint,omitempty"`
	Body        []byte                 `cbor:"4,keyasint,omitempty"`
}

// writeFrame sends v as all that this side writes on a stream. The peer acts on
// a frame only when it is whole, so an error means that it certainly did not.
func writeFrame(s *quic.Stream, v any) error {
	raw, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if _, err := s.Write(raw); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	if err := s.Close(); err != nil {
		return fmt.Errorf("finish frame: %w", err)
	}
	return nil
}

// readFrame reads all that the peer writes on a stream into v.
func readFrame(s io.Reader, limit int64, v any) error {
	raw, err := io.ReadAll(io.LimitReader(s, limit+1))
	if err != nil {
		return fmt.Errorf("read frame: %w", err)
	}
	if int64(len(raw)) > limit {
		return errFrameTooLarge
	}
	if err := cbor.Unmarshal(raw, v); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	return nil
}
