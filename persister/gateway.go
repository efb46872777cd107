package persister

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"laburnumline/framer"
	"laburnumline/recorder"
)

const (
	defaultTimeout        = 2 * time.Second
	defaultMaxRateWait    = 250 * time.Millisecond
	defaultResolveTimeout = 10 * time.Second
	initialBackoff        = 20 * time.Millisecond
	maxBackoff            = 2 * time.Second
	maxIdleConnections    = 16
	idleTimeout           = 90 * time.Second
	keepAliveIdle         = 5 * time.Second
	keepAliveInterval     = 5 * time.Second
	keepAliveProbes       = 3
	maxResponseBytes      = 64 << 20
	maxHeaderBytes        = 64 << 10
)

// GatewayConfig holds the settings of a Gateway.
type GatewayConfig struct {
	// Endpoints are the addresses of the service. At least one is needed.
	Endpoints []netip.AddrPort
	// TLS is used for every connection. Nil means plain HTTP.
	TLS *tls.Config
	// Timeout limits one attempt at one endpoint. Zero means 2 s.
	Timeout time.Duration
	// ResolveTimeout limits one Commit, including the determination of the outcome
	// after a lost response. Zero means 10 s.
	ResolveTimeout time.Duration
	// ReadsPerSecond and WritesPerSecond are the daemon's own rate limits.
	// Zero means no limit.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// MaxRateWait is the maximum time that a call waits for the rate limit. Zero
	// means 250 ms.
	MaxRateWait time.Duration
	Recorder    *recorder.Recorder
}

// Gateway is a Store that calls the JSON gateway of etcd v3.
//
// Calls go to one endpoint until it fails, then to the next one. Every call
// counts against the daemon's rate limit and fails with ErrThrottled if the limit
// does not permit it within MaxRateWait and the deadline of the context.
type Gateway struct {
	client         *http.Client
	baseURLs       []string
	timeout        time.Duration
	resolveTimeout time.Duration
	maxRateWait    time.Duration
	reads          *rate.Limiter
	writes         *rate.Limiter
	recorder       *recorder.Recorder
	// failovers is the number of failovers so far. It selects the endpoint.
	failovers atomic.Uint64
}

var _ Store = (*Gateway)(nil)

// NewGateway returns a Gateway. It does not connect to the service.
func NewGateway(c GatewayConfig) (*Gateway, error) {
	if len(c.Endpoints) == 0 {
		return nil, errors.New("store: no endpoint is given")
	}
	scheme := "http://"
	if c.TLS != nil {
		scheme = "https://"
	}
	g := &Gateway{
		timeout:        orDefault(c.Timeout, defaultTimeout),
		resolveTimeout: orDefault(c.ResolveTimeout, defaultResolveTimeout),
		maxRateWait:    orDefault(c.MaxRateWait, defaultMaxRateWait),
		reads:          newLimiter(c.ReadsPerSecond),
		writes:         newLimiter(c.WritesPerSecond),
		recorder:       c.Recorder,
	}
	for _, e := range c.Endpoints {
		if !e.IsValid() {
			return nil, fmt.Errorf("store: endpoint %q is not an IP address and a port", e)
		}
		g.baseURLs = append(g.baseURLs, scheme+e.String())
	}
	g.client = &http.Client{Transport: framer.NewTransport(newTransport(c.TLS, g.timeout))}
	return g, nil
}

func newTransport(config *tls.Config, timeout time.Duration) *http.Transport {
	dialer := &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveProbes,
		},
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     config,
		TLSHandshakeTimeout: timeout,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close closes the idle connections.
func (g *Gateway) Close() { g.client.CloseIdleConnections() }

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// waitForRateLimit waits until the rate limit permits one more call, at most for
// maxRateWait.
func (g *Gateway) waitForRateLimit(ctx context.Context, limit *rate.Limiter) error {
	reservation := limit.Reserve()
	wait := reservation.Delay()
	if wait == 0 {
		return nil
	}
	deadline, limited := ctx.Deadline()
	if wait > g.maxRateWait || (limited && time.Until(deadline) < wait) {
		reservation.Cancel()
		g.recorder.Count("store.throttled", 1)
		return ErrThrottled
	}
	if err := sleep(ctx, wait); err != nil {
		reservation.Cancel()
		return fmt.Errorf("%w: %w", ErrThrottled, err)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
