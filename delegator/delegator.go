// Package delegator forwards requests through other daemons while this one reaches none of the
// upstreams of their service.
//
// A daemon may be partitioned from the upstreams while callers, the store and the other daemons
// reach it. It then sends requests to another daemon, which serves them as if they were of its own
// callers: it reserves their tokens, chooses upstreams, retries, and returns the response. A
// delegated request is not delegated again.
//
// The package has two parts. A Monitor finds out whether the upstreams of a service are reachable:
// failed connections to several of them make it probe some more, and while none of these accepts a
// connection, the service counts as unreachable. A Client sends requests to other daemons, and
// Handler serves those of others.
//
//	m := delegator.NewMonitor(delegator.MonitorConfig{Upstreams: list, Probe: probe})
//	c := delegator.NewClient(delegator.ClientConfig{Peers: peers, Dial: dial})
//	if !m.Reachable("quote-model") {
//		response, err := c.Send(ctx, request)
//		...
//	}
package delegator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/framer"
	"laburnumline/recorder"
)

const (
	// path is the URL path of delegated requests.
	path = "/delegate"
	// headLengthHeader has the length of the encoded Request that precedes the body.
	headLengthHeader = "Head-Length"
	// declinedHeader is set in the response of a daemon that has not run the request, because it
	// does not reach the upstreams either, is stopping, or has an older configuration.
	declinedHeader = "Declined"
	// checkedHeader is set in the response of a daemon that declines requests of daemons with a newer
	// configuration. Earlier releases do not set it.
	checkedHeader = "Version-Checked"
	// maxAttempts is the number of daemons that are tried for a request.
	maxAttempts = 4
	// declineBackoff is how long a daemon that has declined a request is skipped, failureBackoff one that
	// could not be reached.
	declineBackoff = 250 * time.Millisecond
	failureBackoff = time.Second
	// maxHeadBytes and maxBodyBytes limit a delegated request.
	maxHeadBytes = 1 << 20
	maxBodyBytes = 8 << 20
	// maxResponseHeaderBytes limits the header of a response, which contains that of the upstream.
	maxResponseHeaderBytes = 128 << 10
	// idleConnections is the number of connections that are kept to each daemon.
	idleConnections = 32
	idleTimeout     = 10 * time.Second
)

// Request is a request of a caller as it is sent to another daemon.
type Request struct {
	ID     string      `cbor:"id"`
	Method string      `cbor:"method"`
	Host   string      `cbor:"host"`
	Target string      `cbor:"target"`
	Header http.Header `cbor:"header"`
	Key    string      `cbor:"key"`
	// Version is that of the configuration by which this daemon has accepted the request. A daemon with an older one
	// declines the request.
	Version int64 `cbor:"version,omitempty"`
	// TimeRemaining is how long the caller still waits.
	TimeRemaining                 time.Duration `cbor:"time"`
	PromptTokens, MaxOutputTokens int64
	Parts                         []Part `cbor:"parts"`
	// Executions is how many upstreams may have run the request already.
	Executions int `cbor:"executions"`
	// Counted is true if this daemon has counted the request as a first attempt.
	Counted     bool   `cbor:"counted,omitempty"`
	ResumeAfter string `cbor:"after"`
	Resumes     string `cbor:"resumes"`
	Body        []byte `cbor:"-"` // follows the encoded fields
}

// Part is a part of a prompt.
type Part struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Tokens int64
}

var (
	// ErrDeclined means that no other daemon has run the request.
	ErrDeclined = errors.New("no other daemon reaches the upstreams")
	// ErrInterrupted means that another daemon may have run the request, and its response is lost.
	ErrInterrupted = errors.New("the response of another daemon is lost")
)

// ClientConfig holds what a Client needs.
type ClientConfig struct {
	// Peers returns the addresses at which other daemons serve delegated requests.
	Peers func() []netip.AddrPort
	// Dial opens connections. Nil means the standard dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Signed reports whether a header is that of an upstream's response. Nil means that all are.
	Signed   func(http.Header) bool
	Recorder *recorder.Recorder
	// Now returns the time. Nil means time.Now.
	Now func() time.Time
}

// Client sends requests to other daemons. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	client *http.Client

	mu sync.Mutex
	// skipped has the daemons that have failed or declined a request, and until when they are skipped.
	skipped map[netip.AddrPort]time.Time
}

// NewClient returns a Client. It makes no call.
func NewClient(c ClientConfig) *Client {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Signed == nil {
		c.Signed = func(http.Header) bool { return true }
	}
	return &Client{config: c, skipped: make(map[netip.AddrPort]time.Time), client: &http.Client{
		Transport: framer.NewTransport(&http.Transport{
			DialContext: c.Dial, DisableCompression: true, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}),
		// A redirect is the upstream's response, which the caller gets as it is.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Send sends a request to another daemon and returns its response, whose body the caller closes. It
// tries several daemons, as long as none can have run the request. The error is ErrDeclined or
// ErrInterrupted.
func (c *Client) Send(ctx context.Context, r *Request) (*http.Response, error) {
	head, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("%w: encode request %s: %w", ErrDeclined, r.ID, err)
	}
	deadline := c.config.Now().Add(r.TimeRemaining)
	cause := error(nil)
	for _, peer := range c.candidates() {
		if c.config.Now().After(deadline) || ctx.Err() != nil {
			break
		}
		var response *http.Response
		response, cause = c.sendTo(ctx, peer, r, head)
		switch {
		case cause == nil:
			return response, nil
		case !errors.Is(cause, ErrDeclined):
			c.skip(peer, failureBackoff)
			return nil, fmt.Errorf("daemon %s: %w", peer, cause)
		}
	}
	return nil, errors.Join(ErrDeclined, cause)
}

// candidates returns up to maxAttempts daemons in random order, first those that have not failed or
// declined lately.
func (c *Client) candidates() []netip.AddrPort {
	peers := c.config.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	now := c.config.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var usual, skipped []netip.AddrPort
	for _, p := range peers {
		if now.Before(c.skipped[p]) {
			skipped = append(skipped, p)
			continue
		}
		delete(c.skipped, p)
		usual = append(usual, p)
	}
	all := append(usual, skipped...)
	return all[:min(len(all), maxAttempts)]
}

func (c *Client) skip(peer netip.AddrPort, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skipped[peer] = c.config.Now().Add(d)
}

// sendTo sends a request to one daemon. The error is ErrDeclined if that daemon has not run it, and
// ErrInterrupted if it may have.
func (c *Client) sendTo(ctx context.Context, peer netip.AddrPort, r *Request, head []byte) (*http.Response, error) {
	sent := &sentBody{Reader: io.MultiReader(bytes.NewReader(head), bytes.NewReader(r.Body))}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.String()+path, sent)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDeclined, err)
	}
	request.ContentLength = int64(len(head) + len(r.Body))
	request.Header.Set(headLengthHeader, strconv.Itoa(len(head)))
	response, err := c.client.Do(request)
	switch {
	case err != nil && !sent.begun.Load():
		c.skip(peer, failureBackoff)
		return nil, fmt.Errorf("%w: %w", ErrDeclined, err)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrInterrupted, err)
	case response.Header.Get(declinedHeader) != "":
		response.Body.Close()
		c.skip(peer, declineBackoff)
		return nil, ErrDeclined
	}
	checked := response.Header.Get(checkedHeader) != ""
	response.Header.Del(checkedHeader)
	if !checked && deniedByConfiguration(response.StatusCode) && !c.config.Signed(response.Header) {
		response.Body.Close()
		c.skip(peer, declineBackoff)
		return nil, fmt.Errorf("%w: status %d by a configuration of unknown age", ErrDeclined, response.StatusCode)
	}
	return response, nil
}

// deniedByConfiguration reports whether a daemon refuses a request with this status because of its configuration, before
// any upstream runs it. The sending daemon has accepted the request by its own configuration.
func deniedByConfiguration(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}
