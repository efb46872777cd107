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

// methodShutdown announces that the sender stops. The peer answers once the
// answers to its own calls on the connection have arrived, and sends no more.
const methodShutdown Method = 0

// peerConn is an open connection to a peer. Both sides send calls on it.
type peerConn struct {
	conn *quic.Conn
	peer Peer
	// dialer is the VM that opened the connection.
	dialer contractor.VM
	// silentCalls counts calls in a row during which nothing arrived.
	silentCalls atomic.Int32
	// closed is set once a call has seen that the connection is closed. The
	// connection's own context ends a moment after its streams do.
	closed atomic.Bool

	mu           sync.Mutex
	peerStopping bool // the peer said goodbye
	pendingCalls int  // calls to the peer that wait for their answer
	drained      chan struct{}
	// verifiedWith are the credentials with which the peer was last verified.
	verifiedWith *certifier.Credentials
	verifiedAt   time.Time
}

func newPeerConn(conn *quic.Conn, peer Peer, dialer contractor.VM) *peerConn {
	return &peerConn{conn: conn, peer: peer, dialer: dialer, drained: make(chan struct{})}
}

// trusted reports whether the peer's certificate is still good. It is verified
// anew when the own keys have changed, and now and then as it may have expired.
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

// recordClosure marks the connection as closed if that is what the error of a stream
// means. All errors of closed QUIC connections unwrap to net.ErrClosed.
func (c *peerConn) recordClosure(err error) {
	if errors.Is(err, net.ErrClosed) {
		c.closed.Store(true)
	}
}

// packetsReceived returns the number of packets that arrived on the connection.
func (c *peerConn) packetsReceived() uint64 { return c.conn.ConnectionStats().PacketsReceived }

// beginCall counts a call to the peer, unless the peer said goodbye.
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

// drain lets no further call begin and waits for those to the peer to end.
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

// announceShutdown tells the peer that this daemon stops, and returns once the peer has
// all answers.
func (c *peerConn) announceShutdown(ctx context.Context) {
	_, _, _ = c.send(ctx, Peer{}, methodShutdown, nil, maxFrameOverhead)
}

// call runs one call. Sent is false when the peer certainly did not run it.
func (c *peerConn) call(ctx context.Context, to Peer, method Method, body []byte, limit int64) (response *responseFrame, possiblyExecuted bool, err error) {
	if !c.beginCall() {
		return nil, false, ErrClosing
	}
	defer c.endCall()
	response, possiblyExecuted, err = c.send(ctx, to, method, body, limit)
	c.recordClosure(err)
	return response, possiblyExecuted, err
}

// send sends one request on a stream of its own and waits for the answer.
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

// cancelStream stops both directions of a stream.
func cancelStream(s *quic.Stream) {
	s.CancelWrite(codeCanceled)
	s.CancelRead(codeCanceled)
}

// preferContextError prefers the end of the context, which abandons the stream, to the
// error that the stream then returns.
func preferContextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
