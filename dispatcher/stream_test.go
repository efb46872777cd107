package dispatcher

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
)

func newTestStream(body string, key contractor.RequestKey) *stream {
	s := &stream{dispatcher: New(Config{}), call: EngineCall{Key: key}, id: []byte(attemptID(key, 1))}
	s.lines.init(strings.NewReader(body), defaultMaxChunkBytes)
	return s
}

// Guards against allocations per chunk in Next.
func TestNextAllocatesNothing(t *testing.T) {
	const chunks = 5000
	key := contractor.NewRequestKey("a", "b")
	var b strings.Builder
	for i := range chunks {
		fmt.Fprintf(&b, "data: {\"id\":\"%s-1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"}}],\"offset\":%d,\"tokens\":1}\n\n", key, i)
	}
	s := newTestStream(b.String(), key)
	next := func() {
		if _, err := s.Next(); err != nil {
			t.Fatal(err)
		}
	}
	next()
	require.Zero(t, testing.AllocsPerRun(chunks/2, next))
}

// Guards against failures with engines that send neither offsets nor token
// counts, and with the line ends, comments and fields of other servers.
func TestStreamWithoutOffsetExtension(t *testing.T) {
	key := contractor.NewRequestKey("a", "b")
	id := `{"id":"chatcmpl-` + key.String() + `-1",`
	s := newTestStream(": ping\r\n\r\n"+
		"event: message\r\ndata:"+id+`"choices":[{"delta":{"role":"assistant","content":""}}]}`+"\r\n\r\n"+
		"data: "+id+`"choices":[{"delta":{"content":"a"}}],"usage":null}`+"\r\n\r\n"+
		"data: "+id+`"choices":[{"delta":{"content":"b"}}]}`+"\n\n"+
		"data: "+id+`"choices":[{"delta":{},"finish_reason":"stop"}]}`+"\n\n"+
		"data: [DONE]\n\n", key)
	s.call.PromptTokens = 30
	var offsets []contractor.Tokens
	for {
		chunk, err := s.Next()
		if err != nil {
			break
		}
		require.Contains(t, string(chunk.Data), `"id":"chatcmpl-`+key.String()+`"`)
		offsets = append(offsets, chunk.Offset)
	}
	require.True(t, s.complete)
	require.Equal(t, []contractor.Tokens{0, 0, 1, 2}, offsets)
	require.Equal(t, contractor.Tokens(2), s.Usage().OutputTokens)
	require.Equal(t, contractor.Tokens(30), s.Usage().PromptTokens)
}

// Guards against charging more than was permitted when an engine reports too
// much.
func TestUsageIsLimitedToPermittedTokens(t *testing.T) {
	key := contractor.NewRequestKey("a", "b")
	s := newTestStream(fmt.Sprintf("data: {\"id\":\"%s-1\",\"choices\":[],\"usage\":{\"prompt_tokens\":99,\"completion_tokens\":99}}\n\ndata: [DONE]\n\n", key), key)
	s.call.PromptTokens, s.call.MaxOutput = 10, 20
	_, err := s.Next()
	require.Error(t, err)
	require.Equal(t, contractor.Tokens(10), s.Usage().PromptTokens)
	require.Equal(t, contractor.Tokens(20), s.Usage().OutputTokens)
}
