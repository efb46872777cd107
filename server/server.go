// Package server is the HTTP interface for callers.
//
// Callers send two kinds of requests. Chat completions are calls of an inference
// engine in the format of the OpenAI API, streamed as server-sent events or not.
// Calls of plain services are forwarded with their service, path, method, body and
// a list of headers.
//
// The server authenticates the caller, validates the complete request and sets its
// deadline. Then it passes the request to a Conductor, which reserves budget,
// dispatches the request to an upstream and settles the cost. An invalid request is
// refused before anything is reserved, with the field, its value and what is allowed.
//
// Each refusal says whether the request was executed. Before the first byte of a
// response a refusal is an HTTP error. Within a stream it is an error event, after
// which the stream ends without [DONE].
//
//	s, err := server.New(server.Config{Conductor: c, Recorder: rec})
//	if err != nil {
//		return err
//	}
//	s.SetReady(true)
//	go s.Serve(ctx, listener)
//	...
//	s.SetReady(false) // the load balancer sends no new requests
//	err = s.Drain(ctx) // waits for the requests in flight
package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-faster/errors"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/recorder"
)

const (
	defaultMaxBodyBytes   = 4 << 20
	defaultMaxHeaderBytes = 32 << 10
	defaultTimeout        = 2 * time.Minute
	defaultMaxTimeout     = 15 * time.Minute
	defaultOutput         = contractor.Tokens(1024)
	defaultMaxOutput      = contractor.Tokens(1 << 20)
	defaultBodyTimeout    = 30 * time.Second
	defaultWriteTimeout   = 30 * time.Second
	readHeaderTimeout     = 10 * time.Second
	idleTimeout           = 2 * time.Minute
	// drainPollInterval is the interval at which Drain checks for requests in flight.
	drainPollInterval = 10 * time.Millisecond
)

// Conductor runs validated requests. Its errors are *refuser.Refusal. The server counts
// all refusals; a Conductor must not count them again.
type Conductor interface {
	// Authenticate finds the contract that a bearer key belongs to.
	Authenticate(ctx context.Context, bearer string) (conductor.Identity, error)
	// Complete runs an engine call and writes its chunks to sink.
	Complete(ctx context.Context, c *conductor.Completion, sink conductor.Sink) (conductor.Usage, error)
	// Call calls a plain service.
	Call(ctx context.Context, c *conductor.ServiceCall) (*conductor.Response, error)
	// Models returns the names of the models that the caller may use.
	Models(ctx context.Context, id conductor.Identity) []string
}

// Config configures a Server. Fields other than Conductor have defaults.
type Config struct {
	Conductor Conductor
	Recorder  *recorder.Recorder
	// MaxBodyBytes is the size of the largest request body in bytes.
	MaxBodyBytes int64
	// MaxHeaderBytes is the size of the largest request header in bytes.
	MaxHeaderBytes int
	// DefaultTimeout is the time-out of requests that set none.
	DefaultTimeout time.Duration
	// MaxTimeout is the longest time-out that a request may set.
	MaxTimeout time.Duration
	// DefaultOutput is the max_tokens of requests that set none.
	DefaultOutput contractor.Tokens
	// MaxOutput is the largest max_tokens that a request may set.
	MaxOutput contractor.Tokens
	// BodyTimeout is the longest time in which a caller may send the body.
	BodyTimeout time.Duration
	// WriteTimeout is the longest time for which a caller may accept no data.
	WriteTimeout time.Duration
	// TLS makes Serve accept TLS only. It may be nil.
	TLS *tls.Config
}

func (c *Config) check() error {
	if c.Conductor == nil {
		return errors.New("server: Config.Conductor is nil")
	}
	if c.DefaultTimeout > 0 && c.MaxTimeout > 0 && c.DefaultTimeout > c.MaxTimeout {
		return errors.Errorf("server: default time-out %s exceeds the maximum time-out %s", c.DefaultTimeout, c.MaxTimeout)
	}
	if c.DefaultOutput > 0 && c.MaxOutput > 0 && c.DefaultOutput > c.MaxOutput {
		return errors.Errorf("server: default output %d exceeds the maximum output %d", c.DefaultOutput, c.MaxOutput)
	}
	return nil
}

func (c *Config) setDefaults() {
	if c.MaxBodyBytes <= 0 {
		c.MaxBodyBytes = defaultMaxBodyBytes
	}
	if c.MaxHeaderBytes <= 0 {
		c.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if c.MaxTimeout <= 0 {
		c.MaxTimeout = max(defaultMaxTimeout, c.DefaultTimeout)
	}
	if c.DefaultTimeout <= 0 {
		c.DefaultTimeout = min(defaultTimeout, c.MaxTimeout)
	}
	if c.MaxOutput <= 0 {
		c.MaxOutput = max(defaultMaxOutput, c.DefaultOutput)
	}
	if c.DefaultOutput <= 0 {
		c.DefaultOutput = min(defaultOutput, c.MaxOutput)
	}
	if c.BodyTimeout <= 0 {
		c.BodyTimeout = defaultBodyTimeout
	}
	if c.WriteTimeout <= 0 {
		c.WriteTimeout = defaultWriteTimeout
	}
}

// Server serves callers.
type Server struct {
	config   Config
	handler  http.Handler
	http     *http.Server
	ready    atomic.Bool
	draining atomic.Bool
	running  atomic.Int64
}

// New returns a server that is not ready yet.
func New(c Config) (*Server, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	c.setDefaults()
	s := &Server{config: c}
	s.handler = s.routes()
	s.http = &http.Server{
		Handler:           s.handler,
		TLSConfig:         c.TLS,
		MaxHeaderBytes:    c.MaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          c.Recorder.HTTPErrorLog("callers"),
	}
	return s, nil
}

// Handler returns the HTTP handler of all paths.
func (s *Server) Handler() http.Handler { return s.handler }

// SetReady sets the response of /readyz, which tells the load balancer whether to send
// requests to this daemon.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Running returns the number of requests in flight.
func (s *Server) Running() int64 { return s.running.Load() }

// Serve accepts connections until Drain is called or ctx ends. The end of ctx also
// closes the connections of requests in flight.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	err := s.accept(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve callers at %s", l.Addr())
}

func (s *Server) accept(l net.Listener) error {
	if s.config.TLS == nil {
		return s.http.Serve(l)
	}
	return s.http.ServeTLS(l, "", "")
}

// Drain refuses new requests, closes the listeners and waits for the requests in flight.
// It returns ctx's error if requests are still in flight when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.SetReady(false)
	s.draining.Store(true)
	err := s.http.Shutdown(ctx)
	if err != nil {
		return errors.Wrapf(err, "drain with %d requests running", s.running.Load())
	}
	return s.waitIdle(ctx)
}

// waitIdle waits for requests that arrived through Handler, without Serve.
func (s *Server) waitIdle(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.running.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "drain with %d requests running", s.running.Load())
		}
	}
	return nil
}

func (s *Server) routes() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", s.health)
	r.Get("/readyz", s.readiness)
	r.Post(completionsPath, s.engineHandler(s.complete))
	r.Get("/v1/models", s.engineHandler(s.models))
	r.HandleFunc("/v1/services/{service}", s.serviceHandler(s.service))
	r.HandleFunc("/v1/services/{service}/*", s.serviceHandler(s.service))
	r.NotFound(s.unknownPath)
	r.MethodNotAllowed(s.unknownMethod)
	return r
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok\n") }

func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		writeText(w, http.StatusServiceUnavailable, "not ready\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}
