package server

import (
	"bytes"
	"encoding/json"
	"fmt"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/refuser"
)

const (
	// messageOverhead is an upper bound of the tokens that frame one message.
	messageOverhead = 16
	// promptOverhead is an upper bound of the tokens that frame a prompt.
	promptOverhead = 16
	maxModelName   = 256 // bytes
	maxMessages    = 10000
	lowestPriority = 9
)

// object is a JSON object whose members are decoded one by one, so that unknown
// members reach the engine as they came.
type object map[string]json.RawMessage

// completion is a checked engine call.
type completion struct {
	model        string
	stream       bool
	includeUsage bool
	maxOutput    contractor.Tokens
	promptTokens contractor.Tokens
	priority     int
	messages     json.RawMessage
	rest         object
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// promptMembers are the members besides the messages that engines put into the prompt.
var promptMembers = []string{"tools", "functions", "tool_choice", "response_format", "guided_json", "documents", "chat_template_kwargs"}

// limits bound what a caller may ask for.
type limits struct {
	defaultOutput contractor.Tokens
	mostOutput    contractor.Tokens
}

// parseCompletion checks an engine call. The error is a refusal that names the
// wrong field.
func parseCompletion(body []byte, l limits) (*completion, error) {
	var o object
	if err := json.Unmarshal(body, &o); err != nil {
		return nil, badField("body", string(body), "a JSON object (%v)", err)
	}
	if o == nil {
		return nil, badField("body", string(body), "a JSON object")
	}
	c := &completion{rest: o}
	for _, parse := range []func(limits) error{c.parseModel, c.parseMessages, c.parseStream, c.parseOutput, c.parseSingle, c.parseTemplate, c.parsePriority} {
		if err := parse(l); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// member decodes one member and removes it from the rest. An absent or null
// member leaves out as it is.
func member[T any](o object, name, allowed string, out *T) (bool, error) {
	raw, ok := o[name]
	delete(o, name)
	if !ok || string(raw) == "null" {
		return false, nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return false, badField(name, string(raw), "%s", allowed)
	}
	return true, nil
}

func (c *completion) parseModel(limits) error {
	const allowed = "a string of 1 to 256 bytes"
	if _, err := member(c.rest, "model", allowed, &c.model); err != nil {
		return err
	}
	if c.model == "" || len(c.model) > maxModelName {
		return badField("model", c.model, allowed)
	}
	return nil
}

func (c *completion) parseMessages(limits) error {
	const allowed = "a list of 1 to 10000 messages"
	var messages []json.RawMessage
	raw := c.rest["messages"]
	if _, err := member(c.rest, "messages", allowed, &messages); err != nil {
		return err
	}
	if len(messages) == 0 || len(messages) > maxMessages {
		return badField("messages", string(raw), allowed)
	}
	c.promptTokens = promptOverhead
	for i, m := range messages {
		canonical, size, err := checkMessage(fmt.Sprintf("messages[%d]", i), m)
		if err != nil {
			return err
		}
		messages[i] = canonical
		c.promptTokens += contractor.Tokens(size + messageOverhead)
	}
	for _, name := range promptMembers {
		c.promptTokens += contractor.Tokens(len(c.rest[name]))
	}
	var err error
	c.messages, err = marshal(messages)
	return err
}

// checkMessage returns a message with each member once, and an upper bound of
// its tokens: no token is shorter than a byte, and all members but a plain
// string content count as they are written.
func checkMessage(field string, raw json.RawMessage) (json.RawMessage, int, error) {
	var m object
	if err := json.Unmarshal(raw, &m); err != nil || m == nil {
		return nil, 0, badField(field, string(raw), "an object with role and content")
	}
	var role string
	if err := json.Unmarshal(m["role"], &role); err != nil || role == "" {
		return nil, 0, badField(field+".role", string(m["role"]), "a string such as user")
	}
	content, size, err := checkContent(field+".content", m["content"])
	if err != nil {
		return nil, 0, err
	}
	if content != nil {
		m["content"] = content
	}
	canonical, err := roleFirst(m)
	return canonical, len(canonical) - len(content) + size, err
}

// roleFirst returns a message as JSON that begins with the role, as prompts do,
// so that messages of different roles have no common prefix.
func roleFirst(m object) (json.RawMessage, error) {
	role := m["role"]
	delete(m, "role")
	rest, err := marshal(m)
	if err != nil {
		return nil, err
	}
	out := append(json.RawMessage(`{"role":`), role...)
	if len(m) > 0 {
		out = append(out, ',')
	}
	return append(out, rest[1:]...), nil
}

func checkContent(field string, raw json.RawMessage) (json.RawMessage, int, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, 0, nil
	}
	if raw[0] == '"' {
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return nil, 0, badField(field, string(raw), "a string")
		}
		canonical, err := marshal(text)
		return canonical, len(text), err
	}
	var parts []object
	if err := json.Unmarshal(raw, &parts); err != nil {
		return nil, 0, badField(field, string(raw), "a string or a list of parts of type text")
	}
	for i, p := range parts {
		if kind := string(p["type"]); kind != `"text"` && kind != `"refusal"` {
			return nil, 0, badField(fmt.Sprintf("%s[%d].type", field, i), kind, "text or refusal: the size of other parts has no bound")
		}
	}
	canonical, err := marshal(parts)
	return canonical, len(canonical), err
}

func (c *completion) parseStream(limits) error {
	if _, err := member(c.rest, "stream", "true or false", &c.stream); err != nil {
		return err
	}
	var options streamOptions
	given, err := member(c.rest, "stream_options", "an object with include_usage", &options)
	if err != nil {
		return err
	}
	if given && !c.stream {
		return badField("stream_options", "an object", "only together with stream: true")
	}
	c.includeUsage = options.IncludeUsage
	return nil
}

func (c *completion) parseOutput(l limits) error {
	c.maxOutput = l.defaultOutput
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		allowed := fmt.Sprintf("a whole number from 1 to %d", l.mostOutput)
		var n contractor.Tokens
		raw := string(c.rest[name])
		given, err := member(c.rest, name, allowed, &n)
		if err != nil {
			return err
		}
		if !given {
			continue
		}
		if n < 1 || n > l.mostOutput {
			return badField(name, raw, "%s", allowed)
		}
		c.maxOutput = n
	}
	return nil
}

// parseSingle refuses several answers to one request, whose output has no bound
// by max_tokens.
func (c *completion) parseSingle(limits) error {
	for _, name := range []string{"n", "best_of"} {
		n := 1
		raw := string(c.rest[name])
		if _, err := member(c.rest, name, "1", &n); err != nil {
			return err
		}
		if n != 1 {
			return badField(name, raw, "1")
		}
	}
	return nil
}

// parseTemplate refuses templates, which can make a prompt of any size.
func (c *completion) parseTemplate(limits) error {
	if raw, ok := c.rest["chat_template"]; ok {
		return badField("chat_template", string(raw), "no template of the caller's own")
	}
	return nil
}

func (c *completion) parsePriority(limits) error {
	const allowed = "a whole number from 0, which runs first, to 9"
	raw := string(c.rest["priority"])
	if _, err := member(c.rest, "priority", allowed, &c.priority); err != nil {
		return err
	}
	if c.priority < 0 || c.priority > lowestPriority {
		return badField("priority", raw, allowed)
	}
	return nil
}

// engineBody returns the request for the engine: a stream with usage and a
// bound output, and all members that the server does not know.
func (c *completion) engineBody() ([]byte, error) {
	var buf bytes.Buffer
	fmt.Fprintf(&buf, `{"max_tokens":%d,"stream":true,"stream_options":{"include_usage":true},"model":`, c.maxOutput)
	model, err := marshal(c.model)
	if err != nil {
		return nil, err
	}
	buf.Write(model)
	buf.WriteString(`,"messages":`)
	buf.Write(c.messages)
	if len(c.rest) == 0 {
		buf.WriteByte('}')
		return buf.Bytes(), nil
	}
	rest, err := marshal(c.rest)
	if err != nil {
		return nil, err
	}
	buf.WriteByte(',')
	buf.Write(rest[1:])
	return buf.Bytes(), nil
}

// marshal returns the JSON of a value without HTML escapes.
func marshal[T any](value T) (json.RawMessage, error) {
	var buf bytes.Buffer
	encoder := json.NewEncoder(&buf)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, refuser.New(refuser.Internal, "encode").WithCause(err)
	}
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), nil
}

// call returns the engine call for the conductor.
func (c *completion) call(r *request) (*conductor.Completion, error) {
	body, err := c.engineBody()
	if err != nil {
		return nil, err
	}
	return &conductor.Completion{
		Identity:          r.identity,
		Key:               r.key,
		HasIdempotencyKey: r.keyGiven,
		Model:             c.model,
		Body:              body,
		PromptTokens:      c.promptTokens,
		MaxOutput:         c.maxOutput,
		PrefixDigests:     dispatcher.PrefixDigests(c.model, c.messages),
		Priority:          c.priority,
		Deadline:          r.deadline,
	}, nil
}
