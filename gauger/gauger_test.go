package gauger

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeClock is a clock that a test sets.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// Guards against utilization that includes bytes from before the sliding window, or misses
// some within it.
func TestUtilizationCoversRecentSlots(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	g := New(Config{BytesPerSecond: 10_000, Now: c.Now})
	g.count(1000, 2000)
	in, out := g.Utilization()
	require.InDelta(t, 0.25, in, 1e-9)
	require.InDelta(t, 0.5, out, 1e-9)
	c.now = c.now.Add(7 * slotDuration)
	g.count(1000, 0)
	in, out = g.Utilization()
	require.InDelta(t, 0.5, in, 1e-9)
	require.InDelta(t, 0.5, out, 1e-9)
	c.now = c.now.Add(slotDuration)
	in, out = g.Utilization()
	require.InDelta(t, 0.25, in, 1e-9)
	require.Zero(t, out)
	c.now = c.now.Add(time.Hour)
	in, _ = g.Utilization()
	require.Zero(t, in)
}

// Guards against a recent utilization that includes the slot that has just begun, which would be too low, or
// bytes that are long gone.
func TestRecentCoversCompleteSlots(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	g := New(Config{BytesPerSecond: 10_000, Now: c.Now})
	g.count(600, 1500)
	require.Zero(t, g.Recent())
	c.now = c.now.Add(slotDuration)
	require.InDelta(t, 1, g.Recent(), 1e-9)
	c.now = c.now.Add(recentSlots * slotDuration)
	require.Zero(t, g.Recent())
	require.Zero(t, New(Config{}).Recent())
}

// Guards against a daemon that takes a link of unknown bandwidth for saturated.
func TestUtilizationIsZeroForUnknownBandwidth(t *testing.T) {
	g := New(Config{})
	g.count(1<<30, 1<<30)
	in, out := g.Utilization()
	require.Zero(t, in)
	require.Zero(t, out)
}

// Guards against bytes that are not counted on dialed or accepted connections, and against
// wrapped connections that hide their file descriptor from package connector.
func TestBytesOfConnectionsAreCounted(t *testing.T) {
	c := &fakeClock{now: time.Unix(1000, 0)}
	server, client := New(Config{BytesPerSecond: 10_000, Now: c.Now}), New(Config{BytesPerSecond: 10_000, Now: c.Now})
	underlying, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := server.Listener(underlying)
	defer l.Close()
	done := make(chan error, 1)
	go func() {
		accepted, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		_, err = io.CopyN(accepted, accepted, 400) // back to the sender
		accepted.Close()
		done <- err
	}()
	dial := client.Dialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
	c1, err := dial(t.Context(), "tcp", underlying.Addr().String())
	require.NoError(t, err)
	defer c1.Close()
	_, err = c1.Write(make([]byte, 400))
	require.NoError(t, err)
	_, err = io.ReadFull(c1, make([]byte, 400))
	require.NoError(t, err)
	require.NoError(t, <-done)
	for _, g := range []*Gauger{server, client} {
		in, out := g.Utilization()
		require.InDelta(t, 0.1, in, 1e-9)
		require.InDelta(t, 0.1, out, 1e-9)
	}
	_, err = c1.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.Equal(t, 1, client.Open())
	require.NoError(t, c1.Close())
	_ = c1.Close() // a second close must not be counted
	require.Zero(t, client.Open())
	require.Zero(t, server.Open())
	_, err = (&conn{}).SyscallConn()
	require.ErrorIs(t, err, errNoDescriptor)
}
