package messenger

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"laburnumline/certifier"
	"laburnumline/contractor"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	methodEcho  Method = 1
	methodWait  Method = 2
	methodFail  Method = 3
	methodPanic Method = 4
)

type text struct {
	Value string `cbor:"1,keyasint"`
}

// fleet creates daemons that trust the same certificate authority.
type fleet struct {
	t         testing.TB
	authority *certifier.Authority
}

func newFleet(t testing.TB) *fleet {
	authority, err := certifier.NewAuthority("fleet", time.Hour)
	require.NoError(t, err)
	return &fleet{t, authority}
}

func (f *fleet) credentials(vm contractor.VM) *certifier.Credentials {
	pair, err := f.authority.Issue(certifier.Request{VM: vm, Lifetime: time.Hour})
	require.NoError(f.t, err)
	credentials, err := certifier.NewCredentials(pair, f.authority.Certificate())
	require.NoError(f.t, err)
	return credentials
}

func (f *fleet) start(vm contractor.VM, change func(*QUICConfig)) *QUIC {
	c := QUICConfig{
		Listen:      netip.MustParseAddrPort("127.0.0.1:0"),
		Self:        Peer{VM: vm, Zone: "a", Incarnation: 5},
		Keys:        f.credentials(vm),
		Mux:         &Mux{},
		DialTimeout: 5 * time.Second,
	}
	Handle(c.Mux, methodEcho, func(_ context.Context, from Peer, r *text) (*text, error) {
		return &text{string(from.VM) + ":" + r.Value}, nil
	})
	Handle(c.Mux, methodFail, func(context.Context, Peer, *text) (*text, error) { return nil, errors.New("no such thing") })
	Handle(c.Mux, methodPanic, func(context.Context, Peer, *text) (*text, error) { panic("bad") })
	if change != nil {
		change(&c)
	}
	q, err := NewQUIC(c)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = q.Close() })
	return q
}

func echo(from *QUIC, to Peer, value string) (string, error) {
	response, err := Call[text, text](context.Background(), from, to, methodEcho, &text{value})
	if err != nil {
		return "", err
	}
	return response.Value, nil
}

// requireNotExecuted checks that the call certainly did not run.
func requireNotExecuted(t *testing.T, err error) {
	t.Helper()
	var e *CallError
	require.ErrorAs(t, err, &e)
	require.False(t, e.PossiblyExecuted, err)
}

func requirePossiblyExecuted(t *testing.T, err error) *CallError {
	t.Helper()
	var e *CallError
	require.ErrorAs(t, err, &e)
	require.True(t, e.PossiblyExecuted, err)
	return e
}

// Guards against a connection per call or per direction. Calls of a daemon to
// itself need no connection.
func TestCallsShareOneConnection(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("vm-a", nil), f.start("vm-b", nil)
	for range 3 {
		response, err := echo(a, b.Self(), "hi")
		require.NoError(t, err)
		require.Equal(t, "vm-a:hi", response)
		response, err = echo(b, a.Self(), "hi")
		require.NoError(t, err)
		require.Equal(t, "vm-b:hi", response)
	}
	response, err := echo(a, a.Self(), "self")
	require.NoError(t, err)
	require.Equal(t, "vm-a:self", response)
	require.Equal(t, 1, a.Connections())
	require.Equal(t, 1, b.Connections())
}

// Guards against two daemons that use different connections after both have dialed
// each other at the same time.
func TestSimultaneousDialsSelectOneConnection(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("vm-a", nil), f.start("vm-b", nil)
	fromA, err := a.dial(context.Background(), b.Self())
	require.NoError(t, err)
	fromB, err := b.dial(context.Background(), a.Self())
	require.NoError(t, err)
	require.True(t, a.addConnection(fromA))
	require.True(t, b.addConnection(fromB))
	currentDialer := func(q *QUIC, vm contractor.VM) contractor.VM {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.peers[vm].current.dialer
	}
	require.Eventually(t, func() bool {
		return a.Connections() == 2 && b.Connections() == 2 && currentDialer(a, "vm-b") == "vm-a" && currentDialer(b, "vm-a") == "vm-a"
	}, 5*time.Second, time.Millisecond)
}

// Guards against serving a peer that has no certificate, one of another authority
// or one that names another VM.
func TestUntrustedPeersAreRefused(t *testing.T) {
	f, other := newFleet(t), newFleet(t)
	b := f.start("vm-b", nil)
	untrusted := []struct {
		name string
		keys CredentialSource
	}{
		{"other authority", other.credentials("vm-a")},
		{"no certificate", &certifier.Credentials{Authorities: f.credentials("vm-a").Authorities}},
		{"certificate of another VM", f.credentials("vm-c")},
	}
	for _, tt := range untrusted {
		t.Run(tt.name, func(t *testing.T) {
			a := f.start("vm-a", func(c *QUICConfig) { c.Keys = tt.keys })
			_, err := echo(a, b.Self(), "hi")
			require.ErrorIs(t, err, ErrUnreachable)
			requireNotExecuted(t, err)
		})
	}
	require.Zero(t, b.counters.served.Count())
}

// Guards against a call to a VM that is delivered to another VM, because that one
// now listens on the address.
func TestPeerMustBeTheExpectedVM(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("vm-a", nil), f.start("vm-b", nil)
	to := b.Self()
	to.VM = "vm-c"
	_, err := echo(a, to, "hi")
	var identity *IdentityError
	require.ErrorAs(t, err, &identity)
	require.Equal(t, contractor.VM("vm-b"), identity.Actual)
	requireNotExecuted(t, err)
}

// Guards against running a call that was meant for an earlier or later incarnation
// of the daemon, on an open connection and after a restart at the same address.
func TestCallsToAnotherIncarnationAreRefused(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("vm-a", nil), f.start("vm-b", nil)
	_, err := echo(a, b.Self(), "hi")
	require.NoError(t, err)

	old := b.Self()
	old.Incarnation = 4
	_, err = echo(a, old, "hi")
	var incarnationErr *IncarnationError
	require.ErrorAs(t, err, &incarnationErr)
	require.EqualValues(t, 5, incarnationErr.Running)
	requireNotExecuted(t, err)

	require.NoError(t, b.Close())
	restarted := f.start("vm-b", func(c *QUICConfig) {
		c.Listen = b.Self().Address
		c.Self.Incarnation = 6
	})
	response, err := echo(a, restarted.Self(), "again")
	require.NoError(t, err)
	require.Equal(t, "vm-a:again", response)
	_, err = echo(a, b.Self(), "hi")
	require.ErrorAs(t, err, &incarnationErr)
	require.EqualValues(t, 6, incarnationErr.Running)

	future := restarted.Self()
	future.Incarnation = 7
	_, err = echo(a, future, "hi")
	require.ErrorAs(t, err, &incarnationErr)
	requireNotExecuted(t, err)
}

// Guards against losing the error of a handler, its panic or the lack of a handler:
// the caller receives the message, and the call counts as possibly executed.
func TestHandlerErrorsReachTheCaller(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("vm-a", nil), f.start("vm-b", nil)
	for _, tt := range []struct {
		method  Method
		message string
	}{
		{methodFail, "no such thing"},
		{methodPanic, "panicked: bad"},
		{99, "method 99 has no handler"},
	} {
		_, err := Call[text, text](context.Background(), a, b.Self(), tt.method, &text{"x"})
		require.Contains(t, requirePossiblyExecuted(t, err).RemoteMessage, tt.message)
	}
}

// Guards against handlers that continue after the caller's deadline has passed or
// the caller has cancelled the call.
func TestDeadlineReachesTheHandler(t *testing.T) {
	f := newFleet(t)
	begun, ended := make(chan struct{}, 1), make(chan error, 1)
	a := f.start("vm-a", nil)
	b := f.start("vm-b", func(c *QUICConfig) {
		Handle(c.Mux, methodWait, func(ctx context.Context, _ Peer, _ *text) (*text, error) {
			begun <- struct{}{}
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, ctx.Err()
		})
	})
	// The first call connects, which takes longer than a short deadline on a busy machine.
	_, err := Call[text, text](context.Background(), a, b.Self(), methodFail, &text{})
	requirePossiblyExecuted(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = Call[text, text](ctx, a, b.Self(), methodWait, &text{})
	requirePossiblyExecuted(t, err)
	<-begun
	require.Error(t, <-ended)

	ctx, cancel = context.WithCancel(context.Background())
	go func() {
		<-begun
		cancel()
	}()
	_, err = Call[text, text](ctx, a, b.Self(), methodWait, &text{})
	requirePossiblyExecuted(t, err)
	require.ErrorIs(t, err, context.Canceled)
	require.Error(t, <-ended)
}

// Guards against a dial for every call to an unreachable peer. After a failed dial,
// calls fail at once during the backoff.
func TestUnreachablePeerFailsFast(t *testing.T) {
	f := newFleet(t)
	a := f.start("vm-a", func(c *QUICConfig) { c.DialTimeout = 50 * time.Millisecond })
	b := f.start("vm-b", nil)
	to := b.Self()
	require.NoError(t, b.Close())
	for range 10 {
		_, err := echo(a, to, "hi")
		require.ErrorIs(t, err, ErrUnreachable)
		requireNotExecuted(t, err)
	}
	require.Less(t, a.counters.dialFailed.Count(), int64(10))
}

// Guards against running calls above the limits of message size and concurrent
// calls, and against reporting them as possibly executed.
func TestCallsOverALimitAreNotExecuted(t *testing.T) {
	f := newFleet(t)
	started, release := make(chan struct{}), make(chan struct{})
	a := f.start("vm-a", func(c *QUICConfig) { c.MaxMessage = 100_000 })
	b := f.start("vm-b", func(c *QUICConfig) {
		c.MaxMessage = 10_000
		c.MaxCalls = 1
		Handle(c.Mux, methodWait, func(context.Context, Peer, *text) (*text, error) {
			close(started)
			<-release
			return &text{}, nil
		})
	})
	for _, size := range []int{50_000, 200_000} {
		_, err := echo(a, b.Self(), strings.Repeat("x", size))
		requireNotExecuted(t, err)
	}
	_, err := echo(a, b.Self(), strings.Repeat("x", 9_995))
	require.ErrorContains(t, err, "answer is too large")

	// The slot of a call is freed after its response has been sent.
	require.Eventually(t, func() bool { return len(b.callSemaphore) == 0 }, 5*time.Second, time.Millisecond)
	waiting := make(chan error, 1)
	go func() {
		_, err := Call[text, text](context.Background(), a, b.Self(), methodWait, &text{})
		waiting <- err
	}()
	<-started
	_, err = echo(a, b.Self(), "hi")
	require.ErrorIs(t, err, ErrBusy)
	requireNotExecuted(t, err)
	close(release)
	require.NoError(t, <-waiting)
}

// Guards against a shutdown that loses the response of a running call, or that
// still accepts new calls.
func TestShutdownWaitsForRunningCalls(t *testing.T) {
	f := newFleet(t)
	started, release := make(chan struct{}), make(chan struct{})
	a := f.start("vm-a", nil)
	b := f.start("vm-b", func(c *QUICConfig) {
		Handle(c.Mux, methodWait, func(context.Context, Peer, *text) (*text, error) {
			close(started)
			<-release
			return &text{"whole"}, nil
		})
	})
	response := make(chan *text, 1)
	go func() {
		got, _ := Call[text, text](context.Background(), a, b.Self(), methodWait, &text{})
		response <- got
	}()
	<-started
	done := make(chan error, 1)
	go func() { done <- b.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		_, err := echo(a, b.Self(), "late")
		return errors.Is(err, ErrClosing)
	}, 5*time.Second, time.Millisecond)
	_, err := echo(b, a.Self(), "own")
	require.ErrorIs(t, err, ErrClosing)
	close(release)
	require.Equal(t, &text{"whole"}, <-response)
	require.NoError(t, <-done)
}

// replaceableCredentials is a CredentialSource whose credentials a test replaces.
type replaceableCredentials struct {
	current atomic.Pointer[certifier.Credentials]
}

func (c *replaceableCredentials) Credentials() *certifier.Credentials { return c.current.Load() }

// Guards against connections that outlive a change of credentials. After the
// change, peers of the new authority are accepted and those of the old one refused,
// also on connections that are already open.
func TestNewCredentialsApplyToOpenConnections(t *testing.T) {
	before, after := newFleet(t), newFleet(t)
	var credentials replaceableCredentials
	credentials.current.Store(before.credentials("vm-b"))
	b := before.start("vm-b", func(c *QUICConfig) { c.Keys = &credentials })
	old := before.start("vm-a", nil)
	renewed := after.start("vm-c", nil)
	_, err := echo(old, b.Self(), "hi")
	require.NoError(t, err)
	_, err = echo(renewed, b.Self(), "hi")
	require.ErrorIs(t, err, ErrUnreachable)

	credentials.current.Store(after.credentials("vm-b"))
	require.Eventually(t, func() bool {
		_, err := echo(renewed, b.Self(), "hi")
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	_, err = echo(b, renewed.Self(), "hi")
	require.NoError(t, err)

	// The open connection of the peer of the old authority is refused too.
	served := b.counters.served.Count()
	_, err = echo(old, b.Self(), "hi")
	require.Error(t, err)
	_, err = echo(old, b.Self(), "hi")
	require.ErrorIs(t, err, ErrUnreachable)
	require.Equal(t, served, b.counters.served.Count())
}

// Guards against a call on a connection that an earlier call has found closed. The
// error of a stream can arrive before the connection's context ends, so the error
// marks the connection as closed and the next call opens a new one.
func TestCallErrorMarksConnectionClosed(t *testing.T) {
	f := newFleet(t)
	a, b := f.start("vm-a", nil), f.start("vm-b", nil)
	_, err := echo(a, b.Self(), "hi")
	require.NoError(t, err)
	closed, err := a.connectionTo(t.Context(), b.Self())
	require.NoError(t, err)
	tests := []struct {
		err   error
		alive bool
	}{
		{nil, true},
		{&quic.StreamError{ErrorCode: codeCanceled, Remote: true}, true},
		{context.DeadlineExceeded, true},
		{&quic.ApplicationError{ErrorCode: codeRefused, Remote: true}, false},
	}
	for _, tt := range tests {
		closed.recordClosure(tt.err)
		require.Equal(t, tt.alive, closed.alive(), "%v", tt.err)
	}
	_, err = echo(a, b.Self(), "again")
	require.NoError(t, err)
	renewed, err := a.connectionTo(t.Context(), b.Self())
	require.NoError(t, err)
	require.NotSame(t, closed, renewed)
}
