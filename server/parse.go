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
	// messageOverheadTokens is an upper limit of the tokens that a chat template adds
	// to each message.
	messageOverheadTokens = 16
	// promptOverheadTokens is an upper limit of the tokens that a chat template adds
	// to the prompt as a whole.
	promptOverheadTokens = 16
	maxModelNameBytes    = 256
	maxMessages          = 10000
	maxPriority          = 9
)

// jsonObject is a JSON object with undecoded members. Members that the server does not
// know are forwarded to the engine unchanged.
type jsonObject map[string]json.RawMessage

// completion is a validated request to /v1/chat/completions.
type completion struct {
	model        string
	stream       bool
	includeUsage bool
	maxOutput    contractor.Tokens
	promptTokens contractor.Tokens // upper limit
	priority     int
	messages     json.RawMessage
	otherMembers jsonObject
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// promptMembers are the members, besides messages, that engines include in the prompt.
var promptMembers = []string{"tools", "functions", "tool_choice", "response_format", "guided_json", "documents", "chat_template_kwargs"}

// outputLimits are the default and the maximum of max_tokens.
type outputLimits struct {
	defaultOutput contractor.Tokens
	maxOutput     contractor.Tokens
}

// parseCompletion parses and validates a request body. The error is a refusal that names
// the invalid field.
func parseCompletion(body []byte, limits outputLimits) (*completion, error) {
	var members jsonObject
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, invalidField("body", string(body), "a JSON object (%v)", err)
	}
	if members == nil {
		return nil, invalidField("body", string(body), "a JSON object")
	}
	c := &completion{otherMembers: members}
	for _, parse := range []func(outputLimits) error{c.parseModel, c.parseMessages, c.parseStream, c.parseOutput, c.parseChoiceCount, c.rejectTemplate, c.parsePriority} {
		if err := parse(limits); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// takeMember decodes the named member into out, removes it from members and reports
// whether it was present. If it is absent or null, out is unchanged.
func takeMember[T any](members jsonObject, name, allowed string, out *T) (bool, error) {
	raw, ok := members[name]
	delete(members, name)
	if !ok || string(raw) == "null" {
		return false, nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return false, invalidField(name, string(raw), "%s", allowed)
	}
	return true, nil
}

func (c *completion) parseModel(outputLimits) error {
	const allowed = "a string of 1 to 256 bytes"
	if _, err := takeMember(c.otherMembers, "model", allowed, &c.model); err != nil {
		return err
	}
	if c.model == "" || len(c.model) > maxModelNameBytes {
		return invalidField("model", c.model, allowed)
	}
	return nil
}

func (c *completion) parseMessages(outputLimits) error {
	const allowed = "a list of 1 to 10000 messages"
	var messages []json.RawMessage
	raw := c.otherMembers["messages"]
	if _, err := takeMember(c.otherMembers, "messages", allowed, &messages); err != nil {
		return err
	}
	if len(messages) == 0 || len(messages) > maxMessages {
		return invalidField("messages", string(raw), allowed)
	}
	c.promptTokens = promptOverheadTokens
	for i, m := range messages {
		canonical, size, err := checkMessage(fmt.Sprintf("messages[%d]", i), m)
		if err != nil {
			return err
		}
		messages[i] = canonical
		c.promptTokens += contractor.Tokens(size + messageOverheadTokens)
	}
	for _, name := range promptMembers {
		c.promptTokens += contractor.Tokens(len(c.otherMembers[name]))
	}
	var err error
	c.messages, err = marshal(messages)
	return err
}

// checkMessage returns the message encoded anew, without duplicate members, and an upper
// limit of its tokens. Every token is at least one byte long, so the limit is a number of
// bytes: the decoded length of a plain string content, and the encoded length of
// everything else.
func checkMessage(field string, raw json.RawMessage) (json.RawMessage, int, error) {
	var members jsonObject
	if err := json.Unmarshal(raw, &members); err != nil || members == nil {
		return nil, 0, invalidField(field, string(raw), "an object with role and content")
	}
	var role string
	if err := json.Unmarshal(members["role"], &role); err != nil || role == "" {
		return nil, 0, invalidField(field+".role", string(members["role"]), "a string such as user")
	}
	content, size, err := checkContent(field+".content", members["content"])
	if err != nil {
		return nil, 0, err
	}
	if content != nil {
		members["content"] = content
	}
	canonical, err := marshalRoleFirst(members)
	return canonical, len(canonical) - len(content) + size, err
}

// marshalRoleFirst encodes a message with its role as the first member, in the order in
// which prompts have it. Messages of different roles then have no common prefix.
func marshalRoleFirst(members jsonObject) (json.RawMessage, error) {
	role := members["role"]
	delete(members, "role")
	rest, err := marshal(members)
	if err != nil {
		return nil, err
	}
	out := append(json.RawMessage(`{"role":`), role...)
	if len(members) > 0 {
		out = append(out, ',')
	}
	return append(out, rest[1:]...), nil
}

// checkContent returns a message's content encoded anew and an upper limit of its tokens.
func checkContent(field string, raw json.RawMessage) (json.RawMessage, int, error) {
	if len(raw) == 0 || string(raw) == "null" {
		return nil, 0, nil
	}
	if raw[0] == '"' {
		var text string
		if err := json.Unmarshal(raw, &text); err != nil {
			return nil, 0, invalidField(field, string(raw), "a string")
		}
		canonical, err := marshal(text)
		return canonical, len(text), err
	}
	var parts []jsonObject
	if err := json.Unmarshal(raw, &parts); err != nil {
		return nil, 0, invalidField(field, string(raw), "a string or a list of parts of type text")
	}
	for i, p := range parts {
		if kind := string(p["type"]); kind != `"text"` && kind != `"refusal"` {
			return nil, 0, invalidField(fmt.Sprintf("%s[%d].type", field, i), kind, "text or refusal: the size of other parts has no bound")
		}
	}
	canonical, err := marshal(parts)
	return canonical, len(canonical), err
}

func (c *completion) parseStream(outputLimits) error {
	if _, err := takeMember(c.otherMembers, "stream", "true or false", &c.stream); err != nil {
		return err
	}
	var options streamOptions
	present, err := takeMember(c.otherMembers, "stream_options", "an object with include_usage", &options)
	if err != nil {
		return err
	}
	if present && !c.stream {
		return invalidField("stream_options", "an object", "only together with stream: true")
	}
	c.includeUsage = options.IncludeUsage
	return nil
}

func (c *completion) parseOutput(limits outputLimits) error {
	c.maxOutput = limits.defaultOutput
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		allowed := fmt.Sprintf("a whole number from 1 to %d", limits.maxOutput)
		var n contractor.Tokens
		raw := string(c.otherMembers[name])
		present, err := takeMember(c.otherMembers, name, allowed, &n)
		if err != nil {
			return err
		}
		if !present {
			continue
		}
		if n < 1 || n > limits.maxOutput {
			return invalidField(name, raw, "%s", allowed)
		}
		c.maxOutput = n
	}
	return nil
}

// parseChoiceCount refuses requests for more than one choice, because max_tokens does not
// limit the total output of several choices.
func (c *completion) parseChoiceCount(outputLimits) error {
	for _, name := range []string{"n", "best_of"} {
		n := 1
		raw := string(c.otherMembers[name])
		if _, err := takeMember(c.otherMembers, name, "1", &n); err != nil {
			return err
		}
		if n != 1 {
			return invalidField(name, raw, "1")
		}
	}
	return nil
}

// rejectTemplate refuses a chat template of the caller, because it could produce a prompt
// of any size.
func (c *completion) rejectTemplate(outputLimits) error {
	if raw, ok := c.otherMembers["chat_template"]; ok {
		return invalidField("chat_template", string(raw), "no template of the caller's own")
	}
	return nil
}

func (c *completion) parsePriority(outputLimits) error {
	const allowed = "a whole number from 0, which runs first, to 9"
	raw := string(c.otherMembers["priority"])
	if _, err := takeMember(c.otherMembers, "priority", allowed, &c.priority); err != nil {
		return err
	}
	if c.priority < 0 || c.priority > maxPriority {
		return invalidField("priority", raw, allowed)
	}
	return nil
}

// engineBody returns the request body for the engine. It always requests a stream with
// usage and sets max_tokens. Members that the server does not know are unchanged.
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
	if len(c.otherMembers) == 0 {
		buf.WriteByte('}')
		return buf.Bytes(), nil
	}
	rest, err := marshal(c.otherMembers)
	if err != nil {
		return nil, err
	}
	buf.WriteByte(',')
	buf.Write(rest[1:])
	return buf.Bytes(), nil
}

// marshal returns the JSON encoding of value without HTML escapes.
func marshal[T any](value T) (json.RawMessage, error) {
	var buf bytes.Buffer
	encoder := json.NewEncoder(&buf)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, refuser.New(refuser.Internal, "encode").WithCause(err)
	}
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), nil
}

// conductorCall returns the call that the Conductor runs.
func (c *completion) conductorCall(r *request) (*conductor.Completion, error) {
	body, err := c.engineBody()
	if err != nil {
		return nil, err
	}
	return &conductor.Completion{
		Identity:          r.identity,
		Key:               r.key,
		HasIdempotencyKey: r.hasIdempotencyKey,
		Model:             c.model,
		Body:              body,
		PromptTokens:      c.promptTokens,
		MaxOutput:         c.maxOutput,
		PrefixDigests:     dispatcher.PrefixDigests(c.model, c.messages),
		Priority:          c.priority,
		Deadline:          r.deadline,
	}, nil
}
