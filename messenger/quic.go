package messenger

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"

	"laburnumline/certifier"
	"laburnumline/contractor"
	"laburnumline/recorder"
)

// Defaults of QUICConfig.
const (
	defaultMaxMessage  = 4 << 20 // bytes
	defaultCallTimeout = 5 * time.Second
	defaultDialTimeout = 2 * time.Second
	defaultIdleTimeout = 30 * time.Second
	defaultMaxStreams  = 1024
	defaultMaxCalls    = 8192
)

const (
	// redialBackoff is the time after a failed dial during which calls fail at once.
	redialBackoff = 250 * time.Millisecond
	// failedPeerRetention is how long the state of an unreachable VM is kept after
	// its redialBackoff.
	failedPeerRetention = time.Minute
	// maxSilentCalls is the number of consecutive failed calls without a received
	// packet after which a connection is replaced.
	maxSilentCalls = 2
	// verifyInterval is the time after which a peer's certificate is verified again.
	verifyInterval = time.Hour
	// workerIdleTimeout is how long a goroutine waits for the next call to serve
	// before it ends.
	workerIdleTimeout = 10 * time.Second
	// initialWindowBytes is the initial flow control window of streams and
	// connections.
	initialWindowBytes = 64 << 10
)

// CredentialSource returns the daemon's current credentials. Both
// certifier.Credentials and certifier.Reloader implement it.
type CredentialSource interface {
	Credentials() *certifier.Credentials
}

// QUICConfig holds the settings of a QUIC.
type QUICConfig struct {
	// Listen is the UDP address to listen on. Port 0 selects a free port.
	Listen netip.AddrPort
	// Self is the daemon's own identity. An invalid address is replaced by the
	// address that the daemon listens on.
	Self Peer
	Keys CredentialSource
	Mux  *Mux
	// MaxMessage is the maximum size of a request or response body in bytes.
	MaxMessage int64
	// CallTimeout limits calls whose context has no deadline.
	CallTimeout time.Duration
	// DialTimeout limits the setup of a connection, and the wait for peers when
	// the daemon stops.
	DialTimeout time.Duration
	// IdleTimeout is the time without traffic after which a connection is closed.
	// No call may last longer.
	IdleTimeout time.Duration
	// MaxStreams is the maximum number of concurrent calls from one peer.
	MaxStreams int64
	// MaxCalls is the maximum number of concurrent calls from all peers.
	MaxCalls int
	Recorder *recorder.Recorder
}

func (c *QUICConfig) setDefaults() {
	c.MaxMessage = cmp.Or(c.MaxMessage, defaultMaxMessage)
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	c.DialTimeout = cmp.Or(c.DialTimeout, defaultDialTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.MaxStreams = cmp.Or(c.MaxStreams, defaultMaxStreams)
	c.MaxCalls = cmp.Or(c.MaxCalls, defaultMaxCalls)
}

// QUIC is a Caller over QUIC connections. It also serves the calls of other
// daemons through its Mux.
type QUIC struct {
	config        QUICConfig
	transport     *quic.Transport
	socket        *net.UDPConn
	listener      *quic.Listener
	counters      quicCounters
	callSemaphore chan struct{}     // one element per running call of a peer
	incoming      chan incomingCall // calls passed to idle goroutines

	ctx         context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup // of connections and streams
	activeCalls sync.WaitGroup // running calls of peers

	mu            sync.Mutex
	closing       bool
	peers         map[contractor.VM]*peerState
	connections   map[*peerConn]struct{}
	closedTraffic Traffic // of closed connections
}

// Traffic counts the bytes and packets of all connections, without IP and UDP
// headers.
type Traffic struct {
	BytesSent, BytesReceived     uint64
	PacketsSent, PacketsReceived uint64
}

func (t *Traffic) add(c *peerConn) {
	s := c.conn.ConnectionStats()
	t.BytesSent += s.BytesSent
	t.BytesReceived += s.BytesReceived
	t.PacketsSent += s.PacketsSent
	t.PacketsReceived += s.PacketsReceived
}

type quicCounters struct {
	called, failed, dialed, dialFailed, served, refused metrics.Counter
}

// NewQUIC starts listening for other daemons.
func NewQUIC(c QUICConfig) (*QUIC, error) {
	c.setDefaults()
	if c.Keys == nil || c.Mux == nil {
		return nil, fmt.Errorf("listen for daemons at %s: keys and mux are required", c.Listen)
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.Listen))
	if err != nil {
		return nil, fmt.Errorf("listen for daemons at %s: %w", c.Listen, err)
	}
	if !c.Self.Address.IsValid() {
		c.Self.Address = socket.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	q := &QUIC{
		config:        c,
		transport:     &quic.Transport{Conn: socket},
		socket:        socket,
		counters:      newQUICCounters(c.Recorder),
		callSemaphore: make(chan struct{}, c.MaxCalls),
		incoming:      make(chan incomingCall),
		peers:         make(map[contractor.VM]*peerState),
		connections:   make(map[*peerConn]struct{}),
	}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	if q.listener, err = q.transport.Listen(q.serverTLS(), q.quicConfig()); err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("listen for daemons at %s: %w", c.Listen, err)
	}
	q.goroutines.Add(1)
	go q.acceptConnections()
	return q, nil
}

// Self returns the daemon's own identity, with the address that it listens on.
func (q *QUIC) Self() Peer { return q.config.Self }

// Shutdown refuses new calls and waits until running calls have ended and the
// peers have received the responses, at most until ctx ends. Then it closes all
// connections.
func (q *QUIC) Shutdown(ctx context.Context) error {
	q.mu.Lock()
	q.closing = true
	q.mu.Unlock()
	done := make(chan struct{})
	go func() {
		q.activeCalls.Wait()
		close(done)
	}()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = fmt.Errorf("wait for calls of other daemons: %w", ctx.Err())
	}
	q.announceShutdown(ctx)
	q.cancel()
	q.closeConnections()
	_ = q.listener.Close()
	_ = q.transport.Close()
	_ = q.socket.Close()
	q.goroutines.Wait()
	<-done
	return err
}

// Close closes all connections at once and cancels running calls.
func (q *QUIC) Close() error {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	q.cancel()
	_ = q.Shutdown(ctx)
	return nil
}

// Connections returns the number of open connections.
func (q *QUIC) Connections() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.connections)
}

// Traffic returns the traffic of all connections since the start.
func (q *QUIC) Traffic() Traffic {
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.closedTraffic
	for c := range q.connections {
		t.add(c)
	}
	return t
}

func (q *QUIC) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           q.config.DialTimeout,
		MaxIdleTimeout:                 q.config.IdleTimeout,
		InitialStreamReceiveWindow:     initialWindowBytes,
		InitialConnectionReceiveWindow: initialWindowBytes,
		MaxStreamReceiveWindow:         uint64(max(q.config.MaxMessage, initialWindowBytes)),
		MaxConnectionReceiveWindow:     uint64(2 * max(q.config.MaxMessage, initialWindowBytes)),
		MaxIncomingStreams:             q.config.MaxStreams,
		MaxIncomingUniStreams:          -1,
	}
}

func newQUICCounters(r *recorder.Recorder) quicCounters {
	return quicCounters{
		called:     r.Counter("messenger.called"),
		failed:     r.Counter("messenger.failed"),
		dialed:     r.Counter("messenger.dialed"),
		dialFailed: r.Counter("messenger.dial_failed"),
		served:     r.Counter("messenger.served"),
		refused:    r.Counter("messenger.refused"),
	}
}
