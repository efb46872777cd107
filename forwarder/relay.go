package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"laburnumline/connector"
	"laburnumline/recorder"
)

// streamBuffer is the size of the buffer for events, in bytes. An event has some
// hundred bytes.
const streamBuffer = 4 << 10

var errTooLong = fmt.Errorf("the answer is longer than %d bytes", maxAnswer)

// plainAnswer is an answer that was read whole.
type plainAnswer struct {
	status int
	header http.Header
	body   []byte
}

func readPlain(a *connector.Response) (*plainAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer+1))
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	if len(body) > maxAnswer {
		return nil, errTooLong
	}
	return &plainAnswer{status: a.Status, header: a.Header, body: body}, nil
}

// drain reads the rest of an answer that is not passed on, so that its connection
// can be kept.
func drain(a *connector.Response) {
	// An error just means that the connection is closed.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, streamBuffer))
}

func (p *plainAnswer) write(w http.ResponseWriter) {
	passHeader(w.Header(), p.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(p.body)))
	w.WriteHeader(p.status)
	// An error means that the caller has gone.
	_, _ = w.Write(p.body)
}

// passPlain reads an answer whole before any of it is passed on, so that a broken
// one can be answered truthfully.
func (x *exchange) passPlain(a *connector.Response) *failure {
	p, err := readPlain(a)
	if err != nil {
		return x.broken(err)
	}
	x.begin()
	p.write(x.writer)
	return nil
}

// passStream passes events on as they arrive, each only when it is whole.
func (x *exchange) passStream(a *connector.Response) *failure {
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole := wholeEvents(pending)
		if errors.Is(err, io.EOF) {
			whole = len(pending)
		}
		if whole > 0 {
			if !x.passEvents(a, pending[:whole]) {
				return x.broken(errCallerGone)
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		if errors.Is(err, io.EOF) {
			x.beginStream(a)
			return nil
		}
		if err != nil {
			x.forwarder.config.Recorder.Event(recorder.AnswerBroken, "id", x.request.ID, "last_event", x.lastEvent,
				"events", x.events, "err", err)
			failed := x.broken(err)
			failed.broken = true
			return failed
		}
	}
}

var errCallerGone = errors.New("the caller has gone")

// beginStream writes the head of the answer. An answer that goes on elsewhere keeps
// the head of its first upstream.
func (x *exchange) beginStream(a *connector.Response) {
	if x.begun {
		return
	}
	x.begin()
	passHeader(x.writer.Header(), a.Header)
	x.writer.Header().Del("Content-Length")
	x.writer.WriteHeader(a.Status)
}

// passEvents writes whole events and reports whether the caller took them.
func (x *exchange) passEvents(a *connector.Response, events []byte) bool {
	x.beginStream(a)
	x.note(events)
	if _, err := x.writer.Write(events); err != nil {
		return false
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return false
	}
	return true
}

// note counts events and remembers the id of the last one.
func (x *exchange) note(events []byte) {
	for line := range bytes.Lines(events) {
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		x.events++
		x.lastEvent = string(bytes.TrimSpace(id))
	}
}

// wholeEvents returns the length of the events that are complete.
func wholeEvents(b []byte) int {
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	return 0
}

func isEventStream(contentType string) bool {
	return strings.HasPrefix(strings.ToLower(contentType), "text/event-stream")
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// PassedOn returns the headers that do not concern one connection only.
func PassedOn(from http.Header) http.Header {
	to := make(http.Header, len(from))
	passHeader(to, from)
	return to
}

func passHeader(to, from http.Header) {
	named := make(map[string]bool)
	for _, value := range from.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopHeaders[name] && !named[name] {
			to[name] = values
		}
	}
}
