package server_test

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/refuser"
	"laburnumline/server"
)

// Guards against invalid requests that reach an upstream, and against refusals that do not
// name the invalid field, its value or what is allowed.
func TestInvalidInputIsRefusedBeforeDispatch(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{MaxBodyBytes: 2000, MaxOutput: 100, DefaultOutput: 50, MaxTimeout: time.Minute})
	chat := func(body string, headers ...string) func() response {
		return func() response { return f.send(t, "POST", completions, body, headers...) }
	}
	plain := func(method, path string) func() response {
		return func() response { return f.send(t, method, path, "") }
	}
	tests := []struct {
		name     string
		send     func() response
		status   int
		contains []string
	}{
		{"no key", chat("{}", "Authorization", ""), 401, []string{"Authorization"}},
		{"wrong scheme", chat("{}", "Authorization", "Basic abc"), 401, []string{"Bearer"}},
		{"unknown key", chat("{}", "Authorization", "Bearer other"), 401, []string{"unauthorized"}},
		{"no JSON", chat("hello"), 400, []string{"body", "hello", "a JSON object"}},
		{"null", chat("null"), 400, []string{"body", "a JSON object"}},
		{"list", chat("[]"), 400, []string{"body", "a JSON object"}},
		{"two objects", chat("{}{}"), 400, []string{"body"}},
		{"no model", chat(`{"messages":` + userMessages + `}`), 400, []string{"model is", "1 to 256"}},
		{"number as model", chat(`{"model":7,"messages":` + userMessages + `}`), 400, []string{"model", "7", "string"}},
		{"no messages", chat(`{"model":"m"}`), 400, []string{"messages", "1 to 10000"}},
		{"empty messages", chat(chatBody("[]", "")), 400, []string{"messages", "[]"}},
		{"message without role", chat(chatBody(`[{"content":"a"}]`, "")), 400, []string{"messages[0].role"}},
		{"message is a string", chat(chatBody(`["a"]`, "")), 400, []string{"messages[0]", "an object"}},
		{"content is a number", chat(chatBody(`[{"role":"user","content":5}]`, "")), 400, []string{"messages[0].content", "5"}},
		{"image", chat(chatBody(`[{"role":"user","content":[{"type":"text","text":"a"},{"type":"image_url"}]}]`, "")), 400, []string{"messages[0].content[1].type", "image_url", "text"}},
		{"image hidden by a second content member", chat(chatBody(`[{"role":"user","content":[{"type":"image_url"}],"Content":"a"}]`, "")), 400, []string{"messages[0].content[0].type", "image_url"}},
		{"template", chat(chatBody(userMessages, `,"chat_template":"{{a}}"`)), 400, []string{"chat_template"}},
		{"output too large", chat(chatBody(userMessages, `,"max_tokens":101`)), 400, []string{"max_tokens", "101", "1 to 100"}},
		{"output zero", chat(chatBody(userMessages, `,"max_completion_tokens":0`)), 400, []string{"max_completion_tokens", "0", "1 to 100"}},
		{"output negative", chat(chatBody(userMessages, `,"max_tokens":-1`)), 400, []string{"max_tokens", "-1"}},
		{"output fraction", chat(chatBody(userMessages, `,"max_tokens":1.5`)), 400, []string{"max_tokens", "1.5"}},
		{"larger output first", chat(chatBody(userMessages, `,"max_tokens":1000,"max_completion_tokens":10`)), 400, []string{"max_tokens", "1000"}},
		{"two choices", chat(chatBody(userMessages, `,"n":2`)), 400, []string{"n is", "2", "1"}},
		{"best of two", chat(chatBody(userMessages, `,"best_of":2`)), 400, []string{"best_of", "2"}},
		{"stream is a string", chat(chatBody(userMessages, `,"stream":"yes"`)), 400, []string{"stream", "yes", "true or false"}},
		{"options without stream", chat(chatBody(userMessages, `,"stream_options":{"include_usage":true}`)), 400, []string{"stream_options"}},
		{"priority", chat(chatBody(userMessages, `,"priority":10`)), 400, []string{"priority", "10", "0", "9"}},
		{"timeout without unit", chat(chatBody(userMessages, ""), "X-Request-Timeout", "30"), 400, []string{"X-Request-Timeout", "30", "30s"}},
		{"timeout too long", chat(chatBody(userMessages, ""), "X-Request-Timeout", "2m"), 400, []string{"X-Request-Timeout", "2m", "1m0s"}},
		{"timeout negative", chat(chatBody(userMessages, ""), "X-Request-Timeout", "-1s"), 400, []string{"X-Request-Timeout", "-1s"}},
		{"minimum output above max_tokens", chat(chatBody(userMessages, ""), "X-Least-Output", "51"), 400, []string{"X-Least-Output", "51", "50"}},
		{"long key", chat(chatBody(userMessages, ""), "Idempotency-Key", strings.Repeat("k", 256)), 400, []string{"Idempotency-Key", "1 to 255"}},
		{"key with an umlaut", chat(chatBody(userMessages, ""), "Idempotency-Key", "ä"), 400, []string{"Idempotency-Key", "printable"}},
		{"empty key", chat(chatBody(userMessages, ""), "Idempotency-Key", ""), 400, []string{"Idempotency-Key"}},
		{"long body", chat(strings.Repeat("x", 2001)), 413, []string{"2000 bytes"}},
		{"unknown path", plain("GET", "/v2/things"), 404, []string{"path", "/v2/things", "/v1/models"}},
		{"unknown engine path", plain("POST", "/v1/embeddings"), 404, []string{`{"error":{"message":`, "/v1/embeddings"}},
		{"wrong method", plain("GET", completions), 405, []string{"method", "GET", "POST"}},
		{"service name", plain("POST", "/v1/services/Order%20Desk/x"), 400, []string{"service", "a-z"}},
		{"service method", plain("TRACE", "/v1/services/order-desk/x"), 400, []string{"method", "TRACE", "GET, HEAD"}},
		{"path with dot segments", plain("GET", "/v1/services/order-desk/a/%2e%2e/%2e%2e/load"), 400, []string{"path", ".."}},
		{"path with dot segments behind backslashes", plain("GET", "/v1/services/order-desk/a%5c..%5cb"), 400, []string{"path", ".."}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := test.send()
			require.Equal(t, test.status, r.status, r.body)
			require.Contains(t, r.body, `"ran":"no"`)
			require.Equal(t, "false", r.header.Get("X-Should-Retry"))
			for _, s := range test.contains {
				require.Contains(t, r.body, s)
			}
		})
	}
	require.Zero(t, f.emulatedEngine.Stats().Started)
	require.Zero(t, f.emulatedService.Totals().Calls)
	require.Nil(t, f.last.Load())
}

// Guards against request headers that are read beyond MaxHeaderBytes.
func TestHeaderLimit(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{MaxHeaderBytes: 1000})
	r := f.send(t, "GET", "/v1/models", "", "X-Long", strings.Repeat("x", 10000))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, r.status)
}

// Guards against a body without Content-Length that is read beyond MaxBodyBytes.
func TestChunkedBodyIsLimited(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{MaxBodyBytes: 1000})
	req, err := http.NewRequest("POST", f.url+completions, io.LimitReader(endlessReader{}, 1<<20))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+bearer)
	resp, err := f.client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Guards against refusals without a status, header or member that clients parse, for each
// reason, and against an internal error text that reaches the caller.
func TestRefusalBody(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{})
	for _, reason := range refuser.Reasons() {
		f.err = refuser.New(reason, "test").WithRetryAfter(1500 * time.Millisecond).WithDetail("because")
		r := f.send(t, "POST", completions, chatBody(userMessages, ""))
		require.Equal(t, reason.Status(), r.status)
		require.Equal(t, "2", r.header.Get("Retry-After"))
		require.Equal(t, "true", r.header.Get("X-Should-Retry"))
		require.NotEmpty(t, r.header.Get("Idempotency-Key"))
		var body struct {
			Error struct {
				Message, Type, Code, Ran, Reason string
				Param                            *string
				RetryAfterMS                     int `json:"retry_after_ms"`
			}
		}
		require.NoError(t, json.Unmarshal([]byte(r.body), &body))
		require.Equal(t, "because", body.Error.Message)
		require.NotEmpty(t, body.Error.Type)
		require.Equal(t, reason.String(), body.Error.Reason)
		require.Equal(t, reason.String(), body.Error.Code)
		require.Equal(t, "no", body.Error.Ran)
		require.Nil(t, body.Error.Param)
		require.Equal(t, 1500, body.Error.RetryAfterMS)
		require.NotNil(t, f.recorder.Registry().Get("refused."+reason.String()))
	}
	f.err = errors.New("a bug")
	r := f.send(t, "POST", completions, chatBody(userMessages, ""))
	require.Equal(t, http.StatusInternalServerError, r.status)
	require.Contains(t, r.body, `"ran":"unknown"`)
	require.NotContains(t, r.body, "a bug")
}

// Guards against a minimum output that does not reach the Conductor.
func TestMinOutput(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{})
	f.send(t, "POST", completions, chatBody(userMessages, `,"max_tokens":90`), "X-Least-Output", "10")
	require.EqualValues(t, 10, f.last.Load().MinOutput)
	require.EqualValues(t, 90, f.last.Load().MaxOutput)
}

// Guards against a prompt that has more tokens than its reservation covers. The limit is
// compared with a tokenizer that makes one token of each byte, which is the worst case.
func TestPromptTokensAreAnUpperLimit(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{})
	for _, content := range []string{"", "a", strings.Repeat("നെറ്റ്", 100), `"\u0d28"`, "<&>"} {
		raw, err := json.Marshal(content)
		require.NoError(t, err)
		f.send(t, "POST", completions, chatBody(fmt.Sprintf(`[{"role":"system","content":%s},{"role":"user","content":[{"type":"text","text":%s}]}]`, raw, raw), `,"tools":[{"type":"function"}]`))
		require.GreaterOrEqual(t, int(f.last.Load().PromptTokens), 2*len(content)+len(`[{"type":"function"}]`))
	}
}

// Guards against duplicate JSON members: an engine that reads another one than the server
// validated could exceed the limits or receive unsupported content.
func TestDuplicateMembersReachEngineOnce(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{})
	r := f.send(t, "POST", completions, `{"model":"a","model":"b","max_tokens":9,"max_tokens":3,"messages":`+
		`[{"role":"user","content":[{"type":"image_url","type":"text","text":"a"}],"content":"b"}]}`)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, `{"max_tokens":3,"stream":true,"stream_options":{"include_usage":true},"model":"b",`+
		`"messages":[{"role":"user","content":"b"}]}`, string(f.last.Load().Body))
}

// Guards against prefix digests that differ from those an engine publishes for the same
// messages, which would prevent routing to the upstream that has the prefix cached.
func TestPrefixDigestsMatchEngine(t *testing.T) {
	f := newFixture(t, emulator.EngineConfig{}, server.Config{})
	first := `{"role":"system","content":"` + strings.Repeat("rigging ", 100) + `"}`
	prefix := func(messages string) []uint64 {
		f.send(t, "POST", completions, chatBody(messages, ""))
		return f.last.Load().PrefixDigests
	}
	a := prefix(`[` + first + `,{"role":"user","content":"one"}]`)
	b := prefix(`[ ` + first + `, {"role":"user","content":"two"}]`)
	require.Len(t, a, 3)
	published, err := f.dispatcher.FetchCacheEvents(context.Background(), f.engine, 0)
	require.NoError(t, err)
	require.Equal(t, a, published[0].Stored)
	require.Equal(t, a, b)
	require.NotEqual(t, a[0], prefix(`[{"role":"user","content":"` + strings.Repeat("rigging ", 100) + `"}]`)[0])
}

// Guards against HTTP/2 streams, which TLS callers negotiate, that end because the write
// deadline passes between two chunks.
func TestHTTP2StreamOutlivesWriteTimeout(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	f := newFixture(t, emulator.EngineConfig{OutputTokens: 4, TokenInterval: 60 * time.Millisecond}, server.Config{})
	s, err := server.New(server.Config{Conductor: f.fakeConductor, WriteTimeout: 20 * time.Millisecond, TLS: &tls.Config{Certificates: certified.TLS.Certificates}})
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(context.Background(), listener) }()
	f.url = "https://" + listener.Addr().String()
	f.client = certified.Client()
	f.client.Transport.(*http.Transport).ForceAttemptHTTP2 = true
	r := f.send(t, "POST", completions, chatBody(userMessages, `,"stream":true`))
	require.Equal(t, "HTTP/2.0", r.proto)
	_, done := parseEvents(t, r.body)
	require.True(t, done)
	f.client.CloseIdleConnections()
	require.NoError(t, s.Drain(context.Background()))
	require.NoError(t, <-served)
}

// Guards against a Server without a Conductor, or with a default above its maximum.
func TestConfigErrors(t *testing.T) {
	_, err := server.New(server.Config{})
	require.ErrorContains(t, err, "Conductor")
	_, err = server.New(server.Config{Conductor: &fakeConductor{}, DefaultTimeout: time.Hour, MaxTimeout: time.Minute})
	require.ErrorContains(t, err, "1h0m0s")
	_, err = server.New(server.Config{Conductor: &fakeConductor{}, DefaultOutput: 9, MaxOutput: 8})
	require.ErrorContains(t, err, "9")
}
