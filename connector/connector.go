// Package connector sends requests to upstreams over pooled HTTP/1.1 connections.
//
// An upstream executes one request at a time on a connection, and it may be faulty: it may
// send a second response after the first one, send bytes that are not a response, also
// without end, or respond before it has read the whole request. A Pool therefore accepts a response only if
// it carries the ID of the call, skips responses to earlier calls, and reuses a connection
// only if no bytes are left on it in either direction.
//
// The error of a failed call says whether the upstream may have executed it. It has not if
// no byte of the request was written.
//
//	response, err := pool.Send(ctx, address, call)
//	if err != nil {
//		var callError *connector.CallError
//		...
//	}
//	defer response.Close()
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

	"laburnumline/balancer"
	"laburnumline/framer"
	"laburnumline/recorder"
	"laburnumline/throttler"
)

const (
	// readBufferBytes is the size of a connection's read buffer. An event of a stream has
	// several hundred bytes.
	readBufferBytes = 4 << 10
	// maxInlineBodyBytes is the maximum size of a body that is written before the response
	// is read. It fits into the send buffer of a socket.
	maxInlineBodyBytes = 4 << 10
	// idleMargin is subtracted from the idle timeout of an upstream, because the upstream
	// might otherwise close a connection on which a request has just been sent.
	idleMargin = 700 * time.Millisecond
	// defaultIdleTimeout applies if the upstream sends no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdlePerUpstream limits the idle connections to one upstream. SetMaxIdle lowers it.
	maxIdlePerUpstream = 16
	// maxStaleResponses limits the responses to earlier calls that are skipped.
	maxStaleResponses = 3
	// maxSkippedBytes limits the body of a response to an earlier call, which is read to reach the next response.
	maxSkippedBytes = 1 << 20
	// maxHeadBytes limits what is read from a connection until the header of the response to a
	// call is complete, headers of skipped responses included.
	maxHeadBytes = 64 << 10
)

// Metadata is what the platform's headers of a response contain.
type Metadata struct {
	// ID is the ID of the call to which the upstream responds.
	ID string
	// Signed is true if the upstream has signed the response.
	Signed bool
	// NotRun is true if the upstream states that it did not execute the request.
	NotRun bool
	// Load holds the figures of the upstream's load report that could be read. IgnoredFigures
	// counts the others: malformed, missing and surplus ones.
	Load           balancer.Load
	IgnoredFigures int
	// Leaving is true if the upstream states that it leaves.
	Leaving bool
	// RetryAfter is the time for which the daemon sends the upstream no further request after it has
	// rejected this one. Zero means that it states none.
	RetryAfter time.Duration
	// RequestLimit is the request limit that the upstream states.
	RequestLimit throttler.Limit
	// Rejections is how many requests the upstream states that it can reject.
	Rejections throttler.Rejections
	// Warmup is how much longer the upstream states that it is cold.
	Warmup throttler.WarmupStatement
}

// Call is one request to an upstream.
type Call struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	Header http.Header
	Body   []byte
}

// Config holds what a Pool needs.
type Config struct {
	// Dial opens connections.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ReadMetadata reads the headers of a response.
	ReadMetadata func(http.Header) Metadata
	Recorder     *recorder.Recorder
}

// CallError is the error of a call without a response.
type CallError struct {
	// Written is true if a part of the request was written. The upstream may have executed
	// it then.
	Written bool
	// ConnectFailed is true if no connection could be opened.
	ConnectFailed bool
	Step          string
	Peer          netip.AddrPort
	Err           error
}

// Error returns the step, the peer and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s at upstream %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

var (
	errForeignResponse = errors.New("the responses belong to other calls")
	errHeadTooLong     = fmt.Errorf("response header exceeds %d bytes", maxHeadBytes)
)

// connection is an open connection.
type connection struct {
	framer.Conn
	reader *bufio.Reader
	// expires is the time from which an idle connection is not reused.
	expires     time.Time
	idleTimeout time.Duration // of the upstream
	// lastID is the ID of the last call. A repeated response to it could not be told from that to another call with
	// the same ID.
	lastID string
	// readingHead is true while a header is read, and headBytes counts what has been read for it.
	readingHead bool
	headBytes   int
}

func newConnection(raw net.Conn) *connection {
	c := &connection{idleTimeout: defaultIdleTimeout}
	c.Wrap(raw)
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Read reads from the upstream. While a header is read, it returns errHeadTooLong beyond maxHeadBytes.
func (c *connection) Read(p []byte) (int, error) {
	if !c.readingHead {
		return c.Conn.Read(p)
	}
	remaining := maxHeadBytes - c.headBytes
	if remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), remaining)])
	c.headBytes += n
	return n, err
}

// readHead reads the status line and the header of a response.
func (c *connection) readHead(request *http.Request) (*http.Response, error) {
	c.readingHead = true
	defer func() { c.readingHead = false }()
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.ExpectHead(buffered)
	return http.ReadResponse(c.reader, request)
}

// Pool holds the idle connections of a daemon to all upstreams. It is safe for concurrent
// use.
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

// Send sends a call and returns the response. The caller reads its body and closes it. The
// end of ctx aborts the call, even while the body is read. An error is a *CallError.
func (p *Pool) Send(ctx context.Context, address netip.AddrPort, call *Call) (*Response, error) {
	c, err := p.acquire(ctx, address, call.ID)
	if err != nil {
		return nil, &CallError{ConnectFailed: true, Step: "connect", Peer: address, Err: err}
	}
	c.lastID, c.headBytes = call.ID, 0
	r := &Response{pool: p, address: address, connection: c}
	r.stop = context.AfterFunc(ctx, func() {
		// An error means that the connection is closed already.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	r.write(call)
	if err := r.read(call); err != nil {
		failure := &CallError{Written: r.abortWrite(), Step: "read response", Peer: address, Err: err}
		r.discard()
		if cause := context.Cause(ctx); cause != nil {
			failure.Err = cause
		}
		return nil, failure
	}
	return r, nil
}

// acquire returns an idle connection whose last call had another ID, or a new one.
func (p *Pool) acquire(ctx context.Context, address netip.AddrPort, id string) (*connection, error) {
	for c := p.takeIdle(address); c != nil; c = p.takeIdle(address) {
		if c.lastID != id && time.Now().Before(c.expires) && noPendingInput(c) {
			return c, nil
		}
		c.Close()
	}
	p.config.Recorder.Count("connector.opened", 1)
	raw, err := p.config.Dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return newConnection(raw), nil
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

// SetMaxIdle limits the idle connections to each upstream to a number from 1 to
// maxIdlePerUpstream. An upstream accepts a limited number of connections from all daemons.
func (p *Pool) SetMaxIdle(connections int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = min(max(connections, 1), maxIdlePerUpstream)
}

// CloseExpired closes idle connections that have expired. It is called about once a second.
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

// CloseExcept closes the idle connections to all addresses except the given ones.
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
