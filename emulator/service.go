package emulator

import (
	"io"
	"net/http"
	"sync"
	"time"

	"laburnumline/dispatcher"
	"laburnumline/sleeper"
)

// ServiceFault is the fault that a Service injects into one call.
type ServiceFault uint8

const (
	// NoFault executes the call and responds.
	NoFault ServiceFault = iota
	// DropResponse closes the connection after the effect.
	DropResponse
	// DisconnectBefore closes the connection before the effect.
	DisconnectBefore
	// FailBefore responds with status 503 before the effect.
	FailBefore
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// Delay is the time that a call takes before its effect.
	Delay time.Duration
}

// Service is a fake service without idempotency of its own. It counts each call
// other than GET and HEAD as an effect of its idempotency key, also a repeated one.
type Service struct {
	loopbackServer
	mu      sync.Mutex
	delay   time.Duration
	faults  []ServiceFault
	effects map[string]int
	calls   int
}

// NewService returns a service.
func NewService(c ServiceConfig) *Service {
	return &Service{delay: c.Delay, effects: make(map[string]int)}
}

// Serve starts the service on a loopback address and returns its base URL.
func (s *Service) Serve() (string, error) { return s.serve(s) }

// Inject assigns one fault to each of the next calls, in order.
func (s *Service) Inject(faults ...ServiceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// SetDelay sets the time that a call takes before its effect.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Effects returns the number of effects of an idempotency key.
func (s *Service) Effects(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.effects[key]
}

// ServiceTotals holds the counters of a Service.
type ServiceTotals struct {
	Calls int
	// Effects is the number of effects of all keys.
	Effects int
	// Repeated is the number of effects beyond the first of a key.
	Repeated int
}

// Totals returns the counters since the start.
func (s *Service) Totals() ServiceTotals {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := ServiceTotals{Calls: s.calls}
	for _, n := range s.effects {
		t.Effects += n
		t.Repeated += n - 1
	}
	return t
}

type serviceResponse struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Effect int    `json:"effect"`
}

// ServeHTTP executes one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxEngineBody))
	if err != nil {
		return
	}
	delay, fault := s.begin()
	if sleeper.Sleep(r.Context(), delay) != nil {
		return
	}
	switch fault {
	case DisconnectBefore:
		panic(http.ErrAbortHandler)
	case FailBefore:
		http.Error(w, "try later", http.StatusServiceUnavailable)
		return
	}
	response := serviceResponse{Key: r.Header.Get(dispatcher.HeaderIdempotencyKey), Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)}
	response.Effect = s.applyEffect(r.Method, response.Key)
	if fault == DropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(dispatcher.HeaderRequestID, r.Header.Get(dispatcher.HeaderRequestID))
	writeJSON(w, response)
}

func (s *Service) begin() (time.Duration, ServiceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if len(s.faults) == 0 {
		return s.delay, NoFault
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return s.delay, fault
}

// applyEffect counts the effect of a call and returns the number of effects of its key.
func (s *Service) applyEffect(method, key string) int {
	if method == http.MethodGet || method == http.MethodHead {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects[key]++
	return s.effects[key]
}
