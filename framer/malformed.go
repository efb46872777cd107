package framer

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformedHead is the error of a response whose head is not one of HTTP. What its fields say is not known then, nor where
// its body ends.
var ErrMalformedHead = errors.New("malformed response head")

const (
	minStatus = 100
	maxStatus = 599
)

// IsInterim reports whether a response with this status has no body and precedes the response to the same request. Status
// 101 ends HTTP on the connection, which no request asks for.
func IsInterim(status int) bool {
	return status >= minStatus && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckHead returns ErrMalformedHead if the head of a final response is not valid though net/http has read it.
func CheckHead(r *http.Response) error {
	if r.StatusCode < http.StatusOK || r.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformedHead, r.StatusCode)
	}
	return nil
}
