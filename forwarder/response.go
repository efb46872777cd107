package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"laburnumline/connector"
	"laburnumline/framer"
	"laburnumline/recorder"
)

// streamBufferBytes is the size of the read buffer for events. An event has a few hundred
// bytes.
const streamBufferBytes = 4 << 10

var errResponseTooLong = fmt.Errorf("response exceeds %d bytes", maxResponseBytes)

// drain reads the rest of a response that is not forwarded, so that its connection can
// be reused. The connection is closed if the rest exceeds streamBufferBytes.
func drain(response *connector.Response) {
	// On an error the connection is closed instead of reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, streamBufferBytes))
}

// forwardBuffered reads a response completely before it forwards any of it, so that an
// incomplete one can still be retried or refused. If there is no memory for it, only its beginning is read first.
func (x *exchange) forwardBuffered(response *connector.Response) *failure {
	buffered, err := x.forwarder.readResponse(response)
	unbuffered := errors.Is(err, errNoMemory)
	if err != nil && !unbuffered {
		return x.responseFailure(err)
	}
	defer buffered.release()
	if response.Status < http.StatusMultipleChoices {
		x.recordServed(time.Now())
	}
	if unbuffered {
		return x.forwardRest(buffered, response)
	}
	x.startResponse()
	buffered.write(x.writer)
	return nil
}

// forwardStream forwards events as they arrive, each only when it is complete.
func (x *exchange) forwardStream(response *connector.Response) *failure {
	pending := eventBuffer{memory: &x.forwarder.memory}
	defer pending.release()
	started := false
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		events, invalid := []byte(nil), pending.add(buffer[:n])
		if invalid == nil {
			events, invalid = pending.complete()
		}
		if invalid != nil {
			return x.invalidStream(response, invalid)
		}
		if len(events) > 0 {
			started = true
			head := framer.ForeignHead(events)
			if head >= 0 {
				events = events[:head]
			}
			if len(events) > 0 && !x.forwardEvents(response, events) {
				return x.responseFailure(errCallerDisconnected)
			}
			if head >= 0 {
				return x.invalidStream(response, framer.ErrForeignHead)
			}
			pending.remove(len(events))
		}
		if errors.Is(err, io.EOF) {
			err = framer.CheckStreamEnd(response.Framing, started, pending.data)
			if err == nil {
				return x.endStream(response, pending.data)
			}
		}
		if err != nil {
			failed := x.invalidStream(response, err)
			failed.connectionLost = true
			return failed
		}
	}
}

// invalidStream records that the rest of a stream is lost or is no event.
func (x *exchange) invalidStream(response *connector.Response, err error) *failure {
	x.recordBrokenStream(response, err)
	return x.responseFailure(err)
}

// endStream forwards what follows the last event of a complete stream, which is blank lines
// and comments.
func (x *exchange) endStream(response *connector.Response, rest []byte) *failure {
	x.recordServed(time.Now())
	x.startStream(response)
	if len(rest) > 0 && !x.forwardEvents(response, rest) {
		return x.responseFailure(errCallerDisconnected)
	}
	return nil
}

func (x *exchange) recordBrokenStream(response *connector.Response, err error) {
	x.forwarder.config.Recorder.Event(recorder.AnswerBroken, "id", x.request.ID, "last_event", x.lastEventID,
		"events", x.eventCount, "framing", response.Framing, "err", err)
}

var errCallerDisconnected = errors.New("caller disconnected")

// startStream writes the status and headers of the response. A stream that resumes at
// another upstream keeps those of its first upstream.
func (x *exchange) startStream(response *connector.Response) {
	if x.responseStarted {
		return
	}
	x.startResponse()
	copyEndToEndHeaders(x.writer.Header(), response.Header)
	x.writer.Header().Del("Content-Length")
	x.writer.WriteHeader(response.Status)
}

// forwardEvents writes complete events and reports whether the write succeeded.
func (x *exchange) forwardEvents(response *connector.Response, events []byte) bool {
	x.startStream(response)
	x.countEvents(events)
	x.pinSoftware()
	x.recordContinuation()
	x.recordOutput()
	if _, err := x.writer.Write(events); err != nil {
		return false
	}
	if err := http.NewResponseController(x.writer).Flush(); err != nil {
		return false
	}
	return true
}

// recordContinuation logs the first events of an attempt that follow those of an earlier one.
func (x *exchange) recordContinuation() {
	if x.continued || x.attemptEvents == 0 || x.eventCount == x.attemptEvents && x.request.ResumeAfter == "" {
		return
	}
	x.continued = true
	x.forwarder.config.Recorder.Event(recorder.StreamContinued, "id", x.request.ID, "resumes", x.request.Resumes,
		"upstream", x.upstream.Name, "software", x.upstream.Software, "last_event", x.lastEventID)
}

// countEvents counts events and stores the id of the last one.
func (x *exchange) countEvents(events []byte) {
	for line := range bytes.Lines(events) {
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		x.eventCount++
		x.attemptEvents++
		x.lastEventID = string(bytes.TrimSpace(id))
	}
}

// hopByHopHeaders are meaningful for a single connection only and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// EndToEndHeaders returns the headers without those that are meaningful for one
// connection only.
func EndToEndHeaders(from http.Header) http.Header {
	to := make(http.Header, len(from))
	copyEndToEndHeaders(to, from)
	return to
}

func copyEndToEndHeaders(to, from http.Header) {
	perConnection := make(map[string]bool)
	for _, value := range from.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			perConnection[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopByHopHeaders[name] && !perConnection[name] {
			to[name] = values
		}
	}
}
