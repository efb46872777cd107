package framer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/framer"
)

// plainConn is a connection whose socket can't be reached.
type plainConn struct{ net.Conn }

// dialPlain opens a plainConn.
func dialPlain(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return plainConn{c}, err
}

// writeUntilError writes until a Write fails, which it does once the other side has reset the connection.
func writeUntilError(c net.Conn) error {
	block := make([]byte, 64<<10)
	for {
		if _, err := c.Write(block); err != nil {
			return err
		}
	}
}

// Guards against the error of a connection that its writer alone is told of, and against taking an orderly end for it.
func TestEndOfConnAfterTheWriterFailed(t *testing.T) {
	tests := []struct {
		name  string
		end   emulator.PeerEnd
		write syscall.Errno
		read  error
	}{
		{"reset", emulator.PeerResets, syscall.ECONNRESET, syscall.ECONNRESET},
		{"closed with unread bytes", emulator.PeerClosesUnread, syscall.ECONNRESET, syscall.ECONNRESET},
		{"orderly end, then reset", emulator.PeerClosesThenResets, syscall.EPIPE, nil},
	}
	dialers := []struct {
		name string
		dial func(ctx context.Context, network, address string) (net.Conn, error)
	}{{"socket", nil}, {"unknown state", dialPlain}}
	for _, tt := range tests {
		for _, d := range dialers {
			t.Run(tt.name+", "+d.name, func(t *testing.T) {
				p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer {
					return emulator.PeerAnswer{Bytes: "half", Early: true, End: tt.end}
				})
				require.NoError(t, err)
				defer p.Close()
				c, err := framer.Dialer(d.dial)(t.Context(), "tcp", p.Address().String())
				require.NoError(t, err)
				defer c.Close()
				_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999999\r\n\r\n")
				require.NoError(t, err)
				require.ErrorIs(t, writeUntilError(c), tt.write)
				content, err := io.ReadAll(c)
				require.Equal(t, "half", string(content))
				require.ErrorIs(t, err, tt.read)
				_, err = c.Read(make([]byte, 1))
				if tt.read != nil {
					require.ErrorIs(t, err, tt.read, "the failure is reported again")
				} else {
					require.ErrorIs(t, err, io.EOF)
				}
			})
		}
	}
}

// Guards against a reader that waits for a writer: the upstream has ended its answer in order and reads nothing more.
func TestOrderlyEndDoesNotWaitForTheWriter(t *testing.T) {
	p, err := emulator.StartPeer(func(*http.Request) emulator.PeerAnswer {
		return emulator.PeerAnswer{Bytes: "done", Early: true, End: emulator.PeerClosesAndStalls}
	})
	require.NoError(t, err)
	defer p.Close()
	c, err := framer.Dialer(nil)(t.Context(), "tcp", p.Address().String())
	require.NoError(t, err)
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999999\r\n\r\n")
	require.NoError(t, err)
	written := make(chan error, 1)
	go func() { written <- writeUntilError(c) }()
	content, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "done", string(content))
	require.Empty(t, written, "the writer still waits")
	require.NoError(t, c.Close())
	<-written
}
