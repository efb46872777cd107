package demonstrator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	callerTries   = 8
	callerPause   = 300 * time.Millisecond
	callersAtOnce = 12
	callTimeout   = 9 * time.Second
	outputLimit   = 64 // tokens of one answer
)

// callers sends requests to all daemons and checks the answers.
type callers struct {
	client *http.Client

	mu        sync.Mutex
	addresses []string
	tally     tally
}

// tally counts what callers saw.
type tally struct {
	// Sent counts requests, Attempts the HTTP calls that they took.
	Sent, Attempts int
	// Whole counts requests with their own whole answer.
	Whole int
	// Wrong counts answers that were not the caller's own or not whole.
	Wrong int
	// Tokens is the sum of the usage of whole answers.
	Tokens int64
	// Refused counts refusals by reason.
	Refused map[string]int
	// Unanswered counts requests without an answer after all tries.
	Unanswered int
	// Bookings counts bookings with an answer, Unknown those with unknown outcome.
	Bookings, Unknown int
	// BookingKeys are the keys of all bookings.
	BookingKeys []string
}

func newCallers(addresses []string) *callers {
	return &callers{
		client:    &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callersAtOnce}},
		addresses: addresses,
		tally:     tally{Refused: make(map[string]int)},
	}
}

func (c *callers) remove(i int) { c.replace(i, "") }

func (c *callers) replace(i int, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[i] = address
}

// address returns the daemon for one attempt, as a balancer would.
func (c *callers) address(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.addresses {
		if a := c.addresses[(n+i)%len(c.addresses)]; a != "" {
			return a
		}
	}
	return ""
}

func (c *callers) count(f func(t *tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.tally)
}

// completions sends engine calls, several at a time, and waits for them.
func (c *callers) completions(ctx context.Context, part string, n int) {
	c.parallel(n, func(i int) { c.completion(ctx, part, i) })
}

// bookings sends calls that may not be repeated, and waits for them.
func (c *callers) bookings(ctx context.Context, part string, n int) {
	c.parallel(n, func(i int) { c.booking(ctx, fmt.Sprintf("booking-%s-%d", part, i), i) })
}

func (c *callers) parallel(n int, run func(i int)) {
	var work sync.WaitGroup
	places := make(chan struct{}, callersAtOnce)
	for i := range n {
		places <- struct{}{}
		work.Go(func() {
			defer func() { <-places }()
			run(i)
		})
	}
	work.Wait()
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionBody struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Options   struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// completion sends one engine call until it has a whole answer.
func (c *callers) completion(ctx context.Context, part string, i int) {
	messages := []message{
		{"system", strings.Repeat("You draft trawl specifications. ", 20)},
		{"user", fmt.Sprintf("Draft number %d of the part %s.", i, part)},
	}
	content := completionBody{Model: model, Messages: messages, MaxTokens: outputLimit, Stream: true}
	content.Options.IncludeUsage = true
	body, _ := json.Marshal(content)
	raw, _ := json.Marshal(messages)
	want, _ := engineConfig().ExpectedOutput(model, raw, outputLimit)
	key := fmt.Sprintf("%s-%d", part, i)
	c.count(func(t *tally) { t.Sent++ })
	for try := range callerTries {
		got, tokens, reason := c.stream(ctx, c.address(i+try), key, body)
		if reason == "" && got == want {
			c.count(func(t *tally) { t.Whole++; t.Tokens += tokens })
			return
		}
		if reason == "" {
			c.count(func(t *tally) { t.Wrong++ })
			return
		}
		c.count(func(t *tally) { t.Refused[reason]++ })
		if wait(ctx, callerPause) != nil {
			return
		}
	}
	c.count(func(t *tally) { t.Unanswered++ })
}

// stream makes one attempt. The reason is empty when the stream ended with [DONE].
func (c *callers) stream(ctx context.Context, address, key string, body []byte) (text string, tokens int64, reason string) {
	response, err := c.post(ctx, address+"/v1/chat/completions", key, body)
	if err != nil {
		return "", 0, "connection_lost"
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", 0, refusalOf(response.Body)
	}
	return readStream(response.Body)
}

type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens int64 `json:"total_tokens"`
	} `json:"usage"`
	Error *refusal `json:"error"`
}

type refusal struct {
	Reason string `json:"reason"`
	Ran    string `json:"ran"`
}

func readStream(r io.Reader) (text string, tokens int64, reason string) {
	var b strings.Builder
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return b.String(), tokens, ""
		}
		var event streamEvent
		if json.Unmarshal(data, &event) != nil {
			return b.String(), tokens, "malformed_event"
		}
		if event.Error != nil {
			return b.String(), tokens, event.Error.Reason
		}
		if event.Usage != nil {
			tokens = event.Usage.TotalTokens
		}
		for _, choice := range event.Choices {
			b.WriteString(choice.Delta.Content)
		}
	}
	return b.String(), tokens, "connection_lost"
}

func (c *callers) post(ctx context.Context, url, key string, body []byte) (*http.Response, error) {
	c.count(func(t *tally) { t.Attempts++ })
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", key)
	return c.client.Do(request)
}

// booking sends one booking until it has an answer or its outcome is unknown.
func (c *callers) booking(ctx context.Context, key string, i int) {
	c.count(func(t *tally) { t.Sent++; t.BookingKeys = append(t.BookingKeys, key) })
	for try := range callerTries {
		reason, whole := c.book(ctx, c.address(i+try), key)
		if whole {
			c.count(func(t *tally) { t.Bookings++ })
			return
		}
		c.count(func(t *tally) { t.Refused[reason]++ })
		if reason == "outcome_unknown" && try > 0 {
			c.count(func(t *tally) { t.Unknown++ })
			return
		}
		if wait(ctx, callerPause) != nil {
			return
		}
	}
	c.count(func(t *tally) { t.Unanswered++ })
}

func (c *callers) book(ctx context.Context, address, key string) (reason string, whole bool) {
	response, err := c.post(ctx, address+"/v1/services/booking/places", key, []byte(`{"seats":2}`))
	if err != nil {
		return "connection_lost", false
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return refusalOf(response.Body), false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return "connection_lost", err == nil
}

// refusalOf returns the reason of a refusal in either of its two forms.
func refusalOf(r io.Reader) string {
	var body struct {
		refusal
		Error *refusal `json:"error"`
	}
	if json.NewDecoder(r).Decode(&body) != nil {
		return "unreadable_refusal"
	}
	if body.Error != nil {
		return body.Error.Reason
	}
	return body.Reason
}
