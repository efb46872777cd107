package messenger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"laburnumline/certifier"
	"laburnumline/contractor"
)

// methodShutdown announces that the sender is stopping. The peer starts no more
// calls on the connection and responds once its pending ones have ended.
const methodShutdown Method = 0

// peerConn is an open connection to a peer. Both sides send calls on it.
type peerConn struct {
	conn *quic.Conn
	peer Peer
	// dialer is the VM that opened the connection.
	dialer contractor.VM
	// silentCalls counts consecutive failed calls during which no packet arrived.
	silentCalls atomic.Int32
	// closed is set when a call fails because the connection is closed. The
	// connection's context alone is not enough, as it ends after the streams.
	closed atomic.Bool

	mu           sync.Mutex
	peerStopping bool // the peer announced its shutdown
	pendingCalls int  // calls to the peer that wait for a response
	// drained is closed when the peer is stopping and no call to it is pending.
	drained chan struct{}
	// verifiedWith is the credentials with which the peer was last verified.
	verifiedWith *certifier.Credentials
	verifiedAt   time.Time
}

func newPeerConn(conn *quic.Conn, peer Peer, dialer contractor.VM) *peerConn {
	return &peerConn{conn: conn, peer: peer, dialer: dialer, drained: make(chan struct{})}
}

// trusted reports whether the peer's certificate is still valid. It is verified
// again when the daemon's credentials have changed, and after verifyInterval
// because it may have expired.
func (c *peerConn) trusted(keys *certifier.Credentials, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.verifiedWith == keys && now.Sub(c.verifiedAt) < verifyInterval {
		return true
	}
	if keys.Verify(c.conn.ConnectionState().TLS) != nil {
		return false
	}
	c.verifiedWith, c.verifiedAt = keys, now
	return true
}

func (c *peerConn) alive() bool { return !c.closed.Load() && c.conn.Context().Err() == nil }

// recordClosure marks the connection as closed if the error of a stream says so.
// All errors of closed QUIC connections unwrap to net.ErrClosed.
func (c *peerConn) recordClosure(err error) {
	if errors.Is(err, net.ErrClosed) {
		c.closed.Store(true)
	}
}

// packetsReceived returns the number of packets that arrived on the connection.
func (c *peerConn) packetsReceived() uint64 { return c.conn.ConnectionStats().PacketsReceived }

// beginCall counts a call to the peer. It returns false when the peer has
// announced its shutdown.
func (c *peerConn) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peerStopping {
		return false
	}
	c.pendingCalls++
	return true
}

func (c *peerConn) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingCalls--
	if c.peerStopping && c.pendingCalls == 0 {
		close(c.drained)
	}
}

// drain prevents further calls to the peer and waits until the pending ones end.
func (c *peerConn) drain(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.mu.Lock()
	if !c.peerStopping && c.pendingCalls == 0 {
		close(c.drained)
	}
	c.peerStopping = true
	c.mu.Unlock()
	select {
	case <-c.drained:
	case <-ctx.Done():
	}
}

// announceShutdown tells the peer that this daemon is stopping, and returns once
// the peer has received all responses.
func (c *peerConn) announceShutdown(ctx context.Context) {
	_, _, _ = c.send(ctx, Peer{}, methodShutdown, nil, maxFrameOverhead)
}

// call runs one call. possiblyExecuted is false when the peer's handler certainly
// did not run.
func (c *peerConn) call(ctx context.Context, to Peer, method Method, body []byte, limit int64) (response *responseFrame, possiblyExecuted bool, err error) {
	if !c.beginCall() {
		return nil, false, ErrClosing
	}
	defer c.endCall()
	response, possiblyExecuted, err = c.send(ctx, to, method, body, limit)
	c.recordClosure(err)
	return response, possiblyExecuted, err
}

// send sends one request on its own stream and waits for the response.
func (c *peerConn) send(ctx context.Context, to Peer, method Method, body []byte, limit int64) (response *responseFrame, possiblyExecuted bool, err error) {
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, false, fmt.Errorf("open stream: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { cancelStream(stream) })
	defer stop()
	deadline, _ := ctx.Deadline()
	request := requestFrame{
		Method:      method,
		Incarnation: to.Incarnation,
		Timeout:     time.Until(deadline),
		Body:        body,
	}
	if err := writeFrame(stream, &request); err != nil {
		stream.CancelWrite(codeCanceled)
		stream.CancelRead(codeCanceled)
		return nil, false, preferContextError(ctx, err)
	}
	response = &responseFrame{}
	if err := readFrame(stream, limit, response); err != nil {
		stream.CancelRead(codeCanceled)
		return nil, true, preferContextError(ctx, err)
	}
	return response, true, nil
}

// cancelStream cancels both directions of a stream.
func cancelStream(s *quic.Stream) {
	s.CancelWrite(codeCanceled)
	s.CancelRead(codeCanceled)
}

// preferContextError returns the cause of the context's end if it has ended,
// otherwise err. The end of the context cancels the stream, whose own error then
// does not name the cause.
func preferContextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
