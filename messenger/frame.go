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

// alpnProtocol is the protocol name that both ends negotiate in TLS (ALPN).
const alpnProtocol = "laburnumline/1"

const (
	// maxFrameOverhead is the maximum number of bytes that a frame adds to its body.
	maxFrameOverhead = 1024
	// maxHelloSize is the maximum size of a hello in bytes.
	maxHelloSize = 4096
)

// errFrameTooLarge means that a frame exceeds the message size limit.
var errFrameTooLarge = errors.New("message is too large")

// hello is the first message that each side sends on a connection.
type hello struct {
	Peer Peer `cbor:"1,keyasint"`
}

// requestFrame is the request of one call. Each call has its own stream.
type requestFrame struct {
	Method Method `cbor:"1,keyasint"`
	// Incarnation is the incarnation that the call is meant for. Zero means any.
	Incarnation contractor.Incarnation `cbor:"2,keyasint,omitempty"`
	// Timeout is how long the caller waits. It is a duration, not a deadline,
	// because the clocks of two daemons may differ.
	Timeout time.Duration `cbor:"3,keyasint"`
	Body    []byte        `cbor:"4,keyasint,omitempty"`
}

// status is the result of a call.
type status uint8

const (
	statusOK               status = iota // the handler returned a response
	statusFailed                         // the handler returned an error
	statusWrongIncarnation               // the call is meant for another incarnation
	statusBusy                           // the maximum number of calls is running
	statusClosing                        // the daemon is stopping
	statusTooLarge                       // the request exceeds the limit
	statusInvalid                        // the request cannot be decoded
)

// responseFrame is the response to one call.
type responseFrame struct {
	Status status `cbor:"1,keyasint"`
	// Message is the text of the handler's error.
	Message string `cbor:"2,keyasint,omitempty"`
	// Incarnation is the running incarnation of the daemon that refused the call.
	Incarnation contractor.Incarnation `cbor:"3,keyasint,omitempty"`
	Body        []byte                 `cbor:"4,keyasint,omitempty"`
}

// writeFrame sends v as the only message of this side on a stream. The peer
// processes a frame only after the whole frame has arrived, so after an error it
// certainly did not process it.
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

// readFrame decodes everything that the peer sends on a stream into v.
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
