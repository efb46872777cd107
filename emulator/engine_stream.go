package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumline/dispatcher"
	"laburnumline/sleeper"
)

const (
	minOutputTokens   = 8
	outputTokensRange = 57
	// createdAt is the creation time in responses, in seconds since 1970. It is fixed
	// to make responses reproducible.
	createdAt = 1700000000
)

var words = []string{
	"net", "mesh", "twine", "door", "cod", "bag", "head", "rope", "lead", "line", "float", "panel", "wing",
	"bridle", "taper", "knot", "hang", "tickler", "sled", "skid", "lazy", "gauge", "dip", "tar",
}

// text is the output of one call, one word per token. Word i depends only on the
// seed and i, which lets a resumed stream start at any token.
type text struct {
	seed         uint64
	tokens       int
	finishReason string
}

func (c *EngineConfig) text(model string, messages []byte, limit int) text {
	t := text{seed: xxhash.Sum64String(model + "\x00" + string(canonical(messages))), finishReason: "stop"}
	t.tokens = c.OutputTokens
	if t.tokens <= 0 {
		t.tokens = minOutputTokens + int(t.seed%outputTokensRange)
	}
	if limit > 0 && t.tokens > limit {
		t.tokens = limit
		t.finishReason = "length"
	}
	return t
}

func (t text) word(i int) string {
	mixed := (t.seed + uint64(i)) * 0x9e3779b97f4a7c15
	return words[(mixed>>32)%uint64(len(words))] + strconv.FormatUint(mixed%97, 10) + " "
}

// ExpectedOutput returns the text and the number of tokens that an engine with this
// configuration generates.
func (c EngineConfig) ExpectedOutput(model string, messages []byte, limit int) (string, int) {
	t := c.text(model, messages, limit)
	var b strings.Builder
	for i := range t.tokens {
		b.WriteString(t.word(i))
	}
	return b.String(), t.tokens
}

// canonical returns the messages with the members of JSON objects sorted by name.
func canonical(raw []byte) []byte {
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return raw
	}
	sorted, err := json.Marshal(value)
	if err != nil {
		return raw
	}
	return sorted
}

func compactMessages(raw []byte) []byte {
	var buf bytes.Buffer
	if err := json.Compact(&buf, raw); err != nil {
		return raw
	}
	return buf.Bytes()
}

// stream sends the output as server-sent events, starting at the resume offset.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, call *engineCall, cached int) error {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set(dispatcher.HeaderRequestID, call.id)
	if call.resumeOffset > 0 {
		h.Set(dispatcher.HeaderResumeOffset, strconv.Itoa(call.resumeOffset))
	}
	out := chunkWriter{writer: w, control: http.NewResponseController(w), engine: e, call: call}
	if call.resumeOffset == 0 {
		out.send(0, 0, `{"role":"assistant","content":""}`, "null")
	}
	for i := call.resumeOffset; i < call.text.tokens; i++ {
		if err := sleeper.Sleep(ctx, e.tokenInterval()); err != nil {
			return err
		}
		out.send(i, 1, `{"content":"`+call.text.word(i)+`"}`, "null")
		if out.err != nil {
			return out.err
		}
	}
	out.send(call.text.tokens, 0, "{}", `"`+call.text.finishReason+`"`)
	out.sendUsage(cached)
	out.writeEvent("[DONE]")
	return out.err
}

// tokenInterval returns the time between two tokens at the current batch size.
func (e *Engine) tokenInterval() time.Duration {
	base := e.config.TokenInterval
	if base <= 0 {
		return 0
	}
	return base + base*time.Duration(e.batch.running()-1)/time.Duration(e.config.Slots)
}

type chunkWriter struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	engine  *Engine
	call    *engineCall
	err     error
}

func (o *chunkWriter) send(offset, tokens int, delta, finishReason string) {
	o.engine.mu.Lock()
	o.engine.stats.OutputTokens += tokens
	transform := o.engine.transform
	o.engine.mu.Unlock()
	chunk := fmt.Sprintf(`{"id":"%s","object":"chat.completion.chunk","created":%d,"model":"%s",`+
		`"choices":[{"index":0,"delta":%s,"finish_reason":%s}],"offset":%d,"tokens":%d}`,
		o.call.id, createdAt, o.call.model, delta, finishReason, offset, tokens)
	if transform == nil {
		o.writeEvent(chunk)
		return
	}
	for _, c := range transform(chunk) {
		o.writeEvent(c)
	}
}

func (o *chunkWriter) sendUsage(cached int) {
	prompt, output := o.call.promptTokens, o.call.text.tokens
	o.writeEvent(fmt.Sprintf(`{"id":"%s","object":"chat.completion.chunk","created":%d,"model":"%s","choices":[],`+
		`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}}`,
		o.call.id, createdAt, o.call.model, prompt, output, prompt+output, cached*dispatcher.PrefixBlockBytes/bytesPerToken))
}

func (o *chunkWriter) writeEvent(data string) {
	if o.err != nil {
		return
	}
	if _, o.err = fmt.Fprintf(o.writer, "data: %s\n\n", data); o.err == nil {
		o.err = o.control.Flush()
	}
}

// respond sends the whole output as one JSON body.
func (e *Engine) respond(ctx context.Context, w http.ResponseWriter, call *engineCall) error {
	var b strings.Builder
	for i := range call.text.tokens {
		if err := sleeper.Sleep(ctx, e.tokenInterval()); err != nil {
			return err
		}
		b.WriteString(call.text.word(i))
	}
	e.mu.Lock()
	e.stats.OutputTokens += call.text.tokens
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(dispatcher.HeaderRequestID, call.id)
	_, err := fmt.Fprintf(w, `{"id":"%s","object":"chat.completion","created":%d,"model":"%s",`+
		`"choices":[{"index":0,"message":{"role":"assistant","content":"%s"},"finish_reason":"%s"}],`+
		`"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`,
		call.id, createdAt, call.model, b.String(), call.text.finishReason, call.promptTokens, call.text.tokens, call.promptTokens+call.text.tokens)
	return err
}
