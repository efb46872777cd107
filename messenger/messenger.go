// Package messenger carries requests and answers between daemons.
//
// A daemon registers one typed handler per method in a Mux and calls other
// daemons through a Caller. Messages are encoded as CBOR. Loopback joins daemons
// within one process for tests.
//
// QUIC is the Caller between processes. It keeps one connection per pair of
// daemons as needed, with mutual TLS, and sends each call on a stream of its
// own. Both sides say who they are when the connection starts: a certificate that
// names a VM only speaks for that VM, and a call that is addressed to another
// incarnation is refused. When the daemon's keys change, open connections are
// verified against the new authorities.
//
// A call that fails returns a *CallError. Its field PossiblyExecuted is false only when the
// peer's handler certainly did not run: a handler runs when it has the whole
// request, so a request that was cut short counts as not sent.
//
//	messenger.Handle(mux, MethodPing, func(ctx context.Context, from messenger.Peer, req *Ping) (*Pong, error) {
//		return &Pong{Sequence: req.Sequence}, nil
//	})
//	pong, err := messenger.Call[Ping, Pong](ctx, caller, peer, MethodPing, &Ping{Sequence: 1})
package messenger

import (
	"context"
	"fmt"
	"net/netip"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
)

// Method names a kind of request between daemons. Zero is reserved.
type Method uint16

// Peer is one run of a daemon on a VM.
type Peer struct {
	VM          contractor.VM          `cbor:"1,keyasint"`
	Zone        contractor.Zone        `cbor:"2,keyasint"`
	Region      contractor.Region      `cbor:"3,keyasint,omitempty"`
	Incarnation contractor.Incarnation `cbor:"4,keyasint"`
	// Address is where the daemon listens for other daemons.
	Address netip.AddrPort `cbor:"5,keyasint"`
}

// String returns the VM, the incarnation and the address.
func (p Peer) String() string {
	return fmt.Sprintf("%s#%d at %s", p.VM, p.Incarnation, p.Address)
}

// Caller sends one encoded request to a peer and returns its encoded answer.
type Caller interface {
	Call(ctx context.Context, to Peer, method Method, request []byte) ([]byte, error)
}

// CallError is the error of a call. PossiblyExecuted is false when the request certainly
// did not reach the peer's handler.
type CallError struct {
	Method           Method
	Peer             Peer
	PossiblyExecuted bool
	// RemoteMessage is the message of an error that the peer's handler returned.
	RemoteMessage string
	Err           error
}

// Error returns the method, the peer and the cause.
func (e *CallError) Error() string {
	if e.RemoteMessage != "" {
		return fmt.Sprintf("call method %d of %s: peer answered: %s", e.Method, e.Peer, e.RemoteMessage)
	}
	return fmt.Sprintf("call method %d of %s (sent: %t): %v", e.Method, e.Peer, e.PossiblyExecuted, e.Err)
}

// Unwrap returns the underlying error.
func (e *CallError) Unwrap() error { return e.Err }

// Handler answers one encoded request.
type Handler func(ctx context.Context, from Peer, request []byte) ([]byte, error)

// Mux finds the handler of a method. The zero value is ready to use.
type Mux struct {
	mu       sync.RWMutex
	handlers map[Method]Handler
}

// Serve calls the handler of a method.
func (m *Mux) Serve(ctx context.Context, from Peer, method Method, request []byte) ([]byte, error) {
	m.mu.RLock()
	h, ok := m.handlers[method]
	m.mu.RUnlock()
	if !ok {
		return nil, fmt.Errorf("method %d has no handler", method)
	}
	return h(ctx, from, request)
}

func (m *Mux) add(method Method, h Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.handlers == nil {
		m.handlers = make(map[Method]Handler)
	}
	m.handlers[method] = h
}

// Handle registers the typed handler of a method and replaces an earlier one.
func Handle[Req, Resp any](m *Mux, method Method, handle func(ctx context.Context, from Peer, request *Req) (*Resp, error)) {
	m.add(method, func(ctx context.Context, from Peer, raw []byte) ([]byte, error) {
		var request Req
		if err := cbor.Unmarshal(raw, &request); err != nil {
			return nil, fmt.Errorf("decode request of method %d from %s: %w", method, from, err)
		}
		response, err := handle(ctx, from, &request)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(response)
	})
}

// Call sends a typed request to a peer and returns its typed answer.
func Call[Req, Resp any](ctx context.Context, c Caller, to Peer, method Method, request *Req) (*Resp, error) {
	rawRequest, err := cbor.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("encode request of method %d for %s: %w", method, to, err)
	}
	rawResponse, err := c.Call(ctx, to, method, rawRequest)
	if err != nil {
		return nil, err
	}
	var response Resp
	if err := cbor.Unmarshal(rawResponse, &response); err != nil {
		return nil, fmt.Errorf("decode answer of method %d from %s: %w", method, to, err)
	}
	return &response, nil
}
