package framer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a line that is found only if it arrives at once, and against lines of bodies and of interim responses.
func TestFoldedLineIsFoundInTheHead(t *testing.T) {
	const status, interim = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n"
	tests := []struct {
		name, bytes string
		folded      bool
	}{
		{"none", status + "X-One: 1\r\nX-Two: 2\r\n\r\n", false},
		{"blank", status + "X-One: 1\r\n X-Two: 2\r\n\r\n", true},
		{"tab", status + "X-One: 1\r\n\tX-Two: 2\r\n\r\n", true},
		{"line feeds", "HTTP/1.1 200 OK\nX-One: 1\n X-Two: 2\n\n", true},
		{"no blank, line feeds", "HTTP/1.1 200 OK\nX-One: 1\n\n body\n body", false},
		{"line of blanks", status + "X-One: 1\r\n \r\nX-Two: 2\r\n\r\n", true},
		{"body", status + "X-One: 1\r\n\r\n body\r\n body", false},
		{"after an interim response", interim + "Link: a\r\n\r\n" + status + "X-One: 1\r\n X-Two: 2\r\n\r\n", true},
		{"in an interim response", interim + "Link: a\r\n b\r\n\r\n" + status + "X-One: 1\r\n\r\n body", false},
		{"short lines", "HTTP\r\n\r\n body", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for size := 1; size <= len(tt.bytes); size++ {
				s := headScanner{active: true, empty: true}
				for i := 0; i < len(tt.bytes); i += size {
					s.scan([]byte(tt.bytes[i:min(i+size, len(tt.bytes))]))
				}
				require.Equal(t, tt.folded, s.folded, "in parts of %d bytes", size)
			}
		})
	}
}
