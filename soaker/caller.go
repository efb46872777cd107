package soaker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"laburnumline/emulator"
	"laburnumline/framer"
	"laburnumline/sleeper"
)

// request is one request of a caller: the prefix of its path, which selects the route, the
// caller's key, and for drafts the second part of the prompt. The first part is shared by all,
// the last one belongs to the request.
type request struct {
	path, key, part string
	// received are the events that earlier attempts have received, and resumes the one that
	// received the first of them. Both are empty for a new stream.
	received, resumes string
}

// requestTimeout is how long a caller waits for a complete response.
const requestTimeout = 8 * time.Second

var errNotServed = errors.New("not served")

// sendRequests sends one request after another, each to a random daemon, until ctx ends.
func (s *soak) sendRequests(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		req := randomDraft(random)
		if s.config.Planned && req.part == crashPart {
			continue
		}
		if random.IntN(3) == 0 {
			req = request{path: "/plain/", key: firstKey}
		}
		s.sendUntilComplete(context.WithoutCancel(ctx), req, random)
		_ = sleeper.Sleep(ctx, time.Duration(random.IntN(30))*time.Millisecond)
	}
}

// maxAttempts limits the attempts for one stream.
const maxAttempts = 3

// sendUntilComplete sends a request to a random daemon, and resumes its stream at others if it breaks
// off. The history has the requests that were not served.
func (s *soak) sendUntilComplete(ctx context.Context, req request, random *rand.Rand) {
	for range maxAttempts {
		result := s.attempt(ctx, s.daemons[random.IntN(len(s.daemons))], req)
		if result.err == nil {
			return
		}
		if whole := result.body[:framer.CompleteEvents([]byte(result.body))]; whole != "" && result.status == http.StatusOK {
			if req.received == "" {
				req.resumes = result.id
			}
			req.received += whole
		}
		if req.received == "" {
			return
		}
	}
}

// crashFraction is the inverse of the fraction of drafts with crashPart.
const crashFraction = 60

func randomDraft(random *rand.Rand) request {
	req := request{path: "/drafts/", key: firstKey, part: fmt.Sprint("b", random.IntN(8))}
	if random.IntN(crashFraction) == 0 {
		req.part = crashPart
	}
	return req
}

// result is what a caller received in one attempt.
type result struct {
	id     string
	status int
	body   string
	err    error // why the request was not served
}

// send sends a request to a daemon once. The error says why the request was not served.
func (s *soak) send(ctx context.Context, d *daemon, req request) error {
	return s.attempt(ctx, d, req).err
}

// attempt sends a request to a daemon once and records the response in the history.
func (s *soak) attempt(ctx context.Context, d *daemon, req request) result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a := s.history.begin(req)
	httpRequest, err := newHTTPRequest(ctx, d, a)
	if err != nil {
		return result{id: a.id, err: err}
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		if ctx.Err() == nil {
			s.history.recordCut(a) // also if no connection was opened, in which case the request has not run
		}
		return result{id: a.id, err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil && ctx.Err() == nil {
		s.history.recordCut(a)
	}
	s.history.finish(a, response.StatusCode, response.Header.Get("Runner-Signature"), string(body), err)
	s.history.checkPrepaid(s.fixture.currentPrepaid(), a.id)
	if err != nil || response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%w: status %d: %v", errNotServed, response.StatusCode, err)
	}
	return result{id: a.id, status: response.StatusCode, body: string(body), err: err}
}

func newHTTPRequest(ctx context.Context, d *daemon, a *attempt) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.frontend+a.request.path+a.id, strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	r.Host = routeHost
	r.Header.Set("Attempt-Id", a.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+a.request.key)
	if a.request.path == "/drafts/" {
		r.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
		r.Header.Set("Prompt-Prefix", fmt.Sprintf("a:100,%s:100,%s:200", a.request.part, a.id))
	}
	if a.request.received != "" {
		r.Header.Set("Last-Event-Id", fmt.Sprint(strings.Count(a.request.received, "\n\n")))
		r.Header.Set("Resumes", a.request.resumes)
	}
	return r, nil
}

// client keeps connections open, which means that requests are also sent on connections to
// processes that end.
var client = &http.Client{Transport: framer.NewTransport(&http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: callerCount, DisableCompression: true,
})}

// completeResponses returns the bodies that complete the response to an attempt: one for each
// software version that may have begun the stream.
func completeResponses(req request, id string) []string {
	if req.path != "/drafts/" {
		return []string{"done " + req.path + id}
	}
	var bodies []string
	for _, software := range softwareVersions {
		if rest, ok := strings.CutPrefix(emulator.VersionedStream(eventsPerResponse, software), req.received); ok {
			bodies = append(bodies, rest)
		}
	}
	return bodies
}
