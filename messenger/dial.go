package messenger

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"

	"github.com/quic-go/quic-go"

	"laburnumline/certifier"
	"laburnumline/recorder"
)

// Error codes with which this daemon closes a connection or cancels a stream.
const (
	codeClosed   quic.ApplicationErrorCode = 0 // the daemon is stopping, or the connection has ended
	codeRefused  quic.ApplicationErrorCode = 1 // the peer failed the handshake or is not trusted
	codeReplaced quic.ApplicationErrorCode = 2 // the connection is silent, outdated or no longer valid
	codeCanceled quic.StreamErrorCode      = 1 // the call was cancelled, refused or failed
)

// serverTLS returns a TLS configuration that uses the daemon's current
// credentials for each new connection.
func (q *QUIC) serverTLS() *tls.Config {
	c := q.config.Keys.Credentials().PeerTLS(alpnProtocol)
	c.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return q.config.Keys.Credentials().PeerTLS(alpnProtocol), nil
	}
	return c
}

// dial opens a connection and checks that the peer is the expected VM.
func (q *QUIC) dial(ctx context.Context, to Peer) (*peerConn, error) {
	ctx, cancel := context.WithTimeout(ctx, q.config.DialTimeout)
	defer cancel()
	config := q.config.Keys.Credentials().PeerTLS(alpnProtocol)
	conn, err := q.transport.Dial(ctx, net.UDPAddrFromAddrPort(to.Address), config, q.quicConfig())
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	peer, err := q.clientHandshake(ctx, conn)
	if err == nil && peer.VM != to.VM {
		err = &IdentityError{Expected: to.VM, Actual: peer.VM}
	}
	if err != nil {
		_ = conn.CloseWithError(codeRefused, "hello")
		return nil, fmt.Errorf("greet: %w", err)
	}
	q.counters.dialed.Inc(1)
	return newPeerConn(conn, peer, q.config.Self.VM), nil
}

// clientHandshake exchanges hello messages on a connection that this daemon opened.
func (q *QUIC) clientHandshake(ctx context.Context, conn *quic.Conn) (Peer, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return Peer{}, fmt.Errorf("open stream: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { cancelStream(stream) })
	defer stop()
	if err := writeFrame(stream, &hello{Peer: q.config.Self}); err != nil {
		return Peer{}, err
	}
	return readHello(conn, stream)
}

// serverHandshake exchanges hello messages on a connection that the peer opened.
func (q *QUIC) serverHandshake(ctx context.Context, conn *quic.Conn) (Peer, error) {
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return Peer{}, fmt.Errorf("accept stream: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { cancelStream(stream) })
	defer stop()
	peer, err := readHello(conn, stream)
	if err != nil {
		return Peer{}, err
	}
	return peer, writeFrame(stream, &hello{Peer: q.config.Self})
}

// readHello returns the peer's identity. If the certificate names a VM, the
// peer's VM must match it.
func readHello(conn *quic.Conn, stream *quic.Stream) (Peer, error) {
	var received hello
	if err := readFrame(stream, maxHelloSize, &received); err != nil {
		return Peer{}, err
	}
	certificates := conn.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return Peer{}, certifier.ErrNoCertificate
	}
	if vm, ok := certifier.VMOf(certificates[0]); ok && vm != received.Peer.VM {
		return Peer{}, &IdentityError{Expected: vm, Actual: received.Peer.VM}
	}
	return received.Peer, nil
}

// acceptConnections accepts connections from other daemons.
func (q *QUIC) acceptConnections() {
	defer q.goroutines.Done()
	for {
		conn, err := q.listener.Accept(q.ctx)
		if err != nil {
			return
		}
		q.goroutines.Add(1)
		go q.acceptConnection(conn)
	}
}

func (q *QUIC) acceptConnection(conn *quic.Conn) {
	defer q.goroutines.Done()
	ctx, cancel := context.WithTimeout(q.ctx, q.config.DialTimeout)
	defer cancel()
	peer, err := q.serverHandshake(ctx, conn)
	if err != nil {
		q.config.Recorder.Event(recorder.PeerRefused, "peer", conn.RemoteAddr(), "err", err.Error())
		_ = conn.CloseWithError(codeRefused, "hello")
		return
	}
	c := newPeerConn(conn, peer, peer.VM)
	if !q.addConnection(c) {
		_ = conn.CloseWithError(codeClosed, "closing")
	}
}
