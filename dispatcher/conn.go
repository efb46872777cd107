package dispatcher

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"

	"laburnumline/framer"
)

// countingConn counts the bytes written to the kernel. The count distinguishes
// a call that was never sent from one that may have been executed. The bytes of
// a Write count from its start, because the peer may answer before it returns.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n - len(p)))
	return n, err
}

// SyscallConn gives access to the underlying connection, whose state framer.Conn reads.
func (c *countingConn) SyscallConn() (syscall.RawConn, error) {
	underlying, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return underlying.SyscallConn()
}

// errNoDescriptor means that the underlying connection has no file descriptor.
var errNoDescriptor = errors.New("connection has no file descriptor")

func countingDial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
}

// sendTrace records how far a call gets.
type sendTrace struct {
	conn          atomic.Pointer[countingConn]
	writtenBefore atomic.Int64
	connected     atomic.Bool
}

func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	conn := underlyingConn(info.Conn)
	if conn != nil {
		t.writtenBefore.Store(conn.written.Load())
		t.conn.Store(conn)
	}
	t.connected.Store(true)
}

// underlyingConn returns the connection below those that wrap it, such as TLS.
func underlyingConn(conn net.Conn) *countingConn {
	for {
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapped.NetConn()
	}
	counting, _ := conn.(*countingConn)
	return counting
}

// phase returns the phase of a call that failed with err before its response.
// The transport may still be writing after its context ended. In that case only
// a call that never got a connection counts as not sent.
func (t *sendTrace) phase(err error) Phase {
	if !t.connected.Load() {
		return NotSent
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return NoResponse
	}
	conn := t.conn.Load()
	if conn != nil && conn.written.Load() == t.writtenBefore.Load() {
		return NotSent
	}
	return NoResponse
}

// send makes one round trip. It follows no redirects and does not retry.
func (d *Dispatcher) send(transport *framer.Transport, req *http.Request, upstream string) (*http.Response, error) {
	var trace sendTrace
	ctx := req.Context()
	resp, err := transport.RoundTrip(req.WithContext(trace.attach(ctx)))
	if err == nil {
		return resp, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return nil, &Failure{Phase: trace.phase(ctx.Err()), Upstream: upstream, Step: "send", Err: cause}
	}
	phase := trace.phase(err)
	crashed := phase == NoResponse && closedByPeer(err)
	return nil, &Failure{Phase: phase, Crashed: crashed, Upstream: upstream, Step: "send", Err: err}
}
