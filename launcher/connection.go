package launcher

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// newConnectionTime is how long a draining server waits for the first request of a connection.
const newConnectionTime = 5 * time.Second

// requestConn is a connection on which a server can stop to wait for requests without losing one. net/http counts a
// connection as idle until the head of a request has been read completely, so a server that closes its idle
// connections loses those requests that it is reading. Here a read that waits for the first byte of a request ends with io.EOF
// instead, after which net/http closes the connection. If a byte arrives first, the request is served.
type requestConn struct {
	net.Conn
	acceptedAt time.Time

	mu sync.Mutex
	// awaiting is true while no byte of the next request has been read. first is true before the first request.
	awaiting, first bool
	// early is true if a byte of the next request was read before the response to the last one was complete.
	early bool
	// deadline is the one for reads that net/http has set. deadlineSet is true if it has done so since awaiting began.
	deadline    time.Time
	deadlineSet bool
	// reading is true during a read, interrupted if drain has set a deadline of its own for it.
	reading, interrupted bool
	draining             bool
}

func newRequestConn(conn net.Conn, now time.Time) *requestConn {
	return &requestConn{Conn: conn, acceptedAt: now, awaiting: true, first: true}
}

// Read reads from the connection. While the connection drains, it does not wait for the first byte of a request.
func (c *requestConn) Read(b []byte) (int, error) {
	if !c.beginRead() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 {
		c.awaiting = false
		// While a handler runs, net/http reads one byte to notice that the caller has gone.
		c.early = c.early || len(b) == 1
	}
	if !c.interrupted {
		return n, err
	}
	c.interrupted = false
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, io.EOF
	}
	if deadlineErr := c.Conn.SetReadDeadline(c.deadline); err == nil {
		err = deadlineErr
	}
	return n, err // net/http compares io.EOF itself
}

// beginRead reports whether a read may wait for bytes.
func (c *requestConn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = !c.draining || !c.mayEnd()
	return c.reading
}

// mayEnd reports whether the connection may be closed without an answer. The lock is held.
func (c *requestConn) mayEnd() bool {
	return c.awaiting && (!c.first || time.Since(c.acceptedAt) >= newConnectionTime)
}

// SetReadDeadline sets the deadline for reads. net/http sets one when it begins to wait for a request, and another one when a part
// of the request is in its buffer, perhaps since it read the last one.
func (c *requestConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = c.awaiting && !c.deadlineSet
	c.deadline, c.deadlineSet = t, true
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// beginRequest records that the head of a request has been read.
func (c *requestConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.first, c.early = false, false, false
}

// awaitRequest records that the response to a request is complete.
func (c *requestConn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.deadlineSet = !c.early, false
}

// drain ends the wait for a request, now and from now on.
func (c *requestConn) drain() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if !c.reading || c.interrupted || !c.mayEnd() {
		return nil
	}
	c.interrupted = true
	return c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// CloseWrite closes the connection for writing, after which net/http waits until the caller has read a response that ended
// its request early.
func (c *requestConn) CloseWrite() error {
	conn, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return conn.CloseWrite()
}
