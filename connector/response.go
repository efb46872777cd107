package connector

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"laburnumline/framer"
)

// Response is a response whose header has been read.
type Response struct {
	Status   int
	Header   http.Header
	Metadata Metadata
	// Length is the length of the body in bytes, or -1 if the header does not state it.
	Length int64
	// Framing is how the end of the body is marked. A body that ends with its connection
	// may be truncated although Body has returned io.EOF: an upstream that crashes may end it in order.
	Framing framer.Framing
	// Body returns io.EOF only at the end of the body that Framing marks.
	Body io.Reader

	pool         *Pool
	address      netip.AddrPort
	connection   *connection
	stop         func() bool // disables the abort at the end of the call's context
	httpResponse *http.Response
	bytesWritten atomic.Int64
	writeDone    chan struct{} // closed when the request is written or the write has failed
	writeErr     error
	bodyEnded    bool
	closed       bool
}

// write writes the request. A long body is written in the background, because an upstream
// may respond before it has read the body.
func (r *Response) write(call *Call) {
	r.writeDone = make(chan struct{})
	head := encodeHead(call)
	if len(call.Body) <= maxInlineBodyBytes {
		head = append(head, call.Body...)
		n, err := r.connection.Write(head)
		r.bytesWritten.Add(int64(n))
		r.writeErr = err
		close(r.writeDone)
		return
	}
	go func() {
		defer close(r.writeDone)
		buffers := net.Buffers{head, call.Body}
		n, err := buffers.WriteTo(&r.connection.Conn)
		r.bytesWritten.Add(n)
		r.writeErr = err
	}()
}

// abortWrite aborts an unfinished write. It reports whether the upstream may have received
// a part of the request.
func (r *Response) abortWrite() bool {
	_ = r.connection.SetDeadline(time.Unix(1, 0)) // the connection is closed next
	<-r.writeDone
	return r.bytesWritten.Load() > 0
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

// read reads responses until one carries the ID of the call.
func (r *Response) read(call *Call) error {
	request := &http.Request{Method: call.Method}
	for range maxStaleResponses + 1 {
		response, err := r.connection.readHead(request)
		if err != nil {
			return err
		}
		if framer.IsInterim(response.StatusCode) {
			continue
		}
		if err := r.connection.CheckHead(response); err != nil {
			return err
		}
		metadata := r.pool.config.ReadMetadata(response.Header)
		if metadata.IgnoredFigures > 0 {
			r.pool.config.Recorder.Count("connector.load_figures_ignored", int64(metadata.IgnoredFigures))
		}
		if metadata.ID == call.ID {
			r.accept(response, metadata)
			return nil
		}
		r.pool.config.Recorder.Count("connector.foreign_answers", 1)
		if response.Close || framer.Of(response) == framer.ConnectionClose {
			return errForeignResponse
		}
		if n, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes+1); !errors.Is(err, io.EOF) {
			if n > maxSkippedBytes {
				return errForeignResponse
			}
			return err
		}
	}
	return errForeignResponse
}

func (r *Response) accept(response *http.Response, metadata Metadata) {
	r.httpResponse, r.Status, r.Header, r.Metadata = response, response.StatusCode, response.Header, metadata
	r.Length, r.Framing = response.ContentLength, framer.Of(response)
	if r.Framing == framer.ConnectionClose {
		r.pool.config.Recorder.Count("connector.close_delimited", 1)
	}
	r.Body = bodyReader{r}
	if timeout, ok := keepAliveTimeout(response.Header); ok {
		r.connection.idleTimeout = timeout
	}
}

// bodyReader records the end of the body.
type bodyReader struct{ response *Response }

func (b bodyReader) Read(p []byte) (int, error) {
	n, err := b.response.httpResponse.Body.Read(p)
	if err == io.EOF {
		b.response.bodyEnded = true
	}
	return n, err
}

// keepAliveTimeout returns the time for which an upstream keeps an idle connection open.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
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

// Close releases the connection. The connection is reused if no bytes are left on it. A
// Response without a connection, as tests construct it, has nothing to release.
func (r *Response) Close() {
	if r.closed || r.connection == nil {
		return
	}
	r.closed = true
	if !r.reusable() {
		r.discard()
		return
	}
	if !r.stop() {
		r.connection.Close() // the context ended and the deadline is in the past
		return
	}
	r.pool.putIdle(r.address, r.connection)
}

func (r *Response) reusable() bool {
	if !r.bodyEnded || r.httpResponse.Close || r.connection.reader.Buffered() > 0 {
		return false
	}
	select {
	case <-r.writeDone:
		return r.writeErr == nil
	default:
		return false
	}
}

func (r *Response) discard() {
	r.closed = true
	r.stop()
	r.connection.Close()
}

// noPendingInput reports whether an idle connection has neither bytes nor an end of stream
// to read.
func noPendingInput(c *connection) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.NetConn().(syscall.Conn)
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

// Dialer returns a function that opens connections within connectTimeout. A connection fails
// if sent bytes stay unacknowledged for silenceTimeout, or if the peer stays silent for it:
// keep-alive probes are sent after 1 s and then each second, and with TCP_USER_TIMEOUT the
// first one that finds the silence that long ends the connection, whatever the number of probes.
func Dialer(connectTimeout, silenceTimeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	return d.DialContext
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not define.
const tcpUserTimeout = 18
