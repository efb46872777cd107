package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"laburnumline/conductor"
	"laburnumline/contractor"
)

// drainTimeout bounds the wait for the end of a complete answer's body, after
// which the connection can serve another call.
const drainTimeout = 50 * time.Millisecond

// Stream is the answer of an engine. It is not safe for concurrent use.
type Stream interface {
	// Next returns the next chunk. Its data is valid until the next call. The
	// error is io.EOF after the whole answer, else a *Failure.
	Next() (conductor.Chunk, error)
	// Usage returns what the call has consumed up to now, counted from the
	// first output token of the answer, also when the stream was resumed.
	Usage() conductor.Usage
	// Close ends the call. The engine stops its work if it has not finished.
	Close() error
}

type stream struct {
	dispatcher *Dispatcher
	call       EngineCall
	body       io.ReadCloser
	cancel     context.CancelCauseFunc
	ctx        context.Context
	lines      lineReader
	watch      watchdog
	// id is the request's key and the attempt's number.
	id []byte
	// next is the offset of the next output token.
	next     contractor.Tokens
	reported *usage
	// extended is true when the engine sends offsets.
	extended bool
	// finished is true once a chunk had a finish reason.
	finished bool
	passed   bool
	whole    bool
	err      error
}

// usage is the last chunk's report of an engine.
type usage struct {
	PromptTokens     contractor.Tokens `json:"prompt_tokens"`
	CompletionTokens contractor.Tokens `json:"completion_tokens"`
}

func (s *stream) Next() (conductor.Chunk, error) {
	for s.err == nil {
		s.watch.step()
		line, err := s.lines.next()
		s.watch.step()
		if err != nil {
			s.err = s.broken("read", err)
			break
		}
		data, ok := payload(line)
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			s.err = s.end()
			break
		}
		chunk, pass, err := s.accept(data)
		if err != nil {
			s.err = s.fail("check", err)
			break
		}
		if pass {
			s.passed = true
			chunk.More = s.lines.ready()
			return chunk, nil
		}
	}
	return conductor.Chunk{}, s.err
}

// end checks that nothing is missing before the end of the answer.
func (s *stream) end() error {
	switch {
	case !s.extended:
	case !s.finished:
		s.count("broken.gap")
		return s.fail("check", errors.Wrap(ErrGap, "no chunk has a finish reason"))
	case s.reported != nil && s.reported.CompletionTokens > s.next:
		s.count("broken.gap")
		return s.fail("check", errors.Wrapf(ErrGap, "%d of %d output tokens arrived", s.next, s.reported.CompletionTokens))
	}
	s.whole = true
	return io.EOF
}

// accept checks one chunk and reports whether it goes to the caller.
func (s *stream) accept(data []byte) (conductor.Chunk, bool, error) {
	f, ok := scanChunk(data)
	if !ok {
		s.count("broken.malformed")
		return conductor.Chunk{}, false, errors.Wrapf(ErrMalformed, "%.100q", data)
	}
	if f.failure != nil {
		s.count("broken.engine")
		return conductor.Chunk{}, false, errors.Wrapf(ErrEngine, "%.200s", f.failure)
	}
	if !s.own(f.id) {
		return conductor.Chunk{}, false, nil
	}
	if err := s.report(f.usage); err != nil {
		return conductor.Chunk{}, false, err
	}
	if f.emptyChoices() {
		return conductor.Chunk{}, false, nil
	}
	s.extended = s.extended || f.offset >= 0
	chunk := s.place(&f)
	pass, err := s.advance(chunk)
	if !pass {
		return conductor.Chunk{}, false, err
	}
	s.finished = s.finished || f.finishes()
	chunk.Data = s.withoutAttempt(data, f.idEnd)
	return chunk, true, nil
}

// place returns the chunk's offset and size. An engine that tells neither sends
// one token in each chunk with content, and no duplicates.
func (s *stream) place(f *chunkFields) conductor.Chunk {
	chunk := conductor.Chunk{Offset: s.next, Tokens: 1}
	if f.offset >= 0 {
		chunk.Offset = contractor.Tokens(f.offset)
	}
	if f.tokens >= 0 {
		chunk.Tokens = contractor.Tokens(f.tokens)
		return chunk
	}
	if f.emptyDelta() || f.offset < 0 && s.call.MaxOutput > 0 && s.next >= s.call.MaxOutput {
		chunk.Tokens = 0
	}
	return chunk
}

// own reports whether an id is the one of this attempt.
func (s *stream) own(id []byte) bool {
	if bytes.HasSuffix(id, s.id) {
		return true
	}
	if bytes.Contains(id, s.id[:keyLength]) {
		s.count("dropped.late")
		return false
	}
	s.count("dropped.crossed")
	return false
}

// advance compares a chunk's offset with the output that has been passed on.
func (s *stream) advance(c conductor.Chunk) (bool, error) {
	if c.Offset > s.next {
		s.count("broken.gap")
		return false, errors.Wrapf(ErrGap, "offset %d instead of %d", c.Offset, s.next)
	}
	if c.Offset < s.next {
		if c.Offset+c.Tokens > s.next {
			s.count("broken.overlap")
			return false, errors.Wrapf(ErrOverlap, "%d tokens at %d, %d passed on", c.Tokens, c.Offset, s.next)
		}
		s.count("dropped.duplicate")
		return false, nil
	}
	s.next += c.Tokens
	if s.call.MaxOutput > 0 && s.next > s.call.MaxOutput {
		s.count("broken.excess")
		return false, errors.Wrapf(ErrTooLong, "%d output tokens, at most %d were permitted", s.next, s.call.MaxOutput)
	}
	return true, nil
}

func (s *stream) report(raw []byte) error {
	if raw == nil {
		return nil
	}
	var u usage
	if err := json.Unmarshal(raw, &u); err != nil {
		s.count("broken.malformed")
		return errors.Wrapf(ErrMalformed, "usage %.100q", raw)
	}
	s.reported = &u
	return nil
}

// withoutAttempt removes "-ATTEMPT" from the chunk's id in place, so that the
// caller sees one id for the whole answer.
func (s *stream) withoutAttempt(data []byte, idEnd int) []byte {
	cut := len(s.id) - keyLength
	copy(data[cut:idEnd], data[:idEnd-cut])
	return data[cut:]
}

// Usage trusts an engine's report only within what was permitted.
func (s *stream) Usage() conductor.Usage {
	u := conductor.Usage{PromptTokens: s.call.PromptTokens, OutputTokens: s.next}
	if s.reported == nil {
		return u
	}
	u.PromptTokens = s.reported.PromptTokens
	u.OutputTokens = max(s.next, s.reported.CompletionTokens)
	if s.call.PromptTokens > 0 && u.PromptTokens > s.call.PromptTokens {
		s.count("usage.clamped")
		u.PromptTokens = s.call.PromptTokens
	}
	if s.call.MaxOutput > 0 && u.OutputTokens > s.call.MaxOutput {
		s.count("usage.clamped")
		u.OutputTokens = s.call.MaxOutput
	}
	return u
}

func (s *stream) Close() error {
	if s.body == nil {
		return nil
	}
	if s.whole {
		s.drain()
	}
	s.watch.stop()
	s.cancel(context.Canceled)
	err := s.body.Close()
	s.body = nil
	s.lines.release()
	if s.err == nil {
		s.err = s.fail("close", context.Canceled)
	}
	return err
}

// drain reads to the end of a whole answer, so that the connection is pooled.
func (s *stream) drain() {
	if s.lines.err != nil {
		return
	}
	timer := time.AfterFunc(drainTimeout, func() { s.cancel(ErrStalled) })
	defer timer.Stop()
	for {
		if _, err := s.lines.next(); err != nil {
			return
		}
	}
}

func (s *stream) broken(step string, err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		return s.fail(step, cause)
	}
	failure := s.fail(step, err)
	failure.Crashed = closedByPeer(err)
	if failure.Crashed {
		failure.Err = errors.Wrap(err, "stream ended before [DONE]")
		s.count("broken.cut")
	}
	return failure
}

func (s *stream) fail(step string, err error) *Failure {
	phase := NoResponse
	if s.passed {
		phase = PartialResponse
	}
	return &Failure{Phase: phase, Upstream: s.call.Upstream.Name, Step: step, Err: err}
}

func (s *stream) count(name string) { s.dispatcher.config.Recorder.Count(name, 1) }

// watchdog cancels a call whose upstream sends nothing for a while. Time that
// passes between reads, while the caller takes what it was sent, does not count.
type watchdog struct {
	timer *time.Timer
	// steps is odd while a read waits for the upstream.
	steps atomic.Uint64
}

// start begins with a wait for the response's header.
func (w *watchdog) start(timeout time.Duration, cancel context.CancelCauseFunc) {
	w.steps.Store(1)
	var seen uint64
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(timeout, func() {
		<-ready
		now := w.steps.Load()
		if now%2 == 1 && now == seen {
			cancel(ErrStalled)
			return
		}
		seen = now
		timer.Reset(timeout)
	})
	w.timer = timer
	close(ready)
}

// step begins or ends a wait.
func (w *watchdog) step() { w.steps.Add(1) }

func (w *watchdog) stop() { w.timer.Stop() }

func attemptID(key contractor.RequestKey, attempt int) string {
	return key.String() + "-" + strconv.Itoa(attempt)
}

// keyLength is the length of a request key's text.
const keyLength = 2 * len(contractor.RequestKey{})
