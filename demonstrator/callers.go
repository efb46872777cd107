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

	"laburnumline/framer"
)

const (
	maxAttempts           = 8
	retryBackoff          = 300 * time.Millisecond
	maxConcurrentRequests = 12
	callTimeout           = 9 * time.Second
	maxOutputTokens       = 64 // per engine call
)

// callers emulates callers that send requests to all daemons and check the responses.
type callers struct {
	client *http.Client

	mu        sync.Mutex
	addresses []string
	tally     tally
}

// tally counts requests and their outcomes as callers saw them.
type tally struct {
	// Sent counts requests, Attempts the HTTP requests that were sent for them.
	Sent, Attempts int
	// Complete counts engine calls with the complete and correct response.
	Complete int
	// Incorrect counts responses that ended normally but were incomplete or belonged to another
	// request.
	Incorrect int
	// Tokens is the sum of the token usage of complete responses.
	Tokens int64
	// Refused counts failed attempts by reason: that of the refusal, or one that the caller sets
	// when a connection is lost or a response cannot be decoded.
	Refused map[string]int
	// Unanswered counts requests without a response after all attempts.
	Unanswered int
	// Bookings counts bookings with a response, UnknownOutcomes those whose outcome stayed
	// unknown.
	Bookings, UnknownOutcomes int
	// BookingKeys are the idempotency keys of all bookings.
	BookingKeys []string
}

func newCallers(addresses []string) *callers {
	return &callers{
		client:    &http.Client{Timeout: callTimeout, Transport: framer.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxConcurrentRequests})},
		addresses: addresses,
		tally:     tally{Refused: make(map[string]int)},
	}
}

// remove removes the address of a daemon.
func (c *callers) remove(index int) { c.replace(index, "") }

func (c *callers) replace(index int, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses[index] = address
}

// addressFor returns the address of a daemon for the n-th attempt. It distributes attempts
// round-robin over the daemons that have an address, as a load balancer does.
func (c *callers) addressFor(n int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.addresses {
		if a := c.addresses[(n+i)%len(c.addresses)]; a != "" {
			return a
		}
	}
	return ""
}

func (c *callers) update(change func(t *tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.tally)
}

// sendCompletions sends n engine calls concurrently and waits until all have ended. Their
// idempotency keys begin with part, the name of the part of the demo.
func (c *callers) sendCompletions(ctx context.Context, part string, n int) {
	c.runConcurrently(n, func(i int) { c.sendCompletion(ctx, part, i) })
}

// sendBookings sends n bookings concurrently and waits until all have ended. A booking is not
// idempotent.
func (c *callers) sendBookings(ctx context.Context, part string, n int) {
	c.runConcurrently(n, func(i int) { c.sendBooking(ctx, fmt.Sprintf("booking-%s-%d", part, i), i) })
}

// runConcurrently calls run with 0 to n-1, with at most maxConcurrentRequests calls at a time.
func (c *callers) runConcurrently(n int, run func(i int)) {
	var work sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRequests)
	for i := range n {
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
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

// sendCompletion sends one engine call and retries it until the response is complete.
func (c *callers) sendCompletion(ctx context.Context, part string, index int) {
	messages := []message{
		{"system", strings.Repeat("You draft trawl specifications. ", 20)},
		{"user", fmt.Sprintf("Draft number %d of the part %s.", index, part)},
	}
	request := completionBody{Model: model, Messages: messages, MaxTokens: maxOutputTokens, Stream: true}
	request.Options.IncludeUsage = true
	body, _ := json.Marshal(request)
	encodedMessages, _ := json.Marshal(messages)
	want, _ := engineConfig().ExpectedOutput(model, encodedMessages, maxOutputTokens)
	key := fmt.Sprintf("%s-%d", part, index)
	c.update(func(t *tally) { t.Sent++ })
	for attempt := range maxAttempts {
		got, tokens, reason := c.attemptCompletion(ctx, c.addressFor(index+attempt), key, body)
		if reason == "" && got == want {
			c.update(func(t *tally) { t.Complete++; t.Tokens += tokens })
			return
		}
		if reason == "" {
			c.update(func(t *tally) { t.Incorrect++ })
			return
		}
		c.update(func(t *tally) { t.Refused[reason]++ })
		if sleep(ctx, retryBackoff) != nil {
			return
		}
	}
	c.update(func(t *tally) { t.Unanswered++ })
}

// attemptCompletion sends an engine call once. The reason is empty when the stream ended with
// [DONE].
func (c *callers) attemptCompletion(ctx context.Context, address, key string, body []byte) (text string, tokens int64, reason string) {
	response, err := c.post(ctx, address+"/v1/chat/completions", key, body)
	if err != nil {
		return "", 0, "connection_lost"
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", 0, refusalReason(response.Body)
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

// readStream reads the events of a streamed response.
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
	c.update(func(t *tally) { t.Attempts++ })
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", key)
	return c.client.Do(request)
}

// sendBooking sends one booking and retries it until there is a response or a retry reports that
// the outcome is unknown.
func (c *callers) sendBooking(ctx context.Context, key string, index int) {
	c.update(func(t *tally) { t.Sent++; t.BookingKeys = append(t.BookingKeys, key) })
	for attempt := range maxAttempts {
		reason, complete := c.attemptBooking(ctx, c.addressFor(index+attempt), key)
		if complete {
			c.update(func(t *tally) { t.Bookings++ })
			return
		}
		c.update(func(t *tally) { t.Refused[reason]++ })
		if reason == "outcome_unknown" && attempt > 0 {
			c.update(func(t *tally) { t.UnknownOutcomes++ })
			return
		}
		if sleep(ctx, retryBackoff) != nil {
			return
		}
	}
	c.update(func(t *tally) { t.Unanswered++ })
}

// attemptBooking sends a booking once. The reason applies only if the response is not complete.
func (c *callers) attemptBooking(ctx context.Context, address, key string) (reason string, complete bool) {
	response, err := c.post(ctx, address+"/v1/services/booking/places", key, []byte(`{"seats":2}`))
	if err != nil {
		return "connection_lost", false
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return refusalReason(response.Body), false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return "connection_lost", err == nil
}

// refusalReason returns the reason of a refusal: engine calls are refused with an error object,
// bookings with a problem document.
func refusalReason(r io.Reader) string {
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
