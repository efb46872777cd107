package server

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/refuser"
)

// passedHeaders are the request headers that plain services receive.
var passedHeaders = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type",
	"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since",
	"Prefer", "Traceparent", "Tracestate", "User-Agent",
}

// serviceMethods are the methods that plain services can be called with.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

const servicePrefix = "/v1/services/"

// service answers /v1/services/{service}/*.
func (s *Server) service(ctx context.Context, r *request) error {
	call, err := serviceCall(r)
	if err != nil {
		return err
	}
	answer, err := s.config.Conductor.Call(ctx, call)
	if err != nil {
		return err
	}
	r.limit.begin()
	writeAnswer(r.writer, answer)
	r.limit.end()
	return nil
}

func serviceCall(r *request) (*conductor.ServiceCall, error) {
	name := chi.URLParam(r.http, "service")
	if !contractor.ValidName(name) {
		return nil, badField("service", name, "1 to 64 characters of a-z, 0-9, '-', '.' and '_'")
	}
	if !contains(serviceMethods, r.http.Method) {
		return nil, badField("method", r.http.Method, "%s", strings.Join(serviceMethods, ", "))
	}
	path, err := servicePath(r.http.URL, name)
	if err != nil {
		return nil, err
	}
	header := make(http.Header)
	for _, h := range passedHeaders {
		if values := r.http.Header.Values(h); len(values) > 0 {
			header[h] = values
		}
	}
	return &conductor.ServiceCall{
		Identity:          r.identity,
		Key:               r.key,
		HasIdempotencyKey: r.keyGiven,
		Service:           name,
		Method:            r.http.Method,
		Path:              path,
		Header:            header,
		Body:              r.body,
		Deadline:          r.deadline,
	}, nil
}

// servicePath returns path and query below the service's base URL, as the
// caller wrote them. A path that climbs out of the base is refused.
func servicePath(u *url.URL, service string) (string, error) {
	path := strings.TrimPrefix(u.EscapedPath(), servicePrefix+service)
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return "", badField("path", path, "a valid URL path")
	}
	for segment := range strings.SplitSeq(strings.ReplaceAll(decoded, `\`, "/"), "/") {
		if segment == ".." || segment == "." {
			return "", badField("path", path, `a path without "." and ".." segments`)
		}
	}
	if path == "" {
		path = "/"
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path, nil
}

func contains(list []string, item string) bool {
	for _, l := range list {
		if l == item {
			return true
		}
	}
	return false
}

func writeAnswer(w http.ResponseWriter, answer *conductor.Response) {
	h := w.Header()
	for name, values := range answer.Header {
		if name == HeaderIdempotencyKey || name == HeaderRequestID {
			continue
		}
		h[name] = values
	}
	if answer.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	if len(answer.Body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// unknownPath refuses paths that the server does not have.
func (s *Server) unknownPath(w http.ResponseWriter, r *http.Request) {
	refusal := badField("path", r.URL.Path, "%s, /v1/models, %sSERVICE/...", completionsPath, servicePrefix)
	s.refuseRoute(w, r, http.StatusNotFound, refusal)
}

// unknownMethod refuses methods that a path does not have.
func (s *Server) unknownMethod(w http.ResponseWriter, r *http.Request) {
	refusal := badField("method", r.Method, "POST for %s, GET for /v1/models", completionsPath)
	s.refuseRoute(w, r, http.StatusMethodNotAllowed, refusal)
}

// refuseRoute refuses in the form that the path's clients parse.
func (s *Server) refuseRoute(w http.ResponseWriter, r *http.Request, status int, refusal *refuser.Refusal) {
	s.config.Recorder.CountRefusal(refusal.Reason)
	if strings.HasPrefix(r.URL.Path, "/v1/") && !strings.HasPrefix(r.URL.Path, servicePrefix) {
		writeRefusal(w, status, refusal, "application/json", engineErrorOf(refusal))
		return
	}
	writeProblemStatus(w, status, refusal)
}
