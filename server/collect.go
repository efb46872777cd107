package server

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"laburnumline/conductor"
)

// collector is a sink that joins the chunks of an answer into one message.
type collector struct {
	created     int64
	model       string
	fingerprint string
	content     joined
	refusal     joined
	reasoning   joined
	tools       []joinedTool
	function    joinedFunction
	finish      *string
	logprobs    []json.RawMessage
	hasLogprobs bool
	err         error
}

type answerChunk struct {
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

// WriteChunk adds one chunk to the answer.
func (c *collector) WriteChunk(chunk conductor.Chunk) error {
	var a answerChunk
	if err := json.Unmarshal(chunk.Data, &a); err != nil {
		c.err = errors.Wrapf(err, "collect chunk at offset %d", chunk.Offset)
		return c.err
	}
	if c.created == 0 {
		c.created, c.model, c.fingerprint = a.Created, a.Model, a.Fingerprint
	}
	for i := range a.Choices {
		c.add(&a.Choices[i])
	}
	return nil
}

func (c *collector) add(choice *chunkChoice) {
	c.content.add(choice.Delta.Content)
	c.refusal.add(choice.Delta.Refusal)
	c.reasoning.add(choice.Delta.Reasoning)
	for i := range choice.Delta.Tools {
		c.addTool(&choice.Delta.Tools[i])
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

// joined is a text that arrives in parts. It is absent until the first part.
type joined struct {
	given bool
	text  []byte
}

func (j *joined) add(part *string) {
	if part == nil {
		return
	}
	j.given = true
	j.text = append(j.text, *part...)
}

func (j *joined) value() *string {
	if !j.given {
		return nil
	}
	text := string(j.text)
	return &text
}

// joinedFunction is the name and the arguments of a call that arrive in parts.
type joinedFunction struct {
	name      joined
	arguments joined
}

func (f *joinedFunction) add(part *functionCall) {
	if part == nil {
		return
	}
	f.name.add(&part.Name)
	f.arguments.add(&part.Arguments)
}

func (f *joinedFunction) value() *functionCall {
	if !f.name.given {
		return nil
	}
	return &functionCall{Name: string(f.name.text), Arguments: string(f.arguments.text)}
}

// joinedTool is one tool call of the answer.
type joinedTool struct {
	index    int
	id       string
	kind     string
	function joinedFunction
}

func (c *collector) addTool(part *toolCall) {
	for i := range c.tools {
		if c.tools[i].index == part.Index {
			c.tools[i].function.add(&part.Function)
			return
		}
	}
	tool := joinedTool{index: part.Index, id: part.ID, kind: part.Type}
	tool.function.add(&part.Function)
	c.tools = append(c.tools, tool)
}

type wholeAnswer struct {
	ID          string        `json:"id"`
	Object      string        `json:"object"`
	Created     int64         `json:"created"`
	Model       string        `json:"model"`
	Fingerprint string        `json:"system_fingerprint,omitempty"`
	Choices     []wholeChoice `json:"choices"`
	Usage       usageBody     `json:"usage"`
}

type wholeChoice struct {
	Index    int            `json:"index"`
	Message  wholeMessage   `json:"message"`
	Logprobs *tokenLogprobs `json:"logprobs"`
	Finish   *string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role      string        `json:"role"`
	Content   *string       `json:"content"`
	Refusal   *string       `json:"refusal,omitempty"`
	Reasoning *string       `json:"reasoning_content,omitempty"`
	Tools     []wholeTool   `json:"tool_calls,omitempty"`
	Function  *functionCall `json:"function_call,omitempty"`
}

// wholeTool is a tool call without the index that only chunks have.
type wholeTool struct {
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function functionCall `json:"function"`
}

// body returns the answer as one JSON body.
func (c *collector) body(call *conductor.Completion, used conductor.Usage) ([]byte, error) {
	choice := wholeChoice{Finish: c.finish}
	choice.Message = wholeMessage{Role: "assistant", Content: c.content.value(), Refusal: c.refusal.value(), Reasoning: c.reasoning.value(), Function: c.function.value()}
	for i := range c.tools {
		t := &c.tools[i]
		choice.Message.Tools = append(choice.Message.Tools, wholeTool{ID: t.id, Type: t.kind, Function: *t.function.value()})
	}
	if c.hasLogprobs {
		choice.Logprobs = &tokenLogprobs{Content: c.logprobs}
	}
	answer := wholeAnswer{
		ID:          call.Key.String(),
		Object:      "chat.completion",
		Created:     c.created,
		Model:       c.model,
		Fingerprint: c.fingerprint,
		Choices:     []wholeChoice{choice},
		Usage:       usageOf(used),
	}
	if answer.Model == "" {
		answer.Model = call.Model
	}
	return json.Marshal(answer)
}
