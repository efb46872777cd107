package dispatcher

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeConn calls during before a Write returns.
type writeConn struct {
	net.Conn
	during  func()
	written int
	err     error
}

func (c *writeConn) Write([]byte) (int, error) {
	c.during()
	return c.written, c.err
}

// Guards against a call that counts as not sent, and is sent again, because its answer arrives before its Write returns.
func TestWriteCountsFromItsStart(t *testing.T) {
	tests := []struct {
		name    string
		written int
		err     error
		phase   Phase // after the Write
	}{
		{"written", 4, nil, NoResponse},
		{"partly written", 1, io.ErrShortWrite, NoResponse},
		{"not written", 0, io.ErrClosedPipe, NotSent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var trace sendTrace
			raw := &writeConn{written: tt.written, err: tt.err}
			c := &countingConn{Conn: raw}
			trace.conn.Store(c)
			trace.connected.Store(true)
			raw.during = func() { require.Equal(t, NoResponse, trace.phase(io.EOF)) }
			_, err := c.Write([]byte("call"))
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, tt.phase, trace.phase(io.EOF))
		})
	}
}
