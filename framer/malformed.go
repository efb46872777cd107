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

// CheckHead returns ErrMalformedHead if the head of a final response is not valid though net/http has read it. That is so of
// any status with three digits, and of a blank in the name of a field, which it keeps in the name: a length or an encoding
// of that name is unknown to it, and the body then ends elsewhere.
func CheckHead(r *http.Response) error {
	if r.StatusCode < http.StatusOK || r.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformedHead, r.StatusCode)
	}
	for name := range r.Header {
		if !isToken(name) {
			return fmt.Errorf("%w: field name %.80q", ErrMalformedHead, name)
		}
	}
	return nil
}

// isToken reports whether the name of a field has only characters that RFC 9110 allows there.
func isToken(name string) bool {
	for i := range len(name) {
		if !tokenCharacters[name[i]] {
			return false
		}
	}
	return name != ""
}

var tokenCharacters = func() (table [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		table[c] = true
	}
	return table
}()
