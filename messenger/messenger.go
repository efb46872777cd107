// Package messenger carries requests and responses between daemons.
//
// A daemon registers one typed handler per method in a Mux and calls other
// daemons through a Caller. Messages are encoded as CBOR. Loopback connects
// daemons within one process for tests.
//
// QUIC is the Caller between processes. It opens connections on demand, one per
// pair of daemons, with mutual TLS, and sends each call on its own stream. Both
// sides exchange their identities when a connection starts. A certificate that
// names a VM is accepted only from that VM. A call names the incarnation (one
// start of a daemon) that it is meant for, and any other incarnation refuses it.
// When the daemon's credentials change, open connections are verified against
// the new authorities.
//
// Caller.Call returns a *CallError when a call fails. PossiblyExecuted is false
// only when the peer's handler certainly did not run. A handler starts only after
// the whole request has arrived, so a truncated request counts as not executed.
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

// Method identifies a kind of request between daemons. Zero is reserved for the
// shutdown announcement of QUIC.
type Method uint16

// Peer identifies one incarnation of the daemon on a VM.
type Peer struct {
	VM          contractor.VM          `cbor:"1,keyasint"`
	Zone        contractor.Zone        `cbor:"2,keyasint"`
	Region      contractor.Region      `cbor:"3,keyasint,omitempty"`
	Incarnation contractor.Incarnation `cbor:"4,keyasint"`
	// Address is the UDP address on which the daemon listens for other daemons.
	Address netip.AddrPort `cbor:"5,keyasint"`
}

// String returns the VM, the incarnation and the address.
func (p Peer) String() string {
	return fmt.Sprintf("%s#%d at %s", p.VM, p.Incarnation, p.Address)
}

// Caller sends one encoded request to a peer and returns its encoded response.
type Caller interface {
	Call(ctx context.Context, to Peer, method Method, request []byte) ([]byte, error)
}

// CallError describes a failed call. PossiblyExecuted is false only when the
// peer's handler certainly did not run.
type CallError struct {
	Method           Method
	Peer             Peer
	PossiblyExecuted bool
	// RemoteMessage is the text of the error that the peer's handler returned.
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

// Handler processes one encoded request and returns the encoded response.
type Handler func(ctx context.Context, from Peer, request []byte) ([]byte, error)

// Mux maps methods to handlers. The zero value is ready to use.
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

// Handle registers the typed handler of a method, replacing any earlier one.
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

// Call sends a typed request to a peer and returns its typed response.
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
