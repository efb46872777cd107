package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Services, routes and accounts of the configuration.
const (
	engineService = "huvo11a"
	plainService  = "wuno96b"
	host          = "ficu95.example"
	draftPath     = "/lohu930/"
	orderPath     = "/puxa403/"
	statusPath    = "/cufi504/"
	resumablePath = "/pufi791/"
	draftTimeout  = 12 * time.Second
	plainTimeout  = 600 * time.Millisecond
	// resumableGap is the gap after which clients abandon a resumable stream: eight times its targetItlMs.
	resumableGap = 4800 * time.Millisecond
)

// account is a tenant of the configuration.
type account struct {
	name, key string
	prepaid   int64
}

// configuration returns a version of the operator's configuration.
func configuration(version int, accounts ...account) []byte {
	return configurationWith(version, usualHeaderBytes, accounts...)
}

// configurationWith returns a version with a limit for the header of a request.
func configurationWith(version, maxHeaderBytes int, accounts ...account) []byte {
	route := func(name, prefix, kind, service string, timeout time.Duration, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "prefix": prefix, "routeType": kind, "timeoutMs": timeout.Milliseconds(),
			"targetLatencyMs": 800, "priority": 1, "backend": service, "attempts": 2, "anonymous": false, "sessionAffinity": service == engineService,
			"resumable": resumable, "targetItlMs": 300,
		}
	}
	resumable := route("r-resume", resumablePath, "streaming", engineService, draftTimeout, true)
	resumable["targetItlMs"] = resumableGap.Milliseconds() / 8
	var tenants []any
	for _, a := range accounts {
		tenants = append(tenants, map[string]any{"name": a.name, "apiKeys": []string{a.key}, "priority": 1, "prepaid": a.prepaid})
	}
	text, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("r-draft", draftPath, "streaming", engineService, draftTimeout, false),
			resumable,
			route("r-order", orderPath, "non_idempotent", plainService, plainTimeout, false),
			route("r-status", statusPath, "idempotent", plainService, plainTimeout, false),
		},
		"backends": []any{
			map[string]any{
				"name": engineService, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tlsEnabled": false,
				"backendEngine": map[string]any{"batchSlots": engineSlots, "kvCapacity": 448621, "interval": tokensPerEvent, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": plainService, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tlsEnabled": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	})
	if err != nil {
		panic(err) // the values above can be encoded
	}
	return text
}

// call is one client attempt.
type call struct {
	id             string
	method, path   string
	key            string
	prompt, output int
	body           string
	// extra holds further lines of the header, each with its line end.
	extra   string
	timeout time.Duration
	// cutAt, if set, is when the client loses its connection.
	cutAt time.Time
}

// answer is what a client has seen of a call.
type answer struct {
	call   call
	daemon string
	sentAt time.Time
	// kept is true if the connection had served a call before.
	kept   bool
	status int
	header http.Header
	// events is the number of events of a stream that arrived completely.
	events int
	// complete is true if the whole answer arrived.
	complete bool
	err      error
	endedAt  time.Time
}

// client sends calls, one after the other, on connections that it keeps.
type client struct {
	fleet *fleet

	mu          sync.Mutex
	connections map[string][]*keptConnection // idle ones by address
}

type keptConnection struct {
	net.Conn
	reader *bufio.Reader
	calls  int
	idleAt time.Time
}

func newClient(f *fleet) *client {
	return &client{fleet: f, connections: make(map[string][]*keptConnection)}
}

// maxIdle is how long a client reuses an idle connection: four fifths of the configuration's limit.
const maxIdle = 12 * time.Second

// acquire returns a connection to an address, a kept one if there is one.
func (c *client) acquire(address string) (*keptConnection, error) {
	c.mu.Lock()
	list := c.connections[address]
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		c.connections[address] = list
		if time.Since(last.idleAt) < maxIdle && !ended(last) {
			c.mu.Unlock()
			return last, nil
		}
		_ = last.Close()
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &keptConnection{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// ended reports whether the daemon has closed an idle connection.
func ended(c *keptConnection) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// newID returns the id of an attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a call to a daemon and reads the answer to its end.
func (c *client) send(d *daemon, one call) answer {
	a := answer{call: one, daemon: d.name, sentAt: time.Now()}
	defer func() {
		c.fleet.journal.printf("%s %s%s to %s: status %d, events %d, complete %v, kept %v, %v ms, error %v", one.method, one.path, one.id, d.name,
			a.status, a.events, a.complete, a.kept, a.endedAt.Sub(a.sentAt).Milliseconds(), a.err)
	}()
	address := d.address(frontendPort)
	connection, err := c.acquire(address)
	if err != nil {
		a.err, a.endedAt = err, time.Now()
		return a
	}
	a.kept = connection.calls > 0
	connection.calls++
	_ = connection.SetDeadline(time.Now().Add(one.timeout + time.Second))
	if !one.cutAt.IsZero() {
		defer time.AfterFunc(time.Until(one.cutAt), func() { _ = connection.Close() }).Stop()
	}
	reuse := false
	a.err = func() error {
		if _, err := io.WriteString(connection, one.encode()); err != nil {
			return err
		}
		response, err := http.ReadResponse(connection.reader, &http.Request{Method: one.method})
		if err != nil {
			return err
		}
		a.status, a.header = response.StatusCode, response.Header
		events, err := readBody(response.Body)
		a.events = events
		if err != nil {
			return err
		}
		a.complete = true
		reuse = !response.Close
		return nil
	}()
	a.endedAt = time.Now()
	if !reuse {
		_ = connection.Close()
		return a
	}
	connection.idleAt = time.Now()
	c.mu.Lock()
	c.connections[address] = append(c.connections[address], connection)
	c.mu.Unlock()
	return a
}

// readBody reads a body to its end and counts the complete events in it.
func readBody(body io.Reader) (events int, err error) {
	reader := bufio.NewReader(body)
	named := false
	for {
		line, err := reader.ReadString('\n')
		switch {
		case strings.HasPrefix(line, "id:"):
			named = true
		case line == "\n" && named:
			events, named = events+1, false
		}
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
	}
}

// encode returns the bytes of the request.
func (c *call) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		c.method, c.path+"2f", host, c.id, c.timeout.Milliseconds(), c.key)
	if c.prompt > 0 {
		fmt.Fprintf(&b, "Model-Id: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: 5c1e07a2:%d,%s:%d\r\n", c.prompt, c.output, c.prompt*3/4, c.id, c.prompt-c.prompt*3/4)
	}
	b.WriteString(c.extra)
	if c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	b.WriteString(c.body)
	return b.String()
}

// draft returns a call for a stream. No two calls have the same body.
func draft(a account, prompt, output int) call {
	id := newID()
	return call{
		id: id, method: http.MethodPost, path: draftPath, key: a.key, prompt: prompt, output: output,
		body: strings.Repeat(id, 25), timeout: draftTimeout,
	}
}
