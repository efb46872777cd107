package framer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a connection on which requests are written and responses are read. Its Read returns io.EOF only if the other
// side has ended the connection in order.
//
// A socket reports a reset or a time-out once, to whichever of Read and Write asks first. If that is Write, the socket's
// Read returns io.EOF, as after an orderly end. Conn therefore keeps what either has reported. It never waits for the other
// side: a Write that fails because the connection has ended returns at once.
//
// Read and Write may be called concurrently with each other, but Read not with itself.
type Conn struct {
	net.Conn
	received uint64
	// writing is held during a Write.
	writing sync.Mutex
	// failure is the first error of the socket that shows that the connection did not end in order.
	failure atomic.Pointer[syscall.Errno]

	mu   sync.Mutex
	head headScanner // guarded by mu
}

// Wrap makes c the Conn of a connection that was just opened.
func (c *Conn) Wrap(raw net.Conn) { c.Conn = raw }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received += uint64(n)
	c.scanHead(p[:n])
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		err = c.endOfStream()
	default:
		c.recordFailure(err)
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.recordFailure(err)
	}
	return n, err
}

// ExpectHead is called before the head of a response is read. The buffered bytes are those of it that were read before.
func (c *Conn) ExpectHead(buffered []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{active: true, empty: true}
	c.head.scan(buffered)
}

func (c *Conn) scanHead(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.scan(b)
}

// CheckHead is the function of that name for a response of this connection whose head was expected. It also returns
// ErrMalformedHead if a line begins with a blank.
func (c *Conn) CheckHead(r *http.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.folded {
		return fmt.Errorf("%w: a line begins with a blank", ErrMalformedHead)
	}
	return CheckHead(r)
}

// recordFailure keeps an error of the socket. EPIPE is none: it says that the connection can't be written to, which is also
// so after an orderly end that a reset has followed. Neither is an error of this process, such as a deadline.
func (c *Conn) recordFailure(err error) {
	var number syscall.Errno
	if errors.As(err, &number) && number != syscall.EPIPE {
		c.failure.CompareAndSwap(nil, &number)
	}
}

// endOfStream returns io.EOF if the end that was read is an orderly one, else the failure of the connection.
func (c *Conn) endOfStream() error {
	switch c.readEnd() {
	case endOrderly:
		return io.EOF
	case endClosed:
		// A Write may have been told of the failure and not have returned yet. Any later one finds the connection closed.
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	if number := c.failure.Load(); number != nil {
		return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: *number}
	}
	return io.EOF
}

// connEnd is what a socket tells of the end of a connection.
type connEnd uint8

const (
	// endUnknown is that of what is no TCP socket, and of a connection that this process has closed.
	endUnknown connEnd = iota
	// endOrderly means that the other side has ended its sending direction.
	endOrderly
	// endClosed means that the connection was reset or has timed out, perhaps after an orderly end.
	endClosed
)

// tcpClose is TCP_CLOSE of Linux, the state of a connection that has ended in both directions.
const tcpClose = 7

// readEnd asks the socket for the end of a connection on which nothing is left to read. A connection that wraps another one
// needs a SyscallConn for that.
func (c *Conn) readEnd() connEnd {
	underlying, ok := c.Conn.(syscall.Conn)
	if !ok {
		return endUnknown
	}
	raw, err := underlying.SyscallConn()
	if err != nil {
		return endUnknown
	}
	end := endUnknown
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case err != nil:
		case info.State != tcpClose:
			end = endOrderly // a failure that follows comes after the end
		case info.Bytes_received == c.received+1:
			end = endOrderly // the end takes up a sequence number, which the kernel counts as a byte
		default:
			end = endClosed
		}
	})
	if err != nil {
		return endUnknown
	}
	return end
}
