package framer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Dialer returns a function that opens connections with dial, as Conns. Nil means the standard dialer.
func Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &Conn{}
		c.Wrap(raw)
		return c, nil
	}
}

// Transport is an http.RoundTripper. The heads of its responses are valid, and their bodies end with io.EOF only if they are
// whole, or have ended in order with their connection.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that uses base, whose connections it checks from now on.
func NewTransport(base *http.Transport) *Transport {
	base.DialContext = Dialer(base.DialContext)
	return &Transport{base: base}
}

// RoundTrip makes one exchange. The error of a response with a malformed head is ErrMalformedHead, and the request may have
// been executed then.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, _ := info.Conn.(*Conn) // below TLS, the bytes of a connection are no head
		if c != nil {
			c.ExpectHead(nil)
		}
		conn.Store(c)
	}}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	check := CheckHead
	if c := conn.Load(); c != nil {
		check = c.CheckHead
	}
	if err := check(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// NewClient returns a client with the settings of http.DefaultClient and a Transport. A timeout of zero means none.
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone())}
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
