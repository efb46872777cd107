package stage

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Draft is a request for a stream.
type Draft struct {
	Tenant         string
	Prompt, Output int // tokens
	// Deadline is how long the client waits, over all its attempts.
	Deadline time.Duration
	// MaxAttempts is how often the client tries.
	MaxAttempts int
	// Connection is the kept connection on which the first attempt is sent. Without one it gets a new connection, as retries do.
	Connection *Connection
	// Daemon gets the first attempt on a new connection, or a daemon in rotation if it is nil. Retries go to daemons in rotation.
	Daemon *Daemon
}

// Attempt is the result of one client attempt.
type Attempt struct {
	ID     string
	Daemon *Daemon
	SentAt time.Time
	// Status is zero without an answer. AnsweredAt is when the answer's header came, EndedAt when the attempt ended.
	Status              int
	AnsweredAt, EndedAt time.Time
	Events              int
	Complete            bool
	// Leaving is the runner's word that it leaves, in the answer's header.
	Leaving bool
	// Runner is the one that has signed the answer.
	Runner     string
	RetryAfter time.Duration
	Err        error
}

// retryDelay is how long a client that was not told when to come back waits between two attempts.
const retryDelay = 900 * time.Millisecond

var lastAttempt atomic.Int64

// NewAttemptID returns the ID of the next client attempt.
func NewAttemptID() string {
	return fmt.Sprintf("%08x%08x", lastAttempt.Add(1), rand.Uint32())
}

// Pick returns a daemon in rotation, or any if none is.
func (s *Stage) Pick() *Daemon {
	var ready []*Daemon
	for _, d := range s.Daemons {
		if d.InRotation() {
			ready = append(ready, d)
		}
	}
	if len(ready) == 0 {
		ready = s.Daemons
	}
	return ready[rand.IntN(len(ready))]
}

// Connection is a connection that a client keeps open for many requests. It stays with its daemon.
type Connection struct {
	Daemon    *Daemon
	transport *http.Transport
}

// Keep returns a connection to a daemon in rotation, which is opened with its first request.
func (s *Stage) Keep() *Connection {
	return &Connection{Daemon: s.Pick(), transport: newTransport()}
}

// Close closes the connection.
func (c *Connection) Close() { c.transport.CloseIdleConnections() }

func newTransport() *http.Transport {
	return &http.Transport{DisableCompression: true, MaxConnsPerHost: 1, IdleConnTimeout: 12 * time.Second, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
}

// Send sends a draft and takes a broken stream up again, each time on a new connection. It returns all attempts.
func (s *Stage) Send(ctx context.Context, d Draft) []Attempt {
	end := time.Now().Add(d.Deadline)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var attempts []Attempt
	lastEvent, first := 0, ""
	for len(attempts) < max(d.MaxAttempts, 1) && ctx.Err() == nil {
		connection := d.Connection
		if connection == nil || len(attempts) > 0 {
			connection = s.Keep()
			if d.Daemon != nil && len(attempts) == 0 {
				connection.Daemon = d.Daemon
			}
		}
		a := s.attempt(ctx, &d, connection, time.Until(end), &lastEvent, first)
		if connection != d.Connection {
			connection.Close()
		}
		attempts = append(attempts, a)
		if a.Events > 0 && first == "" {
			first = a.ID
		}
		if a.Complete || a.Status == http.StatusPaymentRequired || a.Status == http.StatusUnauthorized || a.Status == http.StatusNotFound {
			break
		}
		wait := min(max(a.RetryAfter, retryDelay), time.Until(end)/3)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return attempts
}

func (s *Stage) attempt(ctx context.Context, d *Draft, c *Connection, left time.Duration, lastEvent *int, first string) (a Attempt) {
	daemon := c.Daemon
	a = Attempt{ID: NewAttemptID(), Daemon: daemon, SentAt: time.Now()}
	defer func() {
		a.EndedAt = time.Now()
		s.Log("attempt %s of %s at %s, %d+%d tokens, resumes %q after %d: status %d, %d events, complete %v, took %v, err %v", a.ID, d.Tenant, daemon.Name,
			d.Prompt, d.Output, first, *lastEvent-a.Events, a.Status, a.Events, a.Complete, a.EndedAt.Sub(a.SentAt).Round(time.Millisecond), a.Err)
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon.Frontend+ModelPath+"2f", strings.NewReader("prompt of "+a.ID))
	if err != nil {
		a.Err = err
		return a
	}
	request.Host = Host
	for name, value := range map[string]string{
		"Attempt-Id": a.ID, "Model-Id": "m", "Token-Usage": fmt.Sprintf("%d,%d", d.Prompt, d.Output),
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:%d,%08x:%d", d.Prompt/2, rand.Uint32(), d.Prompt-d.Prompt/2),
		"Deadline-Ms":   strconv.FormatInt(max(left.Milliseconds(), 1), 10), "Authorization": "Bearer " + d.Tenant,
	} {
		request.Header.Set(name, value)
	}
	if first != "" {
		request.Header.Set("Last-Event-Id", strconv.Itoa(*lastEvent))
		request.Header.Set("Resumes", first)
	}
	response, err := (&http.Client{Transport: c.transport}).Do(request)
	if err != nil {
		a.Err = err
		return a
	}
	defer response.Body.Close()
	a.Status, a.AnsweredAt, a.Leaving = response.StatusCode, time.Now(), response.Header.Get("Server-Leaving") == "1"
	a.Runner = runnerOf(response.Header.Get("Runner-Signature"))
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if a.Status != http.StatusOK {
		_, a.Err = io.Copy(io.Discard, response.Body)
		return a
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			n, err := strconv.Atoi(id)
			if err != nil || n != *lastEvent+1 {
				a.Err = fmt.Errorf("event %q after %d", id, *lastEvent)
				return a
			}
			*lastEvent = n
			a.Events++
		}
	}
	a.Err = lines.Err()
	a.Complete = a.Err == nil && *lastEvent == d.Output/TokensPerEvent
	return a
}

// IsTimeout reports whether an error means that the client's time was over.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// runnerOf returns the runner that has made a signature.
func runnerOf(signature string) string {
	parts := strings.Split(signature, ".")
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}
