package framer

import (
	"bytes"
	"errors"
	"regexp"
)

// ErrForeignHead is the error of a stream in which another response begins.
var ErrForeignHead = errors.New("another response begins in the stream")

// statusLine matches the status line of a response, also behind the rest of a truncated line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]( |$)`)

// streamField matches a line that belongs to an event: a comment, or a field whose name has no capitals, as headers have.
var streamField = regexp.MustCompile(`^[a-z-]*:`)

// ForeignHead returns the offset of the first of the complete events in b that contains the head of another response, or
// -1. An upstream may break off a stream and write another response behind it, with a blank line like the end of an event.
//
// A status line in the data of an event is no such head: other fields follow it, or the event ends.
func ForeignHead(b []byte) int {
	if !bytes.Contains(b, []byte("HTTP/1.")) {
		return -1
	}
	event, offset, suspected := 0, 0, false
	for line := range bytes.Lines(b) {
		text := bytes.TrimRight(line, "\r\n")
		switch {
		case len(text) == 0:
			suspected = false
		case suspected && !streamField.Match(text):
			return event
		default:
			match := statusLine.FindIndex(text)
			suspected = match != nil
			if suspected && (match[0] == 0 || !streamField.Match(text)) {
				return event
			}
		}
		offset += len(line)
		if len(text) == 0 {
			event = offset
		}
	}
	return -1
}
