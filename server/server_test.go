package server_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/emulator"
	"laburnumline/recorder"
	"laburnumline/refuser"
	"laburnumline/server"
)

const bearer = "loft-key"

// fakeConductor is a Conductor that reserves nothing and calls one engine and one service.
type fakeConductor struct {
	dispatcher *dispatcher.Dispatcher
	engine     contractor.Upstream
	service    contractor.Upstream
	last       atomic.Pointer[conductor.Completion]
	err        error
	attempts   int
}

func (f *fakeConductor) Authenticate(_ context.Context, key string) (conductor.Identity, error) {
	if key != bearer {
		return conductor.Identity{}, refuser.New(refuser.Unauthorized, "authenticate")
	}
	return conductor.Identity{Contract: &contractor.Contract{Account: "loft-7"}}, nil
}

func (f *fakeConductor) Complete(ctx context.Context, c *conductor.Completion, sink conductor.Sink) (conductor.Usage, error) {
	f.last.Store(c)
	if f.err != nil {
		return conductor.Usage{}, f.err
	}
	tracked := &offsetSink{Sink: sink}
	for attempt := 1; ; attempt++ {
		used, err := f.attempt(ctx, c, tracked, attempt)
		if err == nil || attempt >= f.attempts || tracked.disconnected {
			return used, err
		}
	}
}

func (f *fakeConductor) attempt(ctx context.Context, c *conductor.Completion, sink *offsetSink, attempt int) (conductor.Usage, error) {
	stream, err := f.dispatcher.CallEngine(ctx, dispatcher.EngineCall{
		Upstream: f.engine, Key: c.Key, Attempt: attempt, Body: c.Body, ResumeOffset: sink.next,
		PromptTokens: c.PromptTokens, MaxOutput: c.MaxOutput, Priority: c.Priority,
	})
	if err != nil {
		return conductor.Usage{}, refusalOf(err)
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if err == io.EOF {
			return stream.Usage(), nil
		}
		if err != nil {
			return stream.Usage(), refusalOf(err)
		}
		if err := sink.WriteChunk(chunk); err != nil {
			return stream.Usage(), refuser.New(refuser.Cancelled, "pass").WithPossibleExecution().WithCause(err)
		}
	}
}

// offsetSink records the offset at which a broken stream is resumed, and whether the caller
// has disconnected.
type offsetSink struct {
	conductor.Sink
	next         contractor.Tokens
	disconnected bool
}

func (s *offsetSink) WriteChunk(c conductor.Chunk) error {
	s.next = c.Offset + c.Tokens
	err := s.Sink.WriteChunk(c)
	s.disconnected = err != nil
	return err
}

func refusalOf(err error) error {
	var f *dispatcher.Failure
	if errors.As(err, &f) && f.Phase == dispatcher.NotSent {
		return refuser.New(refuser.UpstreamFailed, f.Step).WithCause(err).WithRetryAfter(time.Second)
	}
	return refuser.New(refuser.StreamBroken, "stream").WithPossibleExecution().WithCause(err)
}

func (f *fakeConductor) Call(ctx context.Context, c *conductor.ServiceCall) (*conductor.Response, error) {
	response, err := f.dispatcher.CallService(ctx, f.service, c, 1)
	if err != nil {
		return nil, refuser.New(refuser.OutcomeUnknown, "call").WithPossibleExecution().WithCause(err)
	}
	return response, nil
}

func (f *fakeConductor) Models(context.Context, conductor.Identity) []string {
	return []string{"quote-model"}
}

// fixture is a server in front of one emulated engine and one emulated plain service.
type fixture struct {
	*fakeConductor
	url             string
	server          *server.Server
	emulatedEngine  *emulator.Engine
	emulatedService *emulator.Service
	recorder        *recorder.Recorder
	client          *http.Client
}

func newFixture(t testing.TB, engineConfig emulator.EngineConfig, serverConfig server.Config) *fixture {
	f := &fixture{emulatedEngine: emulator.NewEngine(engineConfig), emulatedService: emulator.NewService(emulator.ServiceConfig{}), recorder: recorder.New()}
	engineURL, err := f.emulatedEngine.Serve()
	require.NoError(t, err)
	serviceURL, err := f.emulatedService.Serve()
	require.NoError(t, err)
	f.fakeConductor = &fakeConductor{
		dispatcher: dispatcher.New(dispatcher.Config{Recorder: f.recorder}),
		engine:     contractor.Upstream{Name: "engine-1", URL: engineURL},
		service:    contractor.Upstream{Name: "desk-1", Kind: contractor.KindService, URL: serviceURL},
	}
	serverConfig.Conductor, serverConfig.Recorder = f.fakeConductor, f.recorder
	f.server, err = server.New(serverConfig)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { served <- f.server.Serve(ctx, listener) }()
	f.url = "http://" + listener.Addr().String()
	f.client = &http.Client{Transport: &http.Transport{}}
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-served)
		f.client.CloseIdleConnections()
		require.NoError(t, f.emulatedEngine.Close())
		require.NoError(t, f.emulatedService.Close())
		f.dispatcher.Close()
	})
	return f
}

type response struct {
	status int
	header http.Header
	body   string
	proto  string
}

func (f *fixture) send(t testing.TB, method, path, body string, headers ...string) response {
	req, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+bearer)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return response{resp.StatusCode, resp.Header, string(raw), resp.Proto}
}

const completions = "/v1/chat/completions"

func chatBody(messages, otherMembers string) string {
	return `{"model":"quote-model","messages":` + messages + otherMembers + `}`
}

const userMessages = `[{"role":"user","content":"Draft a trawl"}]`

type streamEvent struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Ran    string `json:"ran"`
		Reason string `json:"reason"`
	} `json:"error"`
}

func parseEvents(t testing.TB, body string) (list []streamEvent, done bool) {
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			require.Empty(t, lines.Text())
			continue
		}
		if data == "[DONE]" {
			return list, true
		}
		var e streamEvent
		require.NoError(t, json.Unmarshal([]byte(data), &e), data)
		list = append(list, e)
	}
	return list, false
}

func joinText(list []streamEvent) string {
	var b strings.Builder
	for _, e := range list {
		for _, c := range e.Choices {
			b.WriteString(c.Delta.Content)
		}
	}
	return b.String()
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against lost content, usage, request identification or forwarded members of a
// streamed completion.
func TestStreamedCompletion(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{})
	want, tokens := emulator.EngineConfig{}.ExpectedOutput("quote-model", []byte(userMessages), 1024)
	r := f.send(t, "POST", completions, chatBody(userMessages, `,"stream":true,"stream_options":{"include_usage":true},"user":"c<1>"`),
		"Idempotency-Key", "draft 1")
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, "text/event-stream", r.header.Get("Content-Type"))
	require.Equal(t, "draft 1", r.header.Get("Idempotency-Key"))
	list, done := parseEvents(t, r.body)
	require.True(t, done)
	require.Equal(t, want, joinText(list))
	key := contractor.NewRequestKey("loft-7", "draft 1").String()
	require.Equal(t, key, r.header.Get("X-Request-Id"))
	for _, e := range list {
		require.Equal(t, key, e.ID)
	}
	last := list[len(list)-1]
	require.Empty(t, last.Choices)
	require.Equal(t, tokens, last.Usage.Completion)
	require.Contains(t, string(f.last.Load().Body), `"user":"c<1>"`)
	require.True(t, f.last.Load().HasIdempotencyKey)
}

// Guards against a usage chunk, which has no choices, in streams of callers that did not
// set include_usage. The server always requests it from the engine.
func TestUsageIsSentOnlyWhenRequested(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{})
	r := f.send(t, "POST", completions, chatBody(userMessages, `,"stream":true`))
	list, done := parseEvents(t, r.body)
	require.True(t, done)
	for _, e := range list {
		require.Nil(t, e.Usage)
		require.NotEmpty(t, e.Choices)
	}
}

// Guards against an unstreamed completion that differs from the joined chunks of the
// engine's stream, or ignores max_completion_tokens.
func TestUnstreamedCompletion(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{})
	want, _ := emulator.EngineConfig{}.ExpectedOutput("quote-model", []byte(userMessages), 5)
	r := f.send(t, "POST", completions, chatBody(userMessages, `,"max_completion_tokens":5`))
	require.Equal(t, http.StatusOK, r.status, r.body)
	var completion struct {
		Object  string
		Choices []struct {
			Message      struct{ Role, Content string }
			FinishReason string `json:"finish_reason"`
		}
		Usage struct {
			Completion int `json:"completion_tokens"`
		}
	}
	require.NoError(t, json.Unmarshal([]byte(r.body), &completion))
	require.Equal(t, "chat.completion", completion.Object)
	require.Equal(t, want, completion.Choices[0].Message.Content)
	require.Equal(t, "assistant", completion.Choices[0].Message.Role)
	require.Equal(t, "length", completion.Choices[0].FinishReason)
	require.Equal(t, 5, completion.Usage.Completion)
}

// Guards against a stream that looks complete after its engine has crashed, and against an
// error event that claims that the request was not executed.
func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{TokenInterval: 5 * time.Millisecond}, server.Config{})
	f.emulatedEngine.SetChunkTransform(func(chunk string) []string {
		if strings.Contains(chunk, `"offset":3,`) {
			f.emulatedEngine.Crash()
		}
		return []string{chunk}
	})
	r := f.send(t, "POST", completions, chatBody(userMessages, `,"stream":true`))
	require.Equal(t, http.StatusOK, r.status)
	list, done := parseEvents(t, r.body)
	require.False(t, done)
	last := list[len(list)-1]
	require.Equal(t, "stream_broken", last.Error.Reason)
	require.Equal(t, "unknown", last.Error.Ran)
}

// Guards against an engine that goes on generating output after the caller has closed its
// connection.
func TestCallerDisconnectCancelsEngineCall(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{TokenInterval: time.Millisecond, OutputTokens: 1 << 20}, server.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", f.url+completions, strings.NewReader(chatBody(userMessages, `,"stream":true,"max_tokens":1000000`)))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+bearer)
	resp, err := f.client.Do(req)
	require.NoError(t, err)
	_, err = resp.Body.Read(make([]byte, 10))
	require.NoError(t, err)
	cancel()
	_ = resp.Body.Close()
	require.Eventually(t, func() bool { return f.emulatedEngine.Stats().Cancelled == 1 && f.server.Running() == 0 },
		10*time.Second, 5*time.Millisecond)
}

// Guards against a caller that keeps its connection open but reads nothing, and so would
// occupy an engine without end.
func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{OutputTokens: 1 << 20}, server.Config{WriteTimeout: 100 * time.Millisecond})
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	body := chatBody(userMessages, `,"stream":true,"max_tokens":1000000`)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", completions, bearer, len(body), body)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.emulatedEngine.Stats().Cancelled == 1 && f.server.Running() == 0 },
		30*time.Second, 5*time.Millisecond)
}

// Guards against a response that fails because the connection's write deadline has already
// passed: on a connection that is reused after a pause, or between two chunks.
func TestReusedConnectionHasNoOldWriteDeadline(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{OutputTokens: 4, TokenInterval: 60 * time.Millisecond}, server.Config{WriteTimeout: 20 * time.Millisecond})
	for range 2 {
		list, done := parseEvents(t, f.send(t, "POST", completions, chatBody(userMessages, `,"stream":true`)).body)
		require.True(t, done, list)
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, http.StatusUnauthorized, f.send(t, "GET", "/v1/models", "", "Authorization", "").status)
	}
}

// Guards against a time-out of the caller that does not cancel the engine call, and against
// a refusal that claims that the request was not executed.
func TestCallerTimeout(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{TokenInterval: time.Hour}, server.Config{})
	r := f.send(t, "POST", completions, chatBody(userMessages, ""), "X-Request-Timeout", "50ms")
	require.GreaterOrEqual(t, r.status, 500)
	require.Contains(t, r.body, `"ran":"unknown"`)
	require.Eventually(t, func() bool { return f.emulatedEngine.Running() == 0 }, 10*time.Second, 5*time.Millisecond)
}

// Guards against a changed path encoding or method of a service call, an effect that is not
// recorded under its request key, and a lost response that is reported as not executed.
func TestServiceCall(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{})
	r := f.send(t, "POST", "/v1/services/order-desk/orders%2Fnew?loft=7", `{"net":1}`, "Idempotency-Key", "o-1", "X-Secret", "no")
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Contains(t, r.body, `"path":"/orders%2Fnew?loft=7"`)
	require.Contains(t, r.body, `"method":"POST"`)
	require.Equal(t, 1, f.emulatedService.Effects(contractor.NewRequestKey("loft-7", "o-1").String()))
	f.emulatedService.Inject(emulator.DropResponse)
	r = f.send(t, "POST", "/v1/services/order-desk/orders", `{}`)
	require.Equal(t, http.StatusConflict, r.status)
	require.Equal(t, "application/problem+json", r.header.Get("Content-Type"))
	require.Contains(t, r.body, `"ran":"unknown"`)
}

// Guards against a list of models that differs from the format of the OpenAI API.
func TestModels(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{})
	r := f.send(t, "GET", "/v1/models", "")
	require.JSONEq(t, `{"object":"list","data":[{"id":"quote-model","object":"model","created":0,"owned_by":"laburnumline"}]}`, r.body)
}

// Guards against a planned stop that interrupts a stream in flight or accepts new requests.
func TestReadinessAndDrain(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{TokenInterval: 2 * time.Millisecond, OutputTokens: 50}, server.Config{})
	require.Equal(t, http.StatusServiceUnavailable, f.send(t, "GET", "/readyz", "").status)
	f.server.SetReady(true)
	require.Equal(t, http.StatusOK, f.send(t, "GET", "/readyz", "").status)
	require.Equal(t, http.StatusOK, f.send(t, "GET", "/healthz", "").status)
	responses := make(chan response)
	go func() { responses <- f.send(t, "POST", completions, chatBody(userMessages, `,"stream":true`)) }()
	require.Eventually(t, func() bool { return f.emulatedEngine.Running() == 1 }, 10*time.Second, time.Millisecond)
	drained := make(chan error)
	go func() { drained <- f.server.Drain(context.Background()) }()
	_, done := parseEvents(t, (<-responses).body)
	require.True(t, done)
	require.NoError(t, <-drained)
	w := httptest.NewRecorder()
	f.server.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/v1/models", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Contains(t, w.Body.String(), `"reason":"stopping"`)
}
