package server

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"laburnumline/conductor"
)

// collector is a conductor.Sink that merges the chunks of a streamed response into
// one message, for callers that did not request a stream.
type collector struct {
	created     int64
	model       string
	fingerprint string
	content     textAccumulator
	refusal     textAccumulator
	reasoning   textAccumulator
	tools       []toolCallAccumulator
	function    functionAccumulator
	finish      *string
	logprobs    []json.RawMessage
	hasLogprobs bool
	err         error
}

type completionChunk struct {
	Created     int64         `json:"created"`
	Model       string        `json:"model"`
	Fingerprint string        `json:"system_fingerprint"`
	Choices     []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Delta    chunkDelta     `json:"delta"`
	Finish   *string        `json:"finish_reason"`
	Logprobs *tokenLogprobs `json:"logprobs"`
}

type tokenLogprobs struct {
	Content []json.RawMessage `json:"content"`
}

type chunkDelta struct {
	Content   *string       `json:"content"`
	Refusal   *string       `json:"refusal"`
	Reasoning *string       `json:"reasoning_content"`
	Tools     []toolCall    `json:"tool_calls"`
	Function  *functionCall `json:"function_call"`
}

type toolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id,omitempty"`
	Type     string       `json:"type,omitempty"`
	Function functionCall `json:"function"`
}

type functionCall struct {
	Name      string `json:"name,omitempty"`
	Arguments string `json:"arguments"`
}

// WriteChunk merges one chunk into the response.
func (c *collector) WriteChunk(chunk conductor.Chunk) error {
	var parsed completionChunk
	if err := json.Unmarshal(chunk.Data, &parsed); err != nil {
		c.err = errors.Wrapf(err, "collect chunk at offset %d", chunk.Offset)
		return c.err
	}
	if c.created == 0 {
		c.created, c.model, c.fingerprint = parsed.Created, parsed.Model, parsed.Fingerprint
	}
	for i := range parsed.Choices {
		c.addChoice(&parsed.Choices[i])
	}
	return nil
}

func (c *collector) addChoice(choice *chunkChoice) {
	c.content.add(choice.Delta.Content)
	c.refusal.add(choice.Delta.Refusal)
	c.reasoning.add(choice.Delta.Reasoning)
	for i := range choice.Delta.Tools {
		c.addToolCall(&choice.Delta.Tools[i])
	}
	c.function.add(choice.Delta.Function)
	if choice.Finish != nil {
		c.finish = choice.Finish
	}
	if choice.Logprobs != nil {
		c.hasLogprobs = true
		c.logprobs = append(c.logprobs, choice.Logprobs.Content...)
	}
}

// textAccumulator joins the fragments of a text. The text is absent until the first
// fragment arrives, which may be empty.
type textAccumulator struct {
	present bool
	text    []byte
}

func (a *textAccumulator) add(part *string) {
	if part == nil {
		return
	}
	a.present = true
	a.text = append(a.text, *part...)
}

func (a *textAccumulator) value() *string {
	if !a.present {
		return nil
	}
	text := string(a.text)
	return &text
}

// functionAccumulator joins the fragments of a function call's name and arguments.
type functionAccumulator struct {
	name      textAccumulator
	arguments textAccumulator
}

func (f *functionAccumulator) add(part *functionCall) {
	if part == nil {
		return
	}
	f.name.add(&part.Name)
	f.arguments.add(&part.Arguments)
}

func (f *functionAccumulator) value() *functionCall {
	if !f.name.present {
		return nil
	}
	return &functionCall{Name: string(f.name.text), Arguments: string(f.arguments.text)}
}

// toolCallAccumulator joins the fragments of one tool call.
type toolCallAccumulator struct {
	index    int
	id       string
	kind     string
	function functionAccumulator
}

func (c *collector) addToolCall(part *toolCall) {
	for i := range c.tools {
		if c.tools[i].index == part.Index {
			c.tools[i].function.add(&part.Function)
			return
		}
	}
	tool := toolCallAccumulator{index: part.Index, id: part.ID, kind: part.Type}
	tool.function.add(&part.Function)
	c.tools = append(c.tools, tool)
}

type completionResponse struct {
	ID          string           `json:"id"`
	Object      string           `json:"object"`
	Created     int64            `json:"created"`
	Model       string           `json:"model"`
	Fingerprint string           `json:"system_fingerprint,omitempty"`
	Choices     []responseChoice `json:"choices"`
	Usage       usageBody        `json:"usage"`
}

type responseChoice struct {
	Index    int             `json:"index"`
	Message  responseMessage `json:"message"`
	Logprobs *tokenLogprobs  `json:"logprobs"`
	Finish   *string         `json:"finish_reason"`
}

type responseMessage struct {
	Role      string             `json:"role"`
	Content   *string            `json:"content"`
	Refusal   *string            `json:"refusal,omitempty"`
	Reasoning *string            `json:"reasoning_content,omitempty"`
	Tools     []responseToolCall `json:"tool_calls,omitempty"`
	Function  *functionCall      `json:"function_call,omitempty"`
}

// responseToolCall is a tool call of an unstreamed response. It has no index, unlike
// the tool calls in chunks.
type responseToolCall struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function functionCall `json:"function"`
}

// body returns the merged response as JSON.
func (c *collector) body(call *conductor.Completion, usage conductor.Usage) ([]byte, error) {
	choice := responseChoice{Finish: c.finish}
	choice.Message = responseMessage{Role: "assistant", Content: c.content.value(), Refusal: c.refusal.value(), Reasoning: c.reasoning.value(), Function: c.function.value()}
	for i := range c.tools {
		t := &c.tools[i]
		choice.Message.Tools = append(choice.Message.Tools, responseToolCall{ID: t.id, Type: t.kind, Function: *t.function.value()})
	}
	if c.hasLogprobs {
		choice.Logprobs = &tokenLogprobs{Content: c.logprobs}
	}
	response := completionResponse{
		ID:          call.Key.String(),
		Object:      "chat.completion",
		Created:     c.created,
		Model:       c.model,
		Fingerprint: c.fingerprint,
		Choices:     []responseChoice{choice},
		Usage:       usageOf(usage),
	}
	if response.Model == "" {
		response.Model = call.Model
	}
	return json.Marshal(response)
}
