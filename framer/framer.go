// Package framer tells what is a response, where its body ends and whether it is complete. All readers of responses use it:
// those of net/http have a Transport, others read from a Conn and call CheckHead.
//
// A body with a length or in chunks marks its own end. Any other body ends with its
// connection, and a crash of the sender then looks like the end of the body. Only its
// content can show that it was truncated: an event stream consists of events that each end
// with a blank line, so a stream that ends inside an event is truncated, and so is a JSON
// document that is not valid.
//
//	if err := framer.Check(framer.Of(response), response.Header, body); err != nil {
//		return fmt.Errorf("read response: %w", err)
//	}
package framer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"mime"
	"net/http"
	"strings"
)

// ErrTruncated is the error of a body that ended too early though its framing does not
// show it.
var ErrTruncated = errors.New("response is truncated")

// Framing is how the end of a body is marked.
type Framing uint8

const (
	// Length means that the header states the length of the body.
	Length Framing = iota
	// Chunked means that the body is sent in chunks, of which the last is empty.
	Chunked
	// ConnectionClose means that the body ends with its connection.
	ConnectionClose
)

// String returns the name of the framing.
func (f Framing) String() string {
	names := [...]string{"length", "chunked", "connection_close"}
	if int(f) < len(names) {
		return names[f]
	}
	return fmt.Sprintf("framing(%d)", uint8(f))
}

// Of returns the framing of a response's body.
func Of(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0:
		return Length
	case len(r.TransferEncoding) > 0:
		return Chunked
	}
	return ConnectionClose
}

// IsEventStream reports whether a response is an event stream.
func IsEventStream(h http.Header) bool {
	for _, value := range h.Values("Content-Type") {
		if strings.HasPrefix(strings.ToLower(value), "text/event-stream") {
			return true
		}
	}
	return false
}

// Check returns ErrTruncated if the content of a body shows that it ended too early. A body
// that ends with its connection is checked more strictly: an event stream must have an event,
// and a JSON document must be valid.
func Check(f Framing, h http.Header, body []byte) error {
	switch {
	case IsEventStream(h):
		return CheckStreamEnd(f, len(body) > 0, body[CompleteEvents(body):])
	case f == ConnectionClose && isJSON(h) && !json.Valid(body):
		return fmt.Errorf("%w: its document is incomplete", ErrTruncated)
	}
	return nil
}

// CheckStreamEnd returns ErrTruncated if an event stream did not end after an event. The rest is
// what follows its last complete event.
func CheckStreamEnd(f Framing, started bool, rest []byte) error {
	switch {
	case EndsInsideEvent(rest):
		return fmt.Errorf("%w: it ends inside an event", ErrTruncated)
	case f == ConnectionClose && !started:
		return fmt.Errorf("%w: it has no event", ErrTruncated)
	}
	return nil
}

func isJSON(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && (mediaType == "application/json" || strings.HasSuffix(mediaType, "+json"))
}

// blankLines are the ends of an event: the end of its last line and a blank line. Lines end
// with a line feed, a carriage return, or both.
var blankLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

// CompleteEvents returns the length of the complete events at the start of b.
func CompleteEvents(b []byte) int {
	length := 0
	for _, end := range blankLines {
		if i := bytes.LastIndex(b, end); i >= 0 {
			length = max(length, i+len(end))
		}
	}
	return length
}

// EndsInsideEvent reports whether the rest of a stream after its last complete event
// contains a part of another event. Blank lines and comments are not part of an event.
func EndsInsideEvent(rest []byte) bool {
	isLineEnd := func(r rune) bool { return r == '\n' || r == '\r' }
	for line := range bytes.FieldsFuncSeq(rest, isLineEnd) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}
