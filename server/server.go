// Package server is the HTTP interface for callers.
//
// Engine calls have the form that OpenAI-compatible clients send, streamed or
// not; calls of plain services are passed on by service, path, method and body.
// The server authenticates the caller, checks the whole request, bounds its
// deadline and hands it to a Conductor, which reserves, dispatches and settles.
// A request that fails a check is refused with the field, its value and what is
// allowed, before anything is reserved.
//
// Refusals are always truthful about whether the request ran. Before the first
// byte they are an HTTP error; inside a stream they are an error event, and the
// stream ends without [DONE].
//
//	s, err := server.New(server.Config{Conductor: c, Recorder: rec})
//	if err != nil {
//		return err
//	}
//	s.SetReady(true)
//	go s.Serve(ctx, listener)
//	...
//	s.SetReady(false) // the balancer sends no more callers
//	err = s.Drain(ctx) // running requests end in their own time
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
	defaultMaxBodyBytes   = 4 << 20  // bytes
	defaultMaxHeaderBytes = 32 << 10 // bytes
	defaultTimeout        = 2 * time.Minute
	defaultMaxTimeout     = 15 * time.Minute
	defaultOutput         = contractor.Tokens(1024)
	defaultMaxOutput      = contractor.Tokens(1 << 20)
	defaultBodyTimeout    = 30 * time.Second
	defaultWriteTimeout   = 30 * time.Second
	readHeaderTimeout     = 10 * time.Second
	idleTimeout           = 2 * time.Minute
	// drainPollInterval is the interval at which Drain looks for running requests.
	drainPollInterval = 10 * time.Millisecond
)

// Conductor runs checked requests. Errors are *refuser.Refusal, which the server
// counts, so that a Conductor counts none.
type Conductor interface {
	// Authenticate finds the contract that a bearer key belongs to.
	Authenticate(ctx context.Context, bearer string) (conductor.Identity, error)
	// Complete runs an engine call and passes its chunks to sink.
	Complete(ctx context.Context, c *conductor.Completion, sink conductor.Sink) (conductor.Usage, error)
	// Call runs a call of a plain service.
	Call(ctx context.Context, c *conductor.ServiceCall) (*conductor.Response, error)
	// Models returns the models that the caller may use.
	Models(ctx context.Context, id conductor.Identity) []string
}

// Config configures a Server. Zero fields other than Conductor have defaults.
type Config struct {
	Conductor Conductor
	Recorder  *recorder.Recorder
	// MaxBodyBytes is the size of the largest request body in bytes.
	MaxBodyBytes int64
	// MaxHeaderBytes is the size of the largest request header in bytes.
	MaxHeaderBytes int
	// DefaultTimeout bounds requests whose caller names no deadline.
	DefaultTimeout time.Duration
	// MaxTimeout is the longest deadline that a caller may name.
	MaxTimeout time.Duration
	// DefaultOutput is the output that is permitted when the caller names none.
	DefaultOutput contractor.Tokens
	// MaxOutput is the largest output that a caller may name.
	MaxOutput contractor.Tokens
	// BodyTimeout bounds the time that a caller takes to send the body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time for which a caller takes no data.
	WriteTimeout time.Duration
	// TLS makes Serve accept TLS only. It may be nil.
	TLS *tls.Config
}

func (c *Config) check() error {
	if c.Conductor == nil {
		return errors.New("server: Config.Conductor is nil")
	}
	if c.DefaultTimeout > 0 && c.MaxTimeout > 0 && c.DefaultTimeout > c.MaxTimeout {
		return errors.Errorf("server: default deadline %s exceeds the longest deadline %s", c.DefaultTimeout, c.MaxTimeout)
	}
	if c.DefaultOutput > 0 && c.MaxOutput > 0 && c.DefaultOutput > c.MaxOutput {
		return errors.Errorf("server: default output %d exceeds the largest output %d", c.DefaultOutput, c.MaxOutput)
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

// Server answers callers.
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

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler { return s.handler }

// SetReady tells the balancer whether to send callers.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Running returns the number of requests in progress.
func (s *Server) Running() int64 { return s.running.Load() }

// Serve accepts connections until Drain or the end of ctx, which cuts off
// running requests.
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

// Drain refuses new requests, waits for the running ones and closes the
// listeners. It returns ctx's error when requests still run at its end.
func (s *Server) Drain(ctx context.Context) error {
	s.SetReady(false)
	s.draining.Store(true)
	err := s.http.Shutdown(ctx)
	if err != nil {
		return errors.Wrapf(err, "drain with %d requests running", s.running.Load())
	}
	return s.waitIdle(ctx)
}

// waitIdle waits for requests that came in through Handler alone.
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
