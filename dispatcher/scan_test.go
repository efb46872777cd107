package dispatcher

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
)

// Guards against a body that keeps the caller's max_tokens or is no longer
// valid JSON after the insertion of a member.
func TestBodySetsMaxTokensAndPriority(t *testing.T) {
	tests := []struct {
		body     string
		output   contractor.Tokens
		priority int
		want     string
	}{
		{`{"a":1}`, 0, 0, `{"a":1}`},
		{`{"a":{"max_tokens":3}}`, 7, 0, `{"a":{"max_tokens":3},"max_tokens":7}`},
		{`{"max_tokens":100,"a":1}`, 7, 2, `{"max_tokens":7,"a":1,"priority":2}`},
		{` { "a" : "}" , "max_tokens" : 1 } `, 7, 0, `{"a":"}","max_tokens":7}`},
		{`{}`, 7, 2, `{"max_tokens":7,"priority":2}`},
		{`{}`, 0, 2, `{"priority":2}`},
	}
	for _, test := range tests {
		call := EngineCall{Body: []byte(test.body), MaxOutput: test.output, Priority: test.priority}
		got, err := call.body()
		require.NoError(t, err)
		require.JSONEq(t, test.want, string(got))
	}
	_, err := (&EngineCall{Body: []byte("[]")}).body()
	require.Error(t, err)
}

// Guards against fields taken from nested objects or strings, and against
// malformed chunks that pass.
func TestScanChunkReadsTopLevelFields(t *testing.T) {
	f, ok := scanChunk([]byte(` {"x":"\"}","id":"k-1","choices":[ ],"usage":null,"offset":12,"tokens":3,"n":{"offset":[1,"]"]}} `))
	require.True(t, ok)
	require.Equal(t, "k-1", string(f.id))
	require.Equal(t, int64(12), f.offset)
	require.Equal(t, int64(3), f.tokens)
	require.Nil(t, f.usage)
	require.True(t, f.emptyChoices())
	for _, bad := range []string{``, `{`, `[]`, `{"a"}`, `{"a":}`, `{"id":1}`, `{"offset":-1}`, `{"offset":1e3}`, `{"a":"`, `{"a":1 "b":2}`, `{"a":"\`} {
		_, ok := scanChunk([]byte(bad))
		require.False(t, ok, bad)
	}
}

// Guards against output text that looks like a finish reason and would end the
// response early.
func TestHasFinishReasonIgnoresContent(t *testing.T) {
	for choices, want := range map[string]bool{
		`[{"finish_reason":"stop"}]`:                                        true,
		`[{"delta":{},"finish_reason": "length"}]`:                          true,
		`[{"finish_reason":null}]`:                                          false,
		`[{"delta":{"content":"a \"finish_reason\":\"b"},"index":0}]`:       false,
		`[{"delta":{"content":"finish_reason"},"finish_reason":null}]`:      false,
		`[{"delta":{"content":"\"finish_reason\":"},"finish_reason":null}]`: false,
		`[]`: false,
	} {
		f := chunkFields{choices: []byte(choices)}
		require.Equal(t, want, f.hasFinishReason(), choices)
	}
}

// FuzzScanChunk compares the scanner with encoding/json.
func FuzzScanChunk(f *testing.F) {
	f.Add([]byte(`{"id":"k-1","offset":3,"choices":[{"delta":{"content":"a\"b"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var want struct {
			Offset *int64 `json:"offset"`
		}
		got, ok := scanChunk(data)
		if !json.Valid(data) || !ok || json.Unmarshal(data, &want) != nil || want.Offset == nil {
			return
		}
		if got.offset >= 0 {
			require.Equal(t, *want.Offset, got.offset)
		}
	})
}

func BenchmarkScanChunk(b *testing.B) {
	data := []byte(`{"id":"0123456789abcdef0123456789abcdef-1","object":"chat.completion.chunk","created":1700000000,"model":"quote-model",` +
		`"choices":[{"index":0,"delta":{"content":" webbing"},"finish_reason":null}],"offset":123,"tokens":1}`)
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := scanChunk(data); !ok {
			b.Fatal("not scanned")
		}
	}
}
