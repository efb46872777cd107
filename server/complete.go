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

// complete answers POST /v1/chat/completions.
func (s *Server) complete(ctx context.Context, r *request) error {
	checked, err := parseCompletion(r.body, limits{s.config.DefaultMaxOutput, s.config.MostOutput})
	if err != nil {
		return err
	}
	call, err := checked.call(r)
	if err != nil {
		return err
	}
	if call.MinOutput, err = leastOutput(r.http, call.MaxOutput); err != nil {
		return err
	}
	r.body = nil
	if checked.stream {
		return s.stream(ctx, r, call, checked.includeUsage)
	}
	return s.whole(ctx, r, call)
}

// leastOutput returns the smallest permitted output that the caller accepts.
func leastOutput(r *http.Request, most contractor.Tokens) (contractor.Tokens, error) {
	text := r.Header.Get(HeaderLeastOutput)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 1 || contractor.Tokens(n) > most {
		return 0, badField(HeaderLeastOutput, text, "a whole number from 1 to the request's max_tokens of %d", most)
	}
	return contractor.Tokens(n), nil
}

// whole collects the chunks and answers with one JSON body.
func (s *Server) whole(ctx context.Context, r *request, call *conductor.Completion) error {
	var c collector
	used, err := s.config.Conductor.Complete(ctx, call, &c)
	if c.err != nil {
		return refuser.New(refuser.StreamBroken, "collect").WithPossibleExecution().WithCause(c.err)
	}
	if err != nil {
		return err
	}
	body, err := c.body(call, used)
	if err != nil {
		return refuser.New(refuser.Internal, "encode").WithPossibleExecution().WithCause(err)
	}
	r.limit.begin()
	writeJSON(r.writer, body)
	r.limit.end()
	return nil
}

// stream passes the chunks on as they come.
func (s *Server) stream(ctx context.Context, r *request, call *conductor.Completion, includeUsage bool) error {
	out := newEventWriter(r.writer, r.limit)
	defer out.release()
	used, err := s.config.Conductor.Complete(ctx, call, out)
	if err != nil && !out.started {
		return err
	}
	if err != nil {
		refusal := refusalOf(r.http.Context(), err)
		s.config.Recorder.CountRefusal(refusal.Reason)
		s.config.Recorder.Count("stream.refused", 1)
		return out.refuse(refusal)
	}
	if includeUsage {
		out.usage(call, used)
	}
	out.done()
	return nil
}

// usageBody is the usage in the form that OpenAI-compatible clients parse.
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

// models answers GET /v1/models.
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
