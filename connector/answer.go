package connector

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Response is an answer whose head has been read.
type Response struct {
	Status   int
	Header   http.Header
	Metadata Metadata
	// Length is the length of the body, or -1 when it is not known before its end.
	Length int64
	// Body returns io.EOF only at the end of a whole body.
	Body io.Reader

	pool       *Pool
	address    netip.AddrPort
	connection *connection
	stop       func() bool
	response   *http.Response
	written    atomic.Int64
	writing    chan struct{} // closed when the request is written or has failed
	writeErr   error
	ended      bool
	closed     bool
}

// write writes the request. A long body is written while the answer is awaited,
// because an upstream may answer before it has read the body.
func (a *Response) write(call *Call) {
	a.writing = make(chan struct{})
	head := encodeHead(call)
	if len(call.Body) <= inlineBody {
		head = append(head, call.Body...)
		n, err := a.connection.Write(head)
		a.written.Add(int64(n))
		a.writeErr = err
		close(a.writing)
		return
	}
	go func() {
		defer close(a.writing)
		buffers := net.Buffers{head, call.Body}
		n, err := buffers.WriteTo(a.connection.Conn)
		a.written.Add(n)
		a.writeErr = err
	}()
}

// wrote reports whether the upstream may have received a part of the request. It
// breaks a write off that is under way.
func (a *Response) wrote() bool {
	_ = a.connection.SetDeadline(time.Unix(1, 0)) // the connection is closed next
	<-a.writing
	return a.written.Load() > 0
}

func encodeHead(call *Call) []byte {
	var b bytes.Buffer
	b.Grow(1024)
	b.WriteString(call.Method)
	b.WriteByte(' ')
	b.WriteString(call.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(call.Host)
	b.WriteString("\r\n")
	// Writing to a bytes.Buffer does not fail.
	_ = call.Header.Write(&b)
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// read reads answers until one bears the id of the call.
func (a *Response) read(call *Call) error {
	request := &http.Request{Method: call.Method}
	for range maxStale + 1 {
		response, err := http.ReadResponse(a.connection.reader, request)
		if err != nil {
			return err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply := a.pool.config.ReadMetadata(response.Header)
		if reply.ID == call.ID {
			a.take(response, reply)
			return nil
		}
		a.pool.config.Recorder.Count("connector.foreign_answers", 1)
		if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return errForeignAnswer
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
	}
	return errForeignAnswer
}

func (a *Response) take(response *http.Response, reply Metadata) {
	a.response, a.Status, a.Header, a.Metadata = response, response.StatusCode, response.Header, reply
	a.Length = response.ContentLength
	a.Body = bodyReader{a}
	if keep, ok := keepAlive(response.Header); ok {
		a.connection.keep = keep
	}
}

// bodyReader notes the end of the body.
type bodyReader struct{ answer *Response }

func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.answer.response.Body.Read(p)
	if err == io.EOF {
		b.answer.ended = true
	}
	return n, err
}

// keepAlive returns the time for which an upstream keeps an idle connection.
func keepAlive(h http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(text); err == nil {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

// Close ends the answer. The connection is kept when nothing is left on it. An
// answer that was made without a connection has nothing to close.
func (a *Response) Close() {
	if a.closed || a.connection == nil {
		return
	}
	a.closed = true
	if !a.reusable() {
		a.discard()
		return
	}
	if !a.stop() {
		a.connection.Close() // the context ended and the deadline is in the past
		return
	}
	a.pool.put(a.address, a.connection)
}

func (a *Response) reusable() bool {
	if !a.ended || a.response.Close || a.connection.reader.Buffered() > 0 {
		return false
	}
	select {
	case <-a.writing:
		return a.writeErr == nil
	default:
		return false
	}
}

func (a *Response) discard() {
	a.closed = true
	a.stop()
	a.connection.Close()
}

// quiet reports whether an idle connection has neither bytes nor an end to read.
func quiet(c *connection) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// Dialer returns a function that opens connections within a time. A connection on
// which sent bytes stay unacknowledged for the silence, or whose peer does not
// answer probes for about three times as long, fails.
func Dialer(connect, silence time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: connect,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: max(silence, time.Second), Interval: time.Second, Count: 2,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return d.DialContext
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not name.
const tcpUserTimeout = 18
