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
	defaultMaxBody         = 4 << 20  // bytes
	defaultMaxHeader       = 32 << 10 // bytes
	defaultDeadline        = 2 * time.Minute
	defaultLongestDeadline = 15 * time.Minute
	defaultMaxOutput       = contractor.Tokens(1024)
	defaultMostOutput      = contractor.Tokens(1 << 20)
	defaultBodyTimeout     = 30 * time.Second
	defaultWriteTimeout    = 30 * time.Second
	headerTimeout          = 10 * time.Second
	idleTimeout            = 2 * time.Minute
	// drainPoll is the interval at which Drain looks for running requests.
	drainPoll = 10 * time.Millisecond
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
	// MaxBody is the size of the largest request body in bytes.
	MaxBody int64
	// MaxHeader is the size of the largest request header in bytes.
	MaxHeader int
	// DefaultDeadline bounds requests whose caller names no deadline.
	DefaultDeadline time.Duration
	// LongestDeadline is the longest deadline that a caller may name.
	LongestDeadline time.Duration
	// DefaultMaxOutput is the output that is permitted when the caller names none.
	DefaultMaxOutput contractor.Tokens
	// MostOutput is the largest output that a caller may name.
	MostOutput contractor.Tokens
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
	if c.DefaultDeadline > 0 && c.LongestDeadline > 0 && c.DefaultDeadline > c.LongestDeadline {
		return errors.Errorf("server: default deadline %s exceeds the longest deadline %s", c.DefaultDeadline, c.LongestDeadline)
	}
	if c.DefaultMaxOutput > 0 && c.MostOutput > 0 && c.DefaultMaxOutput > c.MostOutput {
		return errors.Errorf("server: default output %d exceeds the largest output %d", c.DefaultMaxOutput, c.MostOutput)
	}
	return nil
}

func (c *Config) setDefaults() {
	if c.MaxBody <= 0 {
		c.MaxBody = defaultMaxBody
	}
	if c.MaxHeader <= 0 {
		c.MaxHeader = defaultMaxHeader
	}
	if c.LongestDeadline <= 0 {
		c.LongestDeadline = max(defaultLongestDeadline, c.DefaultDeadline)
	}
	if c.DefaultDeadline <= 0 {
		c.DefaultDeadline = min(defaultDeadline, c.LongestDeadline)
	}
	if c.MostOutput <= 0 {
		c.MostOutput = max(defaultMostOutput, c.DefaultMaxOutput)
	}
	if c.DefaultMaxOutput <= 0 {
		c.DefaultMaxOutput = min(defaultMaxOutput, c.MostOutput)
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
		MaxHeaderBytes:    c.MaxHeader,
		ReadHeaderTimeout: headerTimeout,
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
	ticker := time.NewTicker(drainPoll)
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
	r.Post(completionsPath, s.engine(s.complete))
	r.Get("/v1/models", s.engine(s.models))
	r.HandleFunc("/v1/services/{service}", s.plain(s.service))
	r.HandleFunc("/v1/services/{service}/*", s.plain(s.service))
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
