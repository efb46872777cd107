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
	// readBuffer is the size of a connection's read buffer, in bytes. An event of a
	// stream has some hundred bytes.
	readBuffer = 4 << 10
	// inlineBody is the largest body that is written before the answer is read, in
	// bytes. It fits into the send buffer of a socket.
	inlineBody = 4 << 10
	// idleMargin is taken off the time that an upstream keeps an idle connection,
	// so that it does not close a connection on which a request is under way.
	idleMargin = 700 * time.Millisecond
	// defaultIdle is how long a connection is kept when the upstream states no time.
	defaultIdle = 4 * time.Second
	// maxIdle bounds the kept connections to one upstream; Limit lowers it.
	maxIdle = 16
	// maxStale is the number of answers to earlier calls that are skipped.
	maxStale = 3
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
func (f *CallError) Error() string {
	return fmt.Sprintf("%s at upstream %s: %v", f.Step, f.Peer, f.Err)
}

// Unwrap returns the cause.
func (f *CallError) Unwrap() error { return f.Err }

var (
	errForeignAnswer = errors.New("the answers belong to other requests")
)

// connection is one open connection.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// until is when an idle connection is not used any more.
	until time.Time
	keep  time.Duration
}

// Pool holds the connections of a daemon. It is safe for concurrent use.
type Pool struct {
	config Config

	mu    sync.Mutex
	idle  map[netip.AddrPort][]*connection // oldest first
	limit int
}

// New returns a pool without connections.
func New(c Config) *Pool {
	return &Pool{config: c, idle: make(map[netip.AddrPort][]*connection), limit: maxIdle}
}

// Send sends a call and returns its answer, whose body is read by the caller. The
// end of ctx breaks the call off, also while the body is read.
func (p *Pool) Send(ctx context.Context, address netip.AddrPort, call *Call) (*Response, error) {
	c, err := p.connection(ctx, address)
	if err != nil {
		return nil, &CallError{ConnectFailed: true, Step: "connect", Peer: address, Err: err}
	}
	a := &Response{pool: p, address: address, connection: c}
	a.stop = context.AfterFunc(ctx, func() {
		// An error means that the connection is closed already.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	a.write(call)
	if err := a.read(call); err != nil {
		failure := &CallError{Written: a.wrote(), Step: "read answer", Peer: address, Err: err}
		a.discard()
		if cause := context.Cause(ctx); cause != nil {
			failure.Err = cause
		}
		return nil, failure
	}
	return a, nil
}

// connection returns an idle connection or a new one.
func (p *Pool) connection(ctx context.Context, address netip.AddrPort) (*connection, error) {
	for c := p.take(address); c != nil; c = p.take(address) {
		if time.Now().Before(c.until) && quiet(c) {
			return c, nil
		}
		c.Close()
	}
	p.config.Recorder.Count("connector.opened", 1)
	raw, err := p.config.Dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), keep: defaultIdle}, nil
}

func (p *Pool) take(address netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(address netip.AddrPort, c *connection) {
	c.until = time.Now().Add(c.keep - idleMargin)
	p.mu.Lock()
	list := p.idle[address]
	var oldest *connection
	if len(list) >= p.limit {
		oldest, list = list[0], list[1:]
	}
	p.idle[address] = append(list, c)
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
	p.limit = min(max(connections, 1), maxIdle)
}

// CloseExpired closes idle connections that are too old. It is called about once a second.
func (p *Pool) CloseExpired(now time.Time) {
	var old []*connection
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// CloseExcept closes the idle connections to all but some addresses.
func (p *Pool) CloseExcept(addresses map[netip.AddrPort]bool) {
	var gone []*connection
	p.mu.Lock()
	for address, list := range p.idle {
		if !addresses[address] {
			gone = append(gone, list...)
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range gone {
		c.Close()
	}
}
