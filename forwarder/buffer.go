package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"laburnumline/connector"
	"laburnumline/framer"
)

const (
	// freeResponseBytes is the part of each response that is buffered whatever others occupy: 12 MB for 200
	// callers.
	freeResponseBytes = 64 << 10
	// bufferStep is by how much the buffer of a response of unknown length grows.
	bufferStep = 256 << 10
	// maxUnreserved is the number of responses that are read to their end although there is no memory for them.
	maxUnreserved = 2
)

// memory limits the bytes of responses that are buffered for all callers.
type memory struct {
	limit int64 // zero for none
	used  atomic.Int64
	// unreserved counts the responses that exceed the limit, because they have to be read to their end.
	unreserved atomic.Int64
}

// take reserves n bytes if they are available.
func (m *memory) take(n int64) bool {
	if m.used.Add(n) > m.limit && m.limit > 0 {
		m.used.Add(-n)
		return false
	}
	return true
}

// takeUnreserved allows one response to exceed the limit, unless maxUnreserved do.
func (m *memory) takeUnreserved() bool {
	if m.unreserved.Add(1) > maxUnreserved {
		m.unreserved.Add(-1)
		return false
	}
	return true
}

// free gives n bytes back.
func (m *memory) free(n int64) { m.used.Add(-n) }

// errNoMemory means that a response was not read to its end because callers that read slowly occupy the memory
// for responses.
var errNoMemory = errors.New("no memory for the response")

// errNoMemoryToCheck means the same for a response that has to be read to its end before it is forwarded.
var errNoMemoryToCheck = errors.New("no memory for a response that ends with its connection")

// bufferedResponse is a response that was read completely, or as far as there was memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// reserved is what the response occupies of memory. unreserved is true if it may exceed that.
	reserved   int64
	unreserved bool
	memory     *memory
}

// release frees the memory of the response, which may be nil.
func (b *bufferedResponse) release() {
	if b == nil {
		return
	}
	b.memory.free(b.reserved)
	b.reserved, b.body = 0, nil
	if b.unreserved {
		b.unreserved = false
		b.memory.unreserved.Add(-1)
	}
}

// readResponse reads a response to its end. With errNoMemory it also returns what it has read.
func (f *Forwarder) readResponse(response *connector.Response) (*bufferedResponse, error) {
	b := &bufferedResponse{status: response.Status, header: response.Header, memory: &f.memory}
	err := b.fill(response)
	if errors.Is(err, errNoMemory) {
		return b, err
	}
	if err == nil {
		err = framer.Check(response.Framing, response.Header, b.body)
	}
	if err != nil {
		b.release()
		return nil, fmt.Errorf("read response: %w", err)
	}
	return b, nil
}

// fill reads the body. A body that ends with its connection has to be read completely, because the caller cannot
// see whether it is complete. If there is no memory for that, maxUnreserved such responses are read nevertheless and the others fail.
func (b *bufferedResponse) fill(response *connector.Response) error {
	var content bytes.Buffer
	defer func() { b.body = content.Bytes() }()
	from := io.LimitReader(response.Body, maxResponseBytes+1)
	allowed := int64(freeResponseBytes)
	if response.Length > allowed && response.Length <= maxResponseBytes && b.reserve(response.Length) {
		allowed += response.Length
		content.Grow(int(response.Length) + bytes.MinRead)
	}
	for {
		if int64(content.Len())+freeResponseBytes > allowed && !b.unreserved {
			// A buffer that grows has up to twice the length of its content.
			switch {
			case b.reserve(2 * bufferStep):
				allowed += bufferStep
			case response.Framing != framer.ConnectionClose:
				return errNoMemory
			case !b.memory.takeUnreserved():
				return errNoMemoryToCheck
			default:
				b.unreserved = true
			}
		}
		_, err := io.CopyN(&content, from, freeResponseBytes)
		switch {
		case content.Len() > maxResponseBytes:
			return errResponseTooLong
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// reserve reserves memory for n bytes if they are available.
func (b *bufferedResponse) reserve(n int64) bool {
	if !b.memory.take(n) {
		return false
	}
	b.reserved += n
	return true
}

// write writes a response that was read to its end.
func (b *bufferedResponse) write(w http.ResponseWriter) {
	copyEndToEndHeaders(w.Header(), b.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	w.WriteHeader(b.status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(b.body)
}

// forwardRest forwards a response that was not read to its end: what was read, then the rest as the caller reads
// it. The caller sees by its length or chunks whether it is complete.
func (x *exchange) forwardRest(b *bufferedResponse, response *connector.Response) *failure {
	x.forwarder.config.Recorder.Count("forwarder.unbuffered", 1)
	x.startResponse()
	h := x.writer.Header()
	copyEndToEndHeaders(h, b.header)
	h.Del("Content-Length")
	if response.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	x.writer.WriteHeader(b.status)
	if _, err := x.writer.Write(b.body); err != nil {
		return x.responseFailure(errCallerDisconnected)
	}
	b.release()
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if _, writeErr := x.writer.Write(buffer[:n]); writeErr != nil {
			return x.responseFailure(errCallerDisconnected)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			failed := x.responseFailure(fmt.Errorf("read response: %w", err))
			failed.Resumable = false
			failed.connectionLost = true
			return failed
		}
	}
}
