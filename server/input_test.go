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

func TestBadInput(t *testing.T) {
	f := start(t, emulator.EngineConfig{}, server.Config{MaxBody: 2000, MostOutput: 100, DefaultMaxOutput: 50, LongestDeadline: time.Minute})
	chat := func(body string, headers ...string) func() reply {
		return func() reply { return f.send(t, "POST", completions, body, headers...) }
	}
	plain := func(method, path string) func() reply {
		return func() reply { return f.send(t, method, path, "") }
	}
	tests := []struct {
		name   string
		send   func() reply
		status int
		says   []string
	}{
		{"no key", chat("{}", "Authorization", ""), 401, []string{"Authorization"}},
		{"wrong scheme", chat("{}", "Authorization", "Basic abc"), 401, []string{"Bearer"}},
		{"unknown key", chat("{}", "Authorization", "Bearer other"), 401, []string{"unauthorized"}},
		{"no JSON", chat("hello"), 400, []string{"body", "hello", "a JSON object"}},
		{"null", chat("null"), 400, []string{"body", "a JSON object"}},
		{"list", chat("[]"), 400, []string{"body", "a JSON object"}},
		{"two objects", chat("{}{}"), 400, []string{"body"}},
		{"no model", chat(`{"messages":` + hello + `}`), 400, []string{"model is", "1 to 256"}},
		{"number as model", chat(`{"model":7,"messages":` + hello + `}`), 400, []string{"model", "7", "string"}},
		{"no messages", chat(`{"model":"m"}`), 400, []string{"messages", "1 to 10000"}},
		{"empty messages", chat(ask("[]", "")), 400, []string{"messages", "[]"}},
		{"message without role", chat(ask(`[{"content":"a"}]`, "")), 400, []string{"messages[0].role"}},
		{"message is a string", chat(ask(`["a"]`, "")), 400, []string{"messages[0]", "an object"}},
		{"content is a number", chat(ask(`[{"role":"user","content":5}]`, "")), 400, []string{"messages[0].content", "5"}},
		{"image", chat(ask(`[{"role":"user","content":[{"type":"text","text":"a"},{"type":"image_url"}]}]`, "")), 400, []string{"messages[0].content[1].type", "image_url", "text"}},
		{"image behind a second member", chat(ask(`[{"role":"user","content":[{"type":"image_url"}],"Content":"a"}]`, "")), 400, []string{"messages[0].content[0].type", "image_url"}},
		{"template", chat(ask(hello, `,"chat_template":"{{a}}"`)), 400, []string{"chat_template"}},
		{"output too large", chat(ask(hello, `,"max_tokens":101`)), 400, []string{"max_tokens", "101", "1 to 100"}},
		{"output zero", chat(ask(hello, `,"max_completion_tokens":0`)), 400, []string{"max_completion_tokens", "0", "1 to 100"}},
		{"output negative", chat(ask(hello, `,"max_tokens":-1`)), 400, []string{"max_tokens", "-1"}},
		{"output fraction", chat(ask(hello, `,"max_tokens":1.5`)), 400, []string{"max_tokens", "1.5"}},
		{"larger output first", chat(ask(hello, `,"max_tokens":1000,"max_completion_tokens":10`)), 400, []string{"max_tokens", "1000"}},
		{"two answers", chat(ask(hello, `,"n":2`)), 400, []string{"n is", "2", "1"}},
		{"best of two", chat(ask(hello, `,"best_of":2`)), 400, []string{"best_of", "2"}},
		{"stream is a string", chat(ask(hello, `,"stream":"yes"`)), 400, []string{"stream", "yes", "true or false"}},
		{"options without stream", chat(ask(hello, `,"stream_options":{"include_usage":true}`)), 400, []string{"stream_options"}},
		{"priority", chat(ask(hello, `,"priority":10`)), 400, []string{"priority", "10", "0", "9"}},
		{"timeout without unit", chat(ask(hello, ""), "X-Request-Timeout", "30"), 400, []string{"X-Request-Timeout", "30", "30s"}},
		{"timeout too long", chat(ask(hello, ""), "X-Request-Timeout", "2m"), 400, []string{"X-Request-Timeout", "2m", "1m0s"}},
		{"timeout negative", chat(ask(hello, ""), "X-Request-Timeout", "-1s"), 400, []string{"X-Request-Timeout", "-1s"}},
		{"least output above the limit", chat(ask(hello, ""), "X-Least-Output", "51"), 400, []string{"X-Least-Output", "51", "50"}},
		{"long key", chat(ask(hello, ""), "Idempotency-Key", strings.Repeat("k", 256)), 400, []string{"Idempotency-Key", "1 to 255"}},
		{"key with an umlaut", chat(ask(hello, ""), "Idempotency-Key", "ä"), 400, []string{"Idempotency-Key", "printable"}},
		{"empty key", chat(ask(hello, ""), "Idempotency-Key", ""), 400, []string{"Idempotency-Key"}},
		{"long body", chat(strings.Repeat("x", 2001)), 413, []string{"2000 bytes"}},
		{"unknown path", plain("GET", "/v2/things"), 404, []string{"path", "/v2/things", "/v1/models"}},
		{"unknown engine path", plain("POST", "/v1/embeddings"), 404, []string{`{"error":{"message":`, "/v1/embeddings"}},
		{"wrong method", plain("GET", completions), 405, []string{"method", "GET", "POST"}},
		{"service name", plain("POST", "/v1/services/Order%20Desk/x"), 400, []string{"service", "a-z"}},
		{"service method", plain("TRACE", "/v1/services/order-desk/x"), 400, []string{"method", "TRACE", "GET, HEAD"}},
		{"path that climbs", plain("GET", "/v1/services/order-desk/a/%2e%2e/%2e%2e/load"), 400, []string{"path", ".."}},
		{"path that climbs with a backslash", plain("GET", "/v1/services/order-desk/a%5c..%5cb"), 400, []string{"path", ".."}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := test.send()
			require.Equal(t, test.status, r.status, r.body)
			require.Contains(t, r.body, `"ran":"no"`)
			require.Equal(t, "false", r.header.Get("X-Should-Retry"))
			for _, s := range test.says {
				require.Contains(t, r.body, s)
			}
		})
	}
	require.Zero(t, f.emulated.Stats().Started)
	require.Zero(t, f.plain.Totals().Calls)
	require.Nil(t, f.last.Load())
}

func TestHeaderLimit(t *testing.T) {
	f := start(t, emulator.EngineConfig{}, server.Config{MaxHeader: 1000})
	r := f.send(t, "GET", "/v1/models", "", "X-Long", strings.Repeat("x", 10000))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, r.status)
}

func TestChunkedBodyIsBounded(t *testing.T) {
	f := start(t, emulator.EngineConfig{}, server.Config{MaxBody: 1000})
	req, err := http.NewRequest("POST", f.url+completions, io.LimitReader(endless{}, 1<<20))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+bearer)
	resp, err := f.client.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func TestRefusalForm(t *testing.T) {
	f := start(t, emulator.EngineConfig{}, server.Config{})
	for _, reason := range refuser.Reasons() {
		f.err = refuser.New(reason, "test").WithRetryAfter(1500 * time.Millisecond).WithDetail("because")
		r := f.send(t, "POST", completions, ask(hello, ""))
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
	r := f.send(t, "POST", completions, ask(hello, ""))
	require.Equal(t, http.StatusInternalServerError, r.status)
	require.Contains(t, r.body, `"ran":"unknown"`)
	require.NotContains(t, r.body, "a bug")
}

func TestLeastOutput(t *testing.T) {
	f := start(t, emulator.EngineConfig{}, server.Config{})
	f.send(t, "POST", completions, ask(hello, `,"max_tokens":90`), "X-Least-Output", "10")
	require.EqualValues(t, 10, f.last.Load().MinOutput)
	require.EqualValues(t, 90, f.last.Load().MaxOutput)
}

// TestPromptBound holds the bound of the prompt against a tokenizer of one
// token a byte, the finest that there is.
func TestPromptBound(t *testing.T) {
	f := start(t, emulator.EngineConfig{}, server.Config{})
	for _, content := range []string{"", "a", strings.Repeat("നെറ്റ്", 100), `"\u0d28"`, "<&>"} {
		raw, err := json.Marshal(content)
		require.NoError(t, err)
		f.send(t, "POST", completions, ask(fmt.Sprintf(`[{"role":"system","content":%s},{"role":"user","content":[{"type":"text","text":%s}]}]`, raw, raw), `,"tools":[{"type":"function"}]`))
		require.GreaterOrEqual(t, int(f.last.Load().PromptTokens), 2*len(content)+len(`[{"type":"function"}]`))
	}
}

// TestMembersThatStandTwice makes sure that the engine reads what was checked.
func TestMembersThatStandTwice(t *testing.T) {
	f := start(t, emulator.EngineConfig{}, server.Config{})
	r := f.send(t, "POST", completions, `{"model":"a","model":"b","max_tokens":9,"max_tokens":3,"messages":`+
		`[{"role":"user","content":[{"type":"image_url","type":"text","text":"a"}],"content":"b"}]}`)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, `{"max_tokens":3,"stream":true,"stream_options":{"include_usage":true},"model":"b",`+
		`"messages":[{"role":"user","content":"b"}]}`, string(f.last.Load().Body))
}

func TestPrefixOfAConversation(t *testing.T) {
	f := start(t, emulator.EngineConfig{}, server.Config{})
	first := `{"role":"system","content":"` + strings.Repeat("rigging ", 100) + `"}`
	prefix := func(messages string) []uint64 {
		f.send(t, "POST", completions, ask(messages, ""))
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

// TestTLS streams over HTTP/2, which TLS callers negotiate, with more time
// between two chunks than a write may take.
func TestTLS(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	f := start(t, emulator.EngineConfig{OutputTokens: 4, TokenInterval: 60 * time.Millisecond}, server.Config{})
	s, err := server.New(server.Config{Conductor: f.passer, WriteTimeout: 20 * time.Millisecond, TLS: &tls.Config{Certificates: certified.TLS.Certificates}})
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(context.Background(), listener) }()
	f.url = "https://" + listener.Addr().String()
	f.client = certified.Client()
	f.client.Transport.(*http.Transport).ForceAttemptHTTP2 = true
	r := f.send(t, "POST", completions, ask(hello, `,"stream":true`))
	require.Equal(t, "HTTP/2.0", r.proto)
	_, done := events(t, r.body)
	require.True(t, done)
	f.client.CloseIdleConnections()
	require.NoError(t, s.Drain(context.Background()))
	require.NoError(t, <-served)
}

func TestConfigErrors(t *testing.T) {
	_, err := server.New(server.Config{})
	require.ErrorContains(t, err, "Conductor")
	_, err = server.New(server.Config{Conductor: &passer{}, DefaultDeadline: time.Hour, LongestDeadline: time.Minute})
	require.ErrorContains(t, err, "1h0m0s")
	_, err = server.New(server.Config{Conductor: &passer{}, DefaultMaxOutput: 9, MostOutput: 8})
	require.ErrorContains(t, err, "9")
}
