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
			Decline(w)
			return
		}
		serve(w, r, request)
	})
	return mux
}

// Decline responds that the request has not run here, and that another daemon may run it.
func Decline(w http.ResponseWriter) {
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
