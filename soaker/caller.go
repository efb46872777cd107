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
	"laburnumline/sleeper"
)

// request is one request of a caller: the prefix of its path, which selects the route, the
// caller's key, and for drafts the second part of the prompt. The first part is shared by all,
// the last one belongs to the request.
type request struct {
	path, key, part string
}

// requestTimeout is how long a caller waits for a complete response.
const requestTimeout = 8 * time.Second

var errNotServed = errors.New("not served")

// sendRequests sends one request after another, each to a random daemon, until ctx ends.
func (s *soak) sendRequests(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		req := randomDraft(random)
		if random.IntN(3) == 0 {
			req = request{path: "/plain/", key: firstKey}
		}
		// The history has the requests that were not served. When ctx ends, the request in flight
		// is completed.
		_ = s.send(context.WithoutCancel(ctx), s.daemons[random.IntN(len(s.daemons))], req)
		_ = sleeper.Sleep(ctx, time.Duration(random.IntN(30))*time.Millisecond)
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

// send sends a request to a daemon once and records the response in the history. The error
// says why the request was not served.
func (s *soak) send(ctx context.Context, d *daemon, req request) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a := s.history.begin(req)
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.frontend+req.path+a.id, strings.NewReader("body"))
	if err != nil {
		return err
	}
	httpRequest.Host = routeHost
	httpRequest.Header.Set("Attempt-Id", a.id)
	httpRequest.Header.Set("Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	httpRequest.Header.Set("Authorization", "Bearer "+req.key)
	if req.path == "/drafts/" {
		httpRequest.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
		httpRequest.Header.Set("Prompt-Prefix", fmt.Sprintf("a:100,%s:100,%s:200", req.part, a.id))
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.history.finish(a, response.StatusCode, response.Header.Get("Runner-Signature"), string(body), err)
	s.history.checkPrepaid(s.fixture.currentPrepaid(), a.id)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d: %v", errNotServed, response.StatusCode, err)
	}
	return nil
}

// client keeps connections open, which means that requests are also sent on connections to
// processes that end.
var client = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: callerCount, DisableCompression: true,
}}

// completeResponse returns the body of the complete response to an attempt.
func completeResponse(req request, id string) string {
	if req.path == "/drafts/" {
		return emulator.RunnerStream(eventsPerResponse)
	}
	return "done " + req.path + id
}
