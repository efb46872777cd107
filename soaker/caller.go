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

// request is what a caller asks.
type request struct {
	path, key string
}

// requestTime is how long callers wait.
const requestTime = 8 * time.Second

var errNotServed = errors.New("not served")

// callUntil sends requests, one after another, to daemons at random.
func (s *soak) callUntil(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		q := request{path: "/drafts/", key: firstKey}
		if random.IntN(3) == 0 {
			q.path = "/plain/"
		}
		// What was not served is in the ledger. A request that has begun is finished.
		_ = s.request(context.WithoutCancel(ctx), s.daemons[random.IntN(len(s.daemons))], q)
		_ = sleeper.Sleep(ctx, time.Duration(random.IntN(30))*time.Millisecond)
	}
}

// request sends one attempt and enters what came of it. The error says why it was not served.
func (s *soak) request(ctx context.Context, d *daemon, q request) error {
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	a := s.ledger.begin(q)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+q.path+a.id, strings.NewReader("body"))
	if err != nil {
		return err
	}
	r.Host = host
	r.Header.Set("Attempt-Id", a.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(requestTime.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+q.key)
	if q.path == "/drafts/" {
		r.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", promptTokens, outputTokens))
	}
	response, err := caller.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.ledger.end(a, response.StatusCode, response.Header.Get("Runner-Signature"), string(body), err)
	s.ledger.compare(s.site.prepaidNow(), a.id)
	if err != nil || response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d: %v", errNotServed, response.StatusCode, err)
	}
	return nil
}

// caller keeps connections open, so that callers also use those of a process that ends.
var caller = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: callers, DisableCompression: true,
}}

// whole is the whole answer to an attempt.
func whole(q request, id string) string {
	if q.path == "/drafts/" {
		return emulator.RunnerStream(events)
	}
	return "done " + q.path + id
}
