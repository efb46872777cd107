// Package dispatcher calls model engines and plain services over HTTP.
//
// A call either succeeds or ends with a *Failure that says how far it got:
// NotSent, NoAnswer or Partial. The difference decides whether the call may run
// again, so it is taken from the bytes that were written to the connection and
// not from the text of an error. The dispatcher never repeats a call by itself.
//
// Every call carries X-Request-Id with the request's key and the attempt's
// number. An engine repeats it as the id of each chunk; a chunk of another
// request or attempt is dropped and counted. Chunks also carry the offset of
// their first output token, so that a duplicate is dropped, a gap ends the
// attempt, and a broken stream can be resumed elsewhere with X-Resume-Offset.
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
// Only the few fields that the checks need are read from a chunk; the rest is
// passed on as it came.
package dispatcher

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"laburnumline/recorder"
)

const (
	defaultDialTimeout         = time.Second
	defaultStallTimeout        = 60 * time.Second
	defaultIdleConnTimeout     = 60 * time.Second
	defaultMaxIdleConnsPerHost = 512
	defaultMaxResponseBytes    = 4 << 20  // bytes
	defaultMaxChunkBytes       = 1 << 20  // bytes
	maxResponseHeaderBytes     = 64 << 10 // bytes
)

// Config configures a Dispatcher. Zero fields have defaults.
type Config struct {
	Recorder *recorder.Recorder
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// StallTimeout is the time after which a call whose upstream sends nothing
	// has failed. It fails after twice that time at the latest.
	StallTimeout time.Duration
	// IdleConnTimeout is the time that an unused connection is kept.
	IdleConnTimeout time.Duration
	// MaxIdleConnsPerHost is the number of unused connections kept for an upstream.
	MaxIdleConnsPerHost int
	// MaxResponseBytes is the size of the largest answer of a plain service in bytes.
	MaxResponseBytes int64
	// MaxChunkBytes is the size of the largest chunk of an engine in bytes.
	MaxChunkBytes int
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

// Dispatcher calls upstreams. It is safe for concurrent use.
type Dispatcher struct {
	config Config
	// pooled keeps connections for further calls.
	pooled *http.Transport
	// unpooled makes a new connection for each call, so that a connection which
	// the upstream has closed meanwhile cannot leave a call's outcome unknown.
	unpooled *http.Transport
}

// New returns a dispatcher.
func New(c Config) *Dispatcher {
	c.setDefaults()
	return &Dispatcher{config: c, pooled: c.transport(false), unpooled: c.transport(true)}
}

// Close closes the unused connections.
func (d *Dispatcher) Close() {
	d.pooled.CloseIdleConnections()
	d.unpooled.CloseIdleConnections()
}

// transport speaks HTTP/1.1 only: a custom dial function turns HTTP/2 off.
func (c *Config) transport(newConnections bool) *http.Transport {
	dialer := &net.Dialer{Timeout: c.DialTimeout}
	return &http.Transport{
		DialContext:            countingDial(dialer),
		TLSClientConfig:        c.TLS,
		TLSHandshakeTimeout:    c.DialTimeout,
		MaxIdleConnsPerHost:    c.MaxIdleConnsPerHost,
		IdleConnTimeout:        c.IdleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		DisableKeepAlives:      newConnections,
	}
}

func (d *Dispatcher) transportFor(newConnection bool) *http.Transport {
	if newConnection {
		return d.unpooled
	}
	return d.pooled
}
