// Package dispatcher is the HTTP client for upstreams: model engines and plain
// services.
//
// A call succeeds or ends with a *Failure, whose phase says how far it got:
// NotSent, NoResponse or PartialResponse. The phase decides whether the call
// may be retried. It is derived from the bytes written to the connection and
// not from the text of an error. The dispatcher itself never retries a call.
//
// Every call carries X-Request-Id with the request's key and the attempt's
// number. An engine returns it as the ID of each chunk. A chunk with the ID of
// another request or attempt is dropped and counted. Chunks also carry the
// offset of their first output token. With it, duplicates are dropped, missing
// tokens end the attempt, and a broken stream can be resumed at another engine
// with X-Resume-Offset. An overloaded upstream states the requests per second that it accepts
// from all daemons in X-Request-Limit (package throttler).
//
//	stream, err := d.CallEngine(ctx, dispatcher.EngineCall{Upstream: u, Key: key, Attempt: 1, Body: body, MaxOutput: 256})
//	if err != nil {
//		return err
//	}
//	defer stream.Close() // cancels the call unless it is complete
//	for {
//		chunk, err := stream.Next()
//		if err == io.EOF {
//			return settle(stream.Usage())
//		}
//		...
//	}
//
// Of a chunk, only the fields needed for these checks are decoded. The rest is
// passed on unchanged.
package dispatcher

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"laburnumline/framer"
	"laburnumline/recorder"
	"laburnumline/throttler"
)

const (
	defaultDialTimeout         = time.Second
	defaultStallTimeout        = 60 * time.Second
	defaultIdleConnTimeout     = 60 * time.Second
	defaultMaxIdleConnsPerHost = 512
	defaultMaxResponseBytes    = 4 << 20
	defaultMaxChunkBytes       = 1 << 20
	maxResponseHeaderBytes     = 64 << 10
)

// Config configures a Dispatcher. Zero fields have defaults.
type Config struct {
	Recorder *recorder.Recorder
	// DialTimeout is the timeout for connecting and for the TLS handshake.
	DialTimeout time.Duration
	// StallTimeout is the timeout for an upstream that sends no data. A stalled
	// call fails after one to two times this duration.
	StallTimeout time.Duration
	// IdleConnTimeout is how long an idle connection is kept.
	IdleConnTimeout time.Duration
	// MaxIdleConnsPerHost is the maximum number of idle connections kept per
	// upstream.
	MaxIdleConnsPerHost int
	// MaxResponseBytes is the maximum size of the response of a plain service.
	MaxResponseBytes int64
	// MaxChunkBytes is the maximum size of a chunk of an engine.
	MaxChunkBytes int
	// Limits records the request limits that upstreams state. Nil discards them.
	Limits Limits
	// TLS configures connections to https upstreams. It may be nil.
	TLS *tls.Config
}

func (c *Config) setDefaults() {
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.StallTimeout <= 0 {
		c.StallTimeout = defaultStallTimeout
	}
	if c.IdleConnTimeout <= 0 {
		c.IdleConnTimeout = defaultIdleConnTimeout
	}
	if c.MaxIdleConnsPerHost <= 0 {
		c.MaxIdleConnsPerHost = defaultMaxIdleConnsPerHost
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = defaultMaxResponseBytes
	}
	if c.MaxChunkBytes <= 0 {
		c.MaxChunkBytes = defaultMaxChunkBytes
	}
}

// Limits records the request limits that upstreams state.
type Limits interface {
	Record(id throttler.ID, r throttler.Response)
}

// Dispatcher calls upstreams. It is safe for concurrent use.
type Dispatcher struct {
	config Config
	// pooled reuses connections.
	pooled *framer.Transport
	// unpooled opens a new connection for each call. An upstream may close an
	// idle connection at the moment when a call is sent on it, which leaves the
	// call's outcome unknown.
	unpooled *framer.Transport
}

// New returns a dispatcher.
func New(c Config) *Dispatcher {
	c.setDefaults()
	return &Dispatcher{config: c, pooled: c.transport(false), unpooled: c.transport(true)}
}

// Close closes idle connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.unpooled.CloseIdleConnections()
}

// transport returns a transport for HTTP/1.1 only: a custom dial function
// disables HTTP/2.
func (c *Config) transport(newConnections bool) *framer.Transport {
	dialer := &net.Dialer{Timeout: c.DialTimeout}
	return framer.NewTransport(&http.Transport{
		DialContext:            countingDial(dialer),
		TLSClientConfig:        c.TLS,
		TLSHandshakeTimeout:    c.DialTimeout,
		MaxIdleConnsPerHost:    c.MaxIdleConnsPerHost,
		IdleConnTimeout:        c.IdleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableKeepAlives:      newConnections,
	})
}

func (d *Dispatcher) transportFor(newConnection bool) *framer.Transport {
	if newConnection {
		return d.unpooled
	}
	return d.pooled
}

// recordLimit records what a response says about the request limit of its upstream. A response
// to another call says nothing.
func (d *Dispatcher) recordLimit(resp *http.Response, id, upstream string, sentAt time.Time, attempt int) {
	if responseID := resp.Header.Get(HeaderRequestID); d.config.Limits == nil || responseID != "" && responseID != id {
		return
	}
	r := throttler.Response{Upstream: upstream, SentAt: sentAt, ReceivedAt: time.Now(), Retry: attempt > 1}
	if value := resp.Header.Get(HeaderRequestLimit); value != "" {
		r.Limit = throttler.Limit{Stated: true, Rate: throttler.ParseRate(value)}
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		r.Pause = throttler.ParsePause(resp.Header.Get("Retry-After"))
	}
	d.config.Limits.Record(throttler.IDOf(upstream, 0), r)
}
