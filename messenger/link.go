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

// methodGoodbye announces that the sender stops. The peer answers once the
// answers to its own calls on the connection have arrived, and sends no more.
const methodGoodbye Method = 0

// link is an open connection to a peer. Both sides send calls on it.
type link struct {
	conn *quic.Conn
	peer Peer
	// dialer is the VM that opened the connection.
	dialer contractor.VM
	// silent counts calls in a row during which nothing arrived.
	silent atomic.Int32
	// ended is set once a call has seen that the connection is closed. The
	// connection's own context ends a moment after its streams do.
	ended atomic.Bool

	mu      sync.Mutex
	leaving bool // the peer said goodbye
	calls   int  // calls to the peer that wait for their answer
	idle    chan struct{}
	// keys are the credentials with which the peer was last verified.
	keys     *certifier.Credentials
	verified time.Time
}

func newLink(conn *quic.Conn, peer Peer, dialer contractor.VM) *link {
	return &link{conn: conn, peer: peer, dialer: dialer, idle: make(chan struct{})}
}

// trusted reports whether the peer's certificate is still good. It is verified
// anew when the own keys have changed, and now and then as it may have expired.
func (l *link) trusted(keys *certifier.Credentials, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.keys == keys && now.Sub(l.verified) < verifyPeriod {
		return true
	}
	if keys.Verify(l.conn.ConnectionState().TLS) != nil {
		return false
	}
	l.keys, l.verified = keys, now
	return true
}

func (l *link) alive() bool { return !l.ended.Load() && l.conn.Context().Err() == nil }

// noteEnd marks the connection as closed if that is what the error of a stream
// means. All errors of closed QUIC connections unwrap to net.ErrClosed.
func (l *link) noteEnd(err error) {
	if errors.Is(err, net.ErrClosed) {
		l.ended.Store(true)
	}
}

// received returns the number of packets that arrived on the connection.
func (l *link) received() uint64 { return l.conn.ConnectionStats().PacketsReceived }

// begin counts a call to the peer, unless the peer said goodbye.
func (l *link) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving {
		return false
	}
	l.calls++
	return true
}

func (l *link) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	if l.leaving && l.calls == 0 {
		close(l.idle)
	}
}

// finish lets no further call begin and waits for those to the peer to end.
func (l *link) finish(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	l.mu.Lock()
	if !l.leaving && l.calls == 0 {
		close(l.idle)
	}
	l.leaving = true
	l.mu.Unlock()
	select {
	case <-l.idle:
	case <-ctx.Done():
	}
}

// goodbye tells the peer that this daemon stops, and returns once the peer has
// all answers.
func (l *link) goodbye(ctx context.Context) {
	_, _, _ = l.send(ctx, Peer{}, methodGoodbye, nil, frameOverhead)
}

// call runs one call. Sent is false when the peer certainly did not run it.
func (l *link) call(ctx context.Context, to Peer, method Method, body []byte, limit int64) (answer *answerFrame, sent bool, err error) {
	if !l.begin() {
		return nil, false, ErrClosing
	}
	defer l.end()
	answer, sent, err = l.send(ctx, to, method, body, limit)
	l.noteEnd(err)
	return answer, sent, err
}

// send sends one request on a stream of its own and waits for the answer.
func (l *link) send(ctx context.Context, to Peer, method Method, body []byte, limit int64) (answer *answerFrame, sent bool, err error) {
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, false, fmt.Errorf("open stream: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { abandon(stream) })
	defer stop()
	deadline, _ := ctx.Deadline()
	request := requestFrame{
		Method:      method,
		Incarnation: to.Incarnation,
		Timeout:     time.Until(deadline),
		Body:        body,
	}
	if err := writeFrame(stream, &request); err != nil {
		stream.CancelWrite(codeGivenUp)
		stream.CancelRead(codeGivenUp)
		return nil, false, causeOf(ctx, err)
	}
	answer = &answerFrame{}
	if err := readFrame(stream, limit, answer); err != nil {
		stream.CancelRead(codeGivenUp)
		return nil, true, causeOf(ctx, err)
	}
	return answer, true, nil
}

// abandon stops both directions of a stream.
func abandon(s *quic.Stream) {
	s.CancelWrite(codeGivenUp)
	s.CancelRead(codeGivenUp)
}

// causeOf prefers the end of the context, which abandons the stream, to the
// error that the stream then returns.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
