package framer

import "bytes"

// statusOffset is the offset of the status in a status line.
const statusOffset = len("HTTP/1.1 ")

// headScanner finds a line in the head of a final response that begins with a blank. net/http joins it with the line before, so
// that the field in it is lost and becomes a part of another one.
type headScanner struct {
	active bool
	folded bool
	// interim is true in the head of an interim response, which another head follows.
	interim bool
	// lines counts the lines that have ended, length the bytes of the current one. empty is true until it has any but a
	// carriage return.
	lines, length int
	empty         bool
}

// scan reads the next bytes of a connection.
func (s *headScanner) scan(b []byte) {
	for s.active && len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			s.scanPart(b)
			return
		}
		s.scanPart(b[:end])
		s.endLine()
		b = b[end+1:]
	}
}

// scanPart reads a part of a line.
func (s *headScanner) scanPart(part []byte) {
	if s.lines == 0 && s.length <= statusOffset && statusOffset < s.length+len(part) {
		s.interim = part[statusOffset-s.length] == '1'
	}
	s.length += len(part)
	text := bytes.TrimLeft(part, "\r")
	if !s.empty || len(text) == 0 {
		return
	}
	s.empty = false
	if s.lines > 0 && (text[0] == ' ' || text[0] == '\t') {
		s.folded = true
	}
}

func (s *headScanner) endLine() {
	switch {
	case !s.empty:
		s.lines++
		s.length, s.empty = 0, true
	case s.interim:
		*s = headScanner{active: true, empty: true}
	default:
		s.active = false
	}
}
