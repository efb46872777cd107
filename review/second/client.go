package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	timeLimit = 15 * time.Second
	// eventGap is the gap after which a client abandons a stream: the longest of two seconds, four times the objective of
	// 500 ms and eight times the pause of 250 ms.
	eventGap = 2 * time.Second
	// connectTime is what a client allows a new connection.
	connectTime = time.Second
	// maxTries is the number of attempts that a client makes within its time limit.
	maxTries = 4
	promptIn = 1460
	// sharedParts is the number of different prompt parts that requests share.
	sharedParts = 222
)

var nextID atomic.Int64

func newID() string { return fmt.Sprintf("9c41d07b%08x", nextID.Add(1)) }

// try is one attempt of a client.
type try struct {
	id       string
	daemon   *daemon
	inTouch  bool // the daemon was in touch when the attempt began and when it ended
	takesUp  bool // it takes a stream up
	at       time.Time
	status   int
	events   int
	versions map[string]bool
	complete bool
	// signature names the runner whose answer the client has got at answeredAt. leaving is true if the answer says that it
	// leaves.
	signature  string
	answeredAt time.Time
	leaving    bool
}

// stream is a client's request for a stream with all its attempts.
type stream struct {
	tries []*try
	// parts are the prompt's parts before its own one, key is the caller's key. No two requests have the same body.
	parts, key, body string
	// lastEvent is the last event that the client has, first the attempt that brought the first one.
	lastEvent int
	first     string
	complete  bool
}

// traffic is what clients have asked for.
type traffic struct {
	mu      sync.Mutex
	streams []*stream
	active  sync.WaitGroup
}

// send begins streams until stop is closed.
func (t *traffic) send(w *world, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(w.load.perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		t.active.Add(1)
		go func() {
			defer t.active.Done()
			t.begin(w, &stream{key: key, parts: fmt.Sprintf("5c1e%04x:350", rand.IntN(sharedParts))})
		}()
	}
}

// begin runs a stream.
func (t *traffic) begin(w *world, s *stream) {
	t.mu.Lock()
	t.streams = append(t.streams, s)
	t.mu.Unlock()
	s.body = strings.Repeat(newID(), 100)
	s.run(w)
}

// run makes attempts until the stream is complete.
func (s *stream) run(w *world) {
	deadline := time.Now().Add(timeLimit)
	used := make(map[*daemon]bool)
	for len(s.tries) < maxTries && time.Until(deadline) > 100*time.Millisecond {
		d := w.pick(used)
		used[d] = true
		wait, again := s.attempt(w, d, deadline)
		if !again {
			return
		}
		time.Sleep(wait)
	}
}

var softwareOf = regexp.MustCompile(`of (v[0-9]+)$`)

// attempt makes one attempt, and returns whether and after which time the client makes another.
func (s *stream) attempt(w *world, d *daemon, deadline time.Time) (wait time.Duration, again bool) {
	t := &try{id: newID(), daemon: d, inTouch: d.inTouch(), at: time.Now(), takesUp: s.lastEvent > 0, versions: make(map[string]bool)}
	s.tries = append(s.tries, t)
	d.count(1)
	defer d.count(-1)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	silence := time.AfterFunc(eventGap, cancel)
	defer silence.Stop()
	defer func() {
		t.inTouch = t.inTouch && d.inTouch()
		w.logf("client attempt %s at %s, takes up %v: status %d, %d events of %v, complete %v", t.id, d.name, t.takesUp, t.status, t.events, t.versions, t.complete)
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.frontend()+streamPrefix+"2f", strings.NewReader(s.body))
	if err != nil {
		return 0, false
	}
	request.Host = routeHost
	h := request.Header
	h.Set("Attempt-Id", t.id)
	h.Set("Authorization", "Bearer "+s.key)
	h.Set("Model-Id", "m")
	h.Set("Token-Usage", fmt.Sprintf("%d,%d", promptIn, 3*w.load.events))
	h.Set("Prompt-Prefix", fmt.Sprintf("%s,e440%s:1110", s.parts, t.id[8:]))
	h.Set("Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	if s.lastEvent > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(s.lastEvent))
		h.Set("Resumes", s.first)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: connectTime}).DialContext}}
	response, err := client.Do(request)
	if err != nil {
		t.hang(ctx)
		return 0, true
	}
	defer response.Body.Close()
	t.status, t.answeredAt = response.StatusCode, time.Now()
	t.signature, t.leaving = response.Header.Get("Runner-Signature"), response.Header.Get("Server-Leaving") == "1"
	if response.StatusCode != http.StatusOK {
		after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64) // zero without the header
		return min(time.Duration(after*float64(time.Second)), time.Until(deadline)/3), response.StatusCode >= http.StatusInternalServerError
	}
	s.read(w, t, response, silence)
	if !t.complete {
		t.hang(ctx)
	}
	return 0, !s.complete
}

// hang waits until the client gives the attempt up, if its connection hangs.
func (t *try) hang(ctx context.Context) {
	if t.daemon.hangs(t.at) {
		<-ctx.Done()
	}
}

// read reads events until the stream ends.
func (s *stream) read(w *world, t *try, response *http.Response, silence *time.Timer) {
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		silence.Reset(eventGap)
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.lastEvent, _ = strconv.Atoi(id) // the stand-in numbers its events
			t.events++
			if s.first == "" {
				s.first = t.id
			}
		}
		if m := softwareOf.FindStringSubmatch(lines.Text()); m != nil {
			t.versions[m[1]] = true
		}
	}
	t.complete = lines.Err() == nil && s.lastEvent == w.load.events
	s.complete = s.complete || t.complete
}
