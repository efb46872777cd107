package messenger

import (
	"context"
	"errors"
	"sync"

	"laburnumline/contractor"
)

// ErrUnreachable means that no connection to the peer could be opened.
var ErrUnreachable = errors.New("peer is unreachable")

// Loopback connects daemons within one process. The zero value is ready to use.
type Loopback struct {
	mu          sync.Mutex
	muxes       map[contractor.VM]*Mux
	partitioned map[[2]contractor.VM]bool
}

// Attach sets the Mux that serves calls to a VM. A nil mux makes the VM unreachable.
func (l *Loopback) Attach(vm contractor.VM, mux *Mux) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.muxes == nil {
		l.muxes = make(map[contractor.VM]*Mux)
	}
	l.muxes[vm] = mux
}

// SetPartitioned starts or ends a network partition between two VMs, in both
// directions.
func (l *Loopback) SetPartitioned(a, b contractor.VM, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partitioned == nil {
		l.partitioned = make(map[[2]contractor.VM]bool)
	}
	l.partitioned[[2]contractor.VM{a, b}] = partitioned
	l.partitioned[[2]contractor.VM{b, a}] = partitioned
}

// Caller returns the Caller of one daemon.
func (l *Loopback) Caller(from Peer) Caller { return loopbackCaller{l, from} }

type loopbackCaller struct {
	loopback *Loopback
	from     Peer
}

// Call runs the peer's handler on the caller's goroutine.
func (c loopbackCaller) Call(ctx context.Context, to Peer, method Method, request []byte) ([]byte, error) {
	mux := c.loopback.muxFor(c.from.VM, to.VM)
	if mux == nil {
		return nil, &CallError{Method: method, Peer: to, Err: ErrUnreachable}
	}
	response, err := mux.Serve(ctx, c.from, method, request)
	if err != nil {
		return nil, &CallError{Method: method, Peer: to, PossiblyExecuted: true, RemoteMessage: err.Error()}
	}
	return response, nil
}

func (l *Loopback) muxFor(from, to contractor.VM) *Mux {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.partitioned[[2]contractor.VM{from, to}] {
		return nil
	}
	return l.muxes[to]
}
