package dispatcher

import (
	"bytes"
	"io"
	"sync"
)

const initialLineBufferBytes = 4 << 10

var lineBuffers = sync.Pool{New: func() any {
	b := make([]byte, initialLineBufferBytes)
	return &b
}}

// lineReader splits an event stream into lines. A line is valid until the next
// call of next.
type lineReader struct {
	body     io.Reader
	pooled   *[]byte
	buf      []byte
	start    int
	end      int
	maxBytes int
	err      error
}

func (l *lineReader) init(body io.Reader, maxBytes int) {
	l.body = body
	l.maxBytes = maxBytes
	l.pooled = lineBuffers.Get().(*[]byte)
	l.buf = *l.pooled
}

// release returns the buffer to the pool. No line may be used afterwards.
func (l *lineReader) release() {
	if l.pooled == nil {
		return
	}
	lineBuffers.Put(l.pooled)
	l.pooled = nil
	l.buf = nil
	l.start, l.end = 0, 0
}

// next returns the next line without its line feed.
func (l *lineReader) next() ([]byte, error) {
	scanned := 0
	for {
		pending := l.buf[l.start:l.end]
		if i := bytes.IndexByte(pending[scanned:], '\n'); i >= 0 {
			line := pending[:scanned+i]
			l.start += scanned + i + 1
			return line, nil
		}
		scanned = len(pending)
		if l.err != nil {
			return nil, l.err
		}
		if err := l.fill(); err != nil {
			return nil, err
		}
	}
}

// hasBufferedLine reports whether the buffer holds another line that is not
// blank.
func (l *lineReader) hasBufferedLine() bool {
	pending := l.buf[l.start:l.end]
	for len(pending) > 0 && (pending[0] == '\n' || pending[0] == '\r') {
		pending = pending[1:]
	}
	return bytes.IndexByte(pending, '\n') >= 0
}

func (l *lineReader) fill() error {
	if l.start > 0 {
		copy(l.buf, l.buf[l.start:l.end])
		l.end -= l.start
		l.start = 0
	}
	if l.end == len(l.buf) {
		if len(l.buf) >= l.maxBytes {
			return ErrTooLong
		}
		l.buf = append(l.buf, make([]byte, len(l.buf))...)
	}
	n, err := l.body.Read(l.buf[l.end:])
	l.end += n
	l.err = err
	return nil
}

var dataPrefix = []byte("data:")

// eventData returns the data of a line of an event stream. Comments, blank
// lines and other fields have none.
func eventData(line []byte) ([]byte, bool) {
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return nil, false
	}
	return bytes.TrimSpace(data), true
}
