package dispatcher

import (
	"fmt"
	"io"
	"syscall"

	"github.com/go-faster/errors"
)

// Phase is how far a call got before it failed.
type Phase uint8

const (
	// NotSent means that no byte of the call reached the upstream.
	NotSent Phase = iota
	// NoResponse means that the call was sent and no part of a valid response
	// was received.
	NoResponse
	// PartialResponse means that a part of the response was received.
	PartialResponse
)

// String returns "not_sent", "no_answer" or "partial".
func (p Phase) String() string {
	switch p {
	case NotSent:
		return "not_sent"
	case NoResponse:
		return "no_answer"
	case PartialResponse:
		return "partial"
	}
	return fmt.Sprintf("phase(%d)", uint8(p))
}

var (
	// ErrStalled means that an upstream sent no data within the stall timeout.
	ErrStalled = errors.New("upstream sent no data within the stall timeout")
	// ErrIDMismatch means that the response has the ID of another request or
	// attempt.
	ErrIDMismatch = errors.New("response has the ID of another request or attempt")
	// ErrGap means that output tokens are missing from a stream.
	ErrGap = errors.New("output tokens are missing from the stream")
	// ErrOverlap means that a chunk contains both delivered and new output
	// tokens.
	ErrOverlap = errors.New("chunk overlaps output that was already delivered")
	// ErrMalformed means that a response or chunk violates the engine's
	// protocol.
	ErrMalformed = errors.New("malformed response")
	// ErrTooLong means that a response, a chunk or the output exceeds its
	// limit.
	ErrTooLong = errors.New("response exceeds the size limit")
	// ErrNotResumed means that an engine ignored the offset at which to resume.
	ErrNotResumed = errors.New("engine did not resume at the requested offset")
	// ErrEngine means that an engine reported an error inside a stream.
	ErrEngine = errors.New("engine reported an error")
	// ErrStatus means that an upstream returned an error status.
	ErrStatus = errors.New("upstream returned an error status")
)

// Failure is the error of a call to an upstream.
type Failure struct {
	Phase Phase
	// Crashed is true when the upstream closed or reset the connection while
	// the call was in flight.
	Crashed bool
	// Status is the HTTP status of the response, or zero without one.
	Status int
	// Upstream is the name of the upstream.
	Upstream string
	// Step is the step of the call that failed.
	Step string
	Err  error
}

// Error returns the step, the upstream, the phase and the cause.
func (f *Failure) Error() string {
	if f.Status != 0 {
		return fmt.Sprintf("%s at upstream %s (%s, status %d): %v", f.Step, f.Upstream, f.Phase, f.Status, f.Err)
	}
	return fmt.Sprintf("%s at upstream %s (%s): %v", f.Step, f.Upstream, f.Phase, f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// closedByPeer reports whether err means that the peer closed the connection
// while the call was in flight. A pooled connection that was closed before the
// call was sent has a different error.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) ||
		errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}
