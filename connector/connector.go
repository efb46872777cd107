// Package connector sends requests to upstreams over HTTP/1.1 connections that it keeps.
//
// An upstream runs one request at a time on a connection and may be faulty: it may
// send a second answer after the first one, bytes that are no answer, or answer
// before it has read the whole request. A Pool therefore takes an answer only when
// it bears the id of the call, skips answers to earlier calls, and keeps a
// connection only when nothing is left on it in either direction.
//
// A failed call says whether the upstream may have run it: nothing has run when no
// byte of the request was written.
//
//	answer, err := pool.Send(ctx, address, call)
//	if err != nil {
//		var failure *connector.Failure
//		...
//	}
//	defer answer.Close()
package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"laburnumline/recorder"
)

const (
	// readBufferBytes is the size of a connection's read buffer, in bytes. An event of a
	// stream has some hundred bytes.
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the largest body that is written before the answer is read, in
	// bytes. It fits into the send buffer of a socket.
	maxInlineBodyBytes = 4 << 10
	// idleMargin is taken off the time that an upstream keeps an idle connection,
	// so that it does not close a connection on which a request is under way.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept when the upstream states no time.
	defaultIdleTimeout = 4 * time.Second
	// maxIdlePerUpstream bounds the kept connections to one upstream; Limit lowers it.
	maxIdlePerUpstream = 16
	// maxStaleResponses is the number of answers to earlier calls that are skipped.
	maxStaleResponses = 3
)

// Metadata is what the headers of an answer say, apart from HTTP.
type Metadata struct {
	// ID is the id of the call that is answered.
	ID string
	// Signed is true when the upstream has signed the answer.
	Signed bool
	// NotRun is true when the upstream says that it did not run the request.
	NotRun bool
	// HasLoad is true when Running, Waiting and Slots tell the upstream's load.
	HasLoad                 bool
	Running, Waiting, Slots int
}

// Call is one request to an upstream.
type Call struct {
	ID     string
	Method string
	Host   string
	// Target is path and query as the caller sent them.
	Target string
	Header http.Header
	Body   []byte
}

// Config holds what a Pool needs.
type Config struct {
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ReadMetadata reads the headers of an answer.
	ReadMetadata func(http.Header) Metadata
	Recorder     *recorder.Recorder
}

// CallError is the error of a call without an answer.
type CallError struct {
	// Written is true when a part of the request was written, so that the upstream
	// may have run it.
	Written bool
	// ConnectFailed is true when no connection could be opened.
	ConnectFailed bool
	Step          string
	Peer          netip.AddrPort
	Err           error
}

// Error returns step, peer and cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s at upstream %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

var (
	errForeignResponse = errors.New("the answers belong to other requests")
)

// connection is one open connection.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// expires is when an idle connection is not used any more.
	expires     time.Time
	idleTimeout time.Duration
}

// Pool holds the connections of a daemon. It is safe for concurrent use.
type Pool struct {
	config Config

	mu      sync.Mutex
	idle    map[netip.AddrPort][]*connection // oldest first
	maxIdle int
}

// New returns a pool without connections.
func New(c Config) *Pool {
	return &Pool{config: c, idle: make(map[netip.AddrPort][]*connection), maxIdle: maxIdlePerUpstream}
}

// Send sends a call and returns its answer, whose body is read by the caller. The
// end of ctx breaks the call off, also while the body is read.
func (p *Pool) Send(ctx context.Context, address netip.AddrPort, call *Call) (*Response, error) {
	c, err := p.acquire(ctx, address)
	if err != nil {
		return nil, &CallError{ConnectFailed: true, Step: "connect", Peer: address, Err: err}
	}
	r := &Response{pool: p, address: address, connection: c}
	r.stop = context.AfterFunc(ctx, func() {
		// An error means that the connection is closed already.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	r.write(call)
	if err := r.read(call); err != nil {
		failure := &CallError{Written: r.abortWrite(), Step: "read answer", Peer: address, Err: err}
		r.discard()
		if cause := context.Cause(ctx); cause != nil {
			failure.Err = cause
		}
		return nil, failure
	}
	return r, nil
}

// acquire returns an idle acquire or a new one.
func (p *Pool) acquire(ctx context.Context, address netip.AddrPort) (*connection, error) {
	for c := p.takeIdle(address); c != nil; c = p.takeIdle(address) {
		if time.Now().Before(c.expires) && noPendingInput(c) {
			return c, nil
		}
		c.Close()
	}
	p.config.Recorder.Count("connector.opened", 1)
	raw, err := p.config.Dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

func (p *Pool) takeIdle(address netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	connections := p.idle[address]
	if len(connections) == 0 {
		return nil
	}
	c := connections[len(connections)-1]
	p.idle[address] = connections[:len(connections)-1]
	return c
}

func (p *Pool) putIdle(address netip.AddrPort, c *connection) {
	c.expires = time.Now().Add(c.idleTimeout - idleMargin)
	p.mu.Lock()
	connections := p.idle[address]
	var oldest *connection
	if len(connections) >= p.maxIdle {
		oldest, connections = connections[0], connections[1:]
	}
	p.idle[address] = append(connections, c)
	p.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
}

// SetMaxIdle bounds the kept connections to one upstream, because an upstream takes only
// so many from all daemons. At least one is kept.
func (p *Pool) SetMaxIdle(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = min(max(connections, 1), maxIdlePerUpstream)
}

// CloseExpired closes idle connections that are too old. It is called about once a second.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*connection
	p.mu.Lock()
	for address, connections := range p.idle {
		kept := connections[:0]
		for _, c := range connections {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// CloseExcept closes the idle connections to all but some addresses.
func (p *Pool) CloseExcept(addresses map[netip.AddrPort]bool) {
	var removed []*connection
	p.mu.Lock()
	for address, connections := range p.idle {
		if !addresses[address] {
			removed = append(removed, connections...)
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range removed {
		c.Close()
	}
}
