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

// forwardedHeaders are the request headers that are forwarded to plain services.
var forwardedHeaders = []string{
	"Accept", "Accept-Language", "Content-Encoding", "Content-Language", "Content-Type",
	"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since",
	"Prefer", "Traceparent", "Tracestate", "User-Agent",
}

// serviceMethods are the HTTP methods that calls of plain services may have.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

const servicePrefix = "/v1/services/"

// service serves /v1/services/{service}/*.
func (s *Server) service(ctx context.Context, r *request) error {
	call, err := newServiceCall(r)
	if err != nil {
		return err
	}
	response, err := s.config.Conductor.Call(ctx, call)
	if err != nil {
		return err
	}
	r.writeDeadline.set()
	writeServiceResponse(r.writer, response)
	r.writeDeadline.clear()
	return nil
}

func newServiceCall(r *request) (*conductor.ServiceCall, error) {
	name := chi.URLParam(r.http, "service")
	if !contractor.ValidName(name) {
		return nil, invalidField("service", name, "1 to 64 characters of a-z, 0-9, '-', '.' and '_'")
	}
	if !contains(serviceMethods, r.http.Method) {
		return nil, invalidField("method", r.http.Method, "%s", strings.Join(serviceMethods, ", "))
	}
	path, err := servicePath(r.http.URL, name)
	if err != nil {
		return nil, err
	}
	header := make(http.Header)
	for _, h := range forwardedHeaders {
		if values := r.http.Header.Values(h); len(values) > 0 {
			header[h] = values
		}
	}
	return &conductor.ServiceCall{
		Identity:          r.identity,
		Key:               r.key,
		HasIdempotencyKey: r.hasIdempotencyKey,
		Service:           name,
		Method:            r.http.Method,
		Path:              path,
		Header:            header,
		Body:              r.body,
		Deadline:          r.deadline,
	}, nil
}

// servicePath returns the path and the query below the service's base URL, in the
// caller's encoding. Paths with "." or ".." segments, which could leave the base URL, are
// refused.
func servicePath(u *url.URL, service string) (string, error) {
	path := strings.TrimPrefix(u.EscapedPath(), servicePrefix+service)
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return "", invalidField("path", path, "a valid URL path")
	}
	for segment := range strings.SplitSeq(strings.ReplaceAll(decoded, `\`, "/"), "/") {
		if segment == ".." || segment == "." {
			return "", invalidField("path", path, `a path without "." and ".." segments`)
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

func writeServiceResponse(w http.ResponseWriter, response *conductor.Response) {
	h := w.Header()
	for name, values := range response.Header {
		if name == HeaderIdempotencyKey || name == HeaderRequestID {
			continue
		}
		h[name] = values
	}
	if response.Replayed {
		h.Set(HeaderReplayed, "true")
	}
	if len(response.Body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

// unknownPath refuses requests for paths that do not exist.
func (s *Server) unknownPath(w http.ResponseWriter, r *http.Request) {
	refusal := invalidField("path", r.URL.Path, "%s, /v1/models, %sSERVICE/...", completionsPath, servicePrefix)
	s.refuseRoute(w, r, http.StatusNotFound, refusal)
}

// unknownMethod refuses requests with a method that the path does not support.
func (s *Server) unknownMethod(w http.ResponseWriter, r *http.Request) {
	refusal := invalidField("method", r.Method, "POST for %s, GET for /v1/models", completionsPath)
	s.refuseRoute(w, r, http.StatusMethodNotAllowed, refusal)
}

// refuseRoute writes a refusal in the format that the clients of the path expect.
func (s *Server) refuseRoute(w http.ResponseWriter, r *http.Request, status int, refusal *refuser.Refusal) {
	s.config.Recorder.CountRefusal(refusal.Reason)
	if strings.HasPrefix(r.URL.Path, "/v1/") && !strings.HasPrefix(r.URL.Path, servicePrefix) {
		writeRefusal(w, status, refusal, "application/json", newOpenAIError(refusal))
		return
	}
	writeProblemWithStatus(w, status, refusal)
}
