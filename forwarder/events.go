package forwarder

import (
	"errors"
	"fmt"
	"slices"

	"laburnumline/framer"
)

const (
	// maxEventBytes limits an event of a stream. Usual events have a few hundred bytes.
	maxEventBytes = 1 << 20
	// maxFillerBytes limits the blank lines and comments between two events.
	maxFillerBytes = 64 << 10
	// blankLineOverlap is the length of the longest end of an event, less one byte.
	blankLineOverlap = 2
)

var (
	errEventTooLong = fmt.Errorf("an event of the stream exceeds %d bytes", maxEventBytes)
	errNoEvents     = fmt.Errorf("%d bytes of the stream contain no event", maxFillerBytes)
	errEventMemory  = errors.New("no memory for an event of the stream")
)

// eventBuffer holds the part of a stream after its last complete event. An upstream may send bytes without the end of an
// event, so its length is limited, what exceeds freeResponseBytes is reserved, and nothing is searched twice.
type eventBuffer struct {
	memory   *memory
	data     []byte
	searched int // bytes at the start of data that contain no end of an event
	filler   int // bytes since the last event
	reserved int64
}

// add appends bytes of the stream.
func (b *eventBuffer) add(p []byte) error {
	length := len(b.data) + len(p)
	if length > maxEventBytes {
		return errEventTooLong
	}
	for int64(length) > freeResponseBytes+b.reserved/2 {
		// A slice that grows has up to twice the length of its content.
		if !b.memory.take(2 * bufferStep) {
			return errEventMemory
		}
		b.reserved += 2 * bufferStep
	}
	b.data = append(b.data, p...)
	return nil
}

// complete returns the complete events at the start of the buffer.
func (b *eventBuffer) complete() ([]byte, error) {
	from := max(b.searched-blankLineOverlap, 0)
	n := framer.CompleteEvents(b.data[from:])
	b.searched = len(b.data)
	if n == 0 {
		return nil, nil
	}
	events := b.data[:from+n]
	b.filler += len(events)
	if framer.EndsInsideEvent(events) { // it contains more than blank lines and comments
		b.filler = 0
	}
	if b.filler > maxFillerBytes {
		return nil, errNoEvents
	}
	return events, nil
}

// remove removes the first n bytes, which have been forwarded.
func (b *eventBuffer) remove(n int) {
	b.data = append(b.data[:0], b.data[n:]...)
	b.searched = len(b.data)
	if b.reserved > 0 && len(b.data) <= freeResponseBytes {
		b.data = slices.Clone(b.data) // without the capacity for a long event
		b.release()
	}
}

// release gives reserved memory back.
func (b *eventBuffer) release() {
	b.memory.free(b.reserved)
	b.reserved = 0
}
