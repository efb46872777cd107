package delegator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
)

// sentBody records whether the transport has begun to read the body, which it does when it writes the
// request.
type sentBody struct {
	io.Reader
	begun atomic.Bool
}

func (b *sentBody) Read(p []byte) (int, error) {
	b.begun.Store(true)
	return b.Reader.Read(p)
}

// Close does nothing; the content is in memory.
func (b *sentBody) Close() error { return nil }

// Handler serves the delegated requests of other daemons. A request that cannot be decoded, or that
// serve must decline with Decline, has not run.
func Handler(serve func(w http.ResponseWriter, r *http.Request, request *Request)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		request, err := readRequest(r)
		if err != nil {
			Decline(&responseWriter{ResponseWriter: w})
			return
		}
		serve(&responseWriter{ResponseWriter: w}, r, request)
	})
	return mux
}

// responseWriter keeps the header that declines a request out of all other responses. An upstream may send
// a header of that name, and its request has run.
type responseWriter struct {
	http.ResponseWriter
	declined, begun bool
}

func (w *responseWriter) WriteHeader(status int) {
	if !w.declined {
		w.Header().Del(declinedHeader)
	}
	w.Header().Set(checkedHeader, "1")
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Decline responds that the request has not run here, and that another daemon may run it. The writer is that
// which Handler has passed on.
func Decline(w http.ResponseWriter) {
	if own, ok := w.(*responseWriter); ok {
		own.declined = true
	}
	w.Header().Set(declinedHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

var errHead = errors.New("the length of the head is missing or out of range")

func readRequest(r *http.Request) (*Request, error) {
	length, err := strconv.Atoi(r.Header.Get(headLengthHeader))
	if err != nil || length <= 0 || length > maxHeadBytes || int64(length) > r.ContentLength || r.ContentLength > maxHeadBytes+maxBodyBytes {
		return nil, errHead
	}
	content := bytes.NewBuffer(make([]byte, 0, r.ContentLength+bytes.MinRead))
	if _, err := content.ReadFrom(r.Body); err != nil {
		return nil, fmt.Errorf("read a delegated request: %w", err)
	}
	if content.Len() < length {
		return nil, io.ErrUnexpectedEOF
	}
	request := &Request{}
	if err := cbor.Unmarshal(content.Next(length), request); err != nil {
		return nil, fmt.Errorf("decode a delegated request: %w", err)
	}
	request.Body = content.Bytes()
	return request, nil
}
