package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/refuser"
)

const completionsPath = "/v1/chat/completions"

// complete serves POST /v1/chat/completions.
func (s *Server) complete(ctx context.Context, r *request) error {
	parsed, err := parseCompletion(r.body, outputLimits{s.config.DefaultOutput, s.config.MaxOutput})
	if err != nil {
		return err
	}
	call, err := parsed.conductorCall(r)
	if err != nil {
		return err
	}
	if call.MinOutput, err = minOutput(r.http, call.MaxOutput); err != nil {
		return err
	}
	r.body = nil
	if parsed.stream {
		return s.completeStream(ctx, r, call, parsed.includeUsage)
	}
	return s.completeUnstreamed(ctx, r, call)
}

// minOutput returns the value of HeaderMinOutput: the smallest output, in tokens, that
// the caller accepts if its budget does not cover maxOutput. Zero means that the header
// is absent.
func minOutput(r *http.Request, maxOutput contractor.Tokens) (contractor.Tokens, error) {
	text := r.Header.Get(HeaderMinOutput)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || contractor.Tokens(n) > maxOutput {
		return 0, invalidField(HeaderMinOutput, text, "a whole number from 1 to the request's max_tokens of %d", maxOutput)
	}
	return contractor.Tokens(n), nil
}

// completeUnstreamed collects all chunks and responds with one JSON body.
func (s *Server) completeUnstreamed(ctx context.Context, r *request, call *conductor.Completion) error {
	var c collector
	usage, err := s.config.Conductor.Complete(ctx, call, &c)
	if c.err != nil {
		return refuser.New(refuser.StreamBroken, "collect").WithPossibleExecution().WithCause(c.err)
	}
	if err != nil {
		return err
	}
	body, err := c.body(call, usage)
	if err != nil {
		return refuser.New(refuser.Internal, "encode").WithPossibleExecution().WithCause(err)
	}
	r.writeDeadline.set()
	writeJSON(r.writer, body)
	r.writeDeadline.clear()
	return nil
}

// completeStream forwards the chunks as server-sent events while they arrive. An error
// before the first event is returned and becomes an HTTP error; a later one is sent as
// the last event.
func (s *Server) completeStream(ctx context.Context, r *request, call *conductor.Completion, includeUsage bool) error {
	out := newEventWriter(r.writer, r.writeDeadline)
	defer out.releaseBuffer()
	usage, err := s.config.Conductor.Complete(ctx, call, out)
	if err != nil && !out.started {
		return err
	}
	if err != nil {
		refusal := refusalOf(r.http.Context(), err)
		s.config.Recorder.CountRefusal(refusal.Reason)
		s.config.Recorder.Count("stream.refused", 1)
		return out.writeRefusal(refusal)
	}
	if includeUsage {
		out.appendUsage(call, usage)
	}
	out.writeDone()
	return nil
}

// usageBody is the token usage in the format of the OpenAI API.
type usageBody struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

func usageOf(u conductor.Usage) usageBody {
	return usageBody{
		PromptTokens:     int64(u.PromptTokens),
		CompletionTokens: int64(u.OutputTokens),
		TotalTokens:      int64(u.Total()),
	}
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models serves GET /v1/models.
func (s *Server) models(ctx context.Context, r *request) error {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range s.config.Conductor.Models(ctx, r.identity) {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "laburnumline"})
	}
	body, err := json.Marshal(list)
	if err != nil {
		return refuser.New(refuser.Internal, "encode").WithCause(err)
	}
	writeJSON(r.writer, body)
	return nil
}

func writeJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
}
