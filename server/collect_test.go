package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/conductor"
	"laburnumline/contractor"
)

// Guards against fragments of a streamed response (text, reasoning, arguments of several
// tool calls, log probabilities) that are lost or mixed up in the unstreamed response.
func TestCollectorJoinsChunksIntoOneResponse(t *testing.T) {
	var c collector
	for _, data := range []string{
		`{"created":5,"model":"m","system_fingerprint":"f","choices":[{"delta":{"role":"assistant","content":""}}]}`,
		`{"choices":[{"delta":{"content":"a"},"logprobs":{"content":[{"token":"a"}]}}]}`,
		`{"choices":[{"delta":{"content":"b","reasoning_content":"r"}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"id":"t0","type":"function","function":{"name":"book","arguments":"{"}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":1,"id":"t1","type":"function","function":{"name":"ask","arguments":"1"}},{"index":0,"function":{"arguments":"}"}}]}}]}`,
		`{"choices":[{"delta":{},"finish_reason":"tool_calls"}]}`,
	} {
		require.NoError(t, c.WriteChunk(conductor.Chunk{Data: []byte(data)}))
	}
	key := contractor.NewRequestKey("a", "b")
	body, err := c.body(&conductor.Completion{Key: key, Model: "m"}, conductor.Usage{PromptTokens: 2, OutputTokens: 3})
	require.NoError(t, err)
	require.JSONEq(t, `{"id":"`+key.String()+`","object":"chat.completion","created":5,"model":"m","system_fingerprint":"f",
		"choices":[{"index":0,"finish_reason":"tool_calls","logprobs":{"content":[{"token":"a"}]},"message":{"role":"assistant","content":"ab",
		"reasoning_content":"r","tool_calls":[{"id":"t0","type":"function","function":{"name":"book","arguments":"{}"}},
		{"id":"t1","type":"function","function":{"name":"ask","arguments":"1"}}]}}],
		"usage":{"prompt_tokens":2,"completion_tokens":3,"total_tokens":5}}`, string(body))
	require.Error(t, c.WriteChunk(conductor.Chunk{Data: []byte(`{"choices":5}`)}))
}
