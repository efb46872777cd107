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

// drainTimeout is the maximum wait for the end of the body after a complete
// response. A drained connection can serve another call.
const drainTimeout = 50 * time.Millisecond

// Stream is the streamed response of an engine. It is not safe for concurrent
// use.
type Stream interface {
	// Next returns the next chunk. Its data is valid until the next call. The
	// error is io.EOF after a complete response, else a *Failure.
	Next() (conductor.Chunk, error)
	// Usage returns the tokens consumed up to now. They are counted from the
	// first output token of the response, even if the stream was resumed.
	Usage() conductor.Usage
	// Close ends the call. An engine that has not finished stops its work.
	Close() error
}

type stream struct {
	dispatcher *Dispatcher
	call       EngineCall
	body       io.ReadCloser
	cancel     context.CancelCauseFunc
	ctx        context.Context
	lines      lineReader
	watchdog   watchdog
	// id is the request's key and the attempt's number.
	id []byte
	// nextOffset is the offset of the next output token.
	nextOffset    contractor.Tokens
	reportedUsage *usage
	// hasOffsets is true when the engine sends offsets.
	hasOffsets bool
	// sawFinishReason is true once a chunk had a finish reason.
	sawFinishReason bool
	delivered       bool
	complete        bool
	err             error
}

// usage is what an engine reports in its last chunk.
type usage struct {
	PromptTokens     contractor.Tokens `json:"prompt_tokens"`
	CompletionTokens contractor.Tokens `json:"completion_tokens"`
}

func (s *stream) Next() (conductor.Chunk, error) {
	for s.err == nil {
		s.watchdog.toggleWait()
		line, err := s.lines.next()
		s.watchdog.toggleWait()
		if err != nil {
			s.err = s.readFailure("read", err)
			break
		}
		data, ok := eventData(line)
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			s.err = s.finish()
			break
		}
		chunk, pass, err := s.accept(data)
		if err != nil {
			s.err = s.failure("check", err)
			break
		}
		if pass {
			s.delivered = true
			chunk.More = s.lines.hasBufferedLine()
			return chunk, nil
		}
	}
	return conductor.Chunk{}, s.err
}

// finish checks that nothing is missing at the end of the response, if the engine
// sends offsets.
func (s *stream) finish() error {
	switch {
	case !s.hasOffsets:
	case !s.sawFinishReason:
		s.count("broken.gap")
		return s.failure("check", errors.Wrap(ErrGap, "stream ended without a finish reason"))
	case s.reportedUsage != nil && s.reportedUsage.CompletionTokens > s.nextOffset:
		s.count("broken.gap")
		return s.failure("check", errors.Wrapf(ErrGap, "received %d of %d output tokens", s.nextOffset, s.reportedUsage.CompletionTokens))
	}
	s.complete = true
	return io.EOF
}

// accept checks one chunk and reports whether to deliver it.
func (s *stream) accept(data []byte) (conductor.Chunk, bool, error) {
	fields, ok := scanChunk(data)
	if !ok {
		s.count("broken.malformed")
		return conductor.Chunk{}, false, errors.Wrapf(ErrMalformed, "%.100q", data)
	}
	if fields.engineError != nil {
		s.count("broken.engine")
		return conductor.Chunk{}, false, errors.Wrapf(ErrEngine, "%.200s", fields.engineError)
	}
	if !s.matchesAttempt(fields.id) {
		return conductor.Chunk{}, false, nil
	}
	if err := s.recordUsage(fields.usage); err != nil {
		return conductor.Chunk{}, false, err
	}
	if fields.emptyChoices() {
		return conductor.Chunk{}, false, nil
	}
	s.hasOffsets = s.hasOffsets || fields.offset >= 0
	chunk := s.position(&fields)
	pass, err := s.advance(chunk)
	if !pass {
		return conductor.Chunk{}, false, err
	}
	s.sawFinishReason = s.sawFinishReason || fields.hasFinishReason()
	chunk.Data = s.stripAttempt(data, fields.idEnd)
	return chunk, true, nil
}

// position returns the chunk's offset and number of tokens. An engine that
// reports neither sends one token per chunk with content, and no duplicates.
func (s *stream) position(fields *chunkFields) conductor.Chunk {
	chunk := conductor.Chunk{Offset: s.nextOffset, Tokens: 1}
	if fields.offset >= 0 {
		chunk.Offset = contractor.Tokens(fields.offset)
	}
	if fields.tokens >= 0 {
		chunk.Tokens = contractor.Tokens(fields.tokens)
		return chunk
	}
	if fields.hasNoContent() || fields.offset < 0 && s.call.MaxOutput > 0 && s.nextOffset >= s.call.MaxOutput {
		chunk.Tokens = 0
	}
	return chunk
}

// matchesAttempt reports whether a chunk's ID ends with the ID of this attempt.
// Others are counted.
func (s *stream) matchesAttempt(id []byte) bool {
	if bytes.HasSuffix(id, s.id) {
		return true
	}
	if bytes.Contains(id, s.id[:keyTextLength]) {
		s.count("dropped.late")
		return false
	}
	s.count("dropped.crossed")
	return false
}

// advance compares a chunk's offset with the output already delivered. It
// reports whether the chunk continues that output.
func (s *stream) advance(c conductor.Chunk) (bool, error) {
	if c.Offset > s.nextOffset {
		s.count("broken.gap")
		return false, errors.Wrapf(ErrGap, "chunk at offset %d, expected %d", c.Offset, s.nextOffset)
	}
	if c.Offset < s.nextOffset {
		if c.Offset+c.Tokens > s.nextOffset {
			s.count("broken.overlap")
			return false, errors.Wrapf(ErrOverlap, "%d tokens at offset %d, %d already delivered", c.Tokens, c.Offset, s.nextOffset)
		}
		s.count("dropped.duplicate")
		return false, nil
	}
	s.nextOffset += c.Tokens
	if s.call.MaxOutput > 0 && s.nextOffset > s.call.MaxOutput {
		s.count("broken.excess")
		return false, errors.Wrapf(ErrTooLong, "%d output tokens, limit is %d", s.nextOffset, s.call.MaxOutput)
	}
	return true, nil
}

func (s *stream) recordUsage(raw []byte) error {
	if raw == nil {
		return nil
	}
	var u usage
	if err := json.Unmarshal(raw, &u); err != nil {
		s.count("broken.malformed")
		return errors.Wrapf(ErrMalformed, "usage %.100q", raw)
	}
	s.reportedUsage = &u
	return nil
}

// stripAttempt removes "-ATTEMPT" from the chunk's ID in place. The caller sees
// the same ID in all chunks of a response, also after a retry.
func (s *stream) stripAttempt(data []byte, idEnd int) []byte {
	suffixLength := len(s.id) - keyTextLength
	copy(data[suffixLength:idEnd], data[:idEnd-suffixLength])
	return data[suffixLength:]
}

// Usage limits what an engine reports to what was permitted.
func (s *stream) Usage() conductor.Usage {
	u := conductor.Usage{PromptTokens: s.call.PromptTokens, OutputTokens: s.nextOffset}
	if s.reportedUsage == nil {
		return u
	}
	u.PromptTokens = s.reportedUsage.PromptTokens
	u.OutputTokens = max(s.nextOffset, s.reportedUsage.CompletionTokens)
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
	if s.complete {
		s.drain()
	}
	s.watchdog.stop()
	s.cancel(context.Canceled)
	err := s.body.Close()
	s.body = nil
	s.lines.release()
	if s.err == nil {
		s.err = s.failure("close", context.Canceled)
	}
	return err
}

// drain reads to the end of a complete response, which returns the connection
// to the pool.
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

func (s *stream) readFailure(step string, err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		return s.failure(step, cause)
	}
	failure := s.failure(step, err)
	failure.Crashed = closedByPeer(err)
	if failure.Crashed {
		failure.Err = errors.Wrap(err, "stream ended before [DONE]")
		s.count("broken.cut")
	}
	return failure
}

func (s *stream) failure(step string, err error) *Failure {
	phase := NoResponse
	if s.delivered {
		phase = PartialResponse
	}
	return &Failure{Phase: phase, Upstream: s.call.Upstream.Name, Step: step, Err: err}
}

func (s *stream) count(name string) { s.dispatcher.config.Recorder.Count(name, 1) }

// watchdog cancels a call whose upstream sends no data within a timeout. The
// time between reads, in which the caller consumes the data, does not count.
type watchdog struct {
	timer *time.Timer
	// transitions is odd while a read waits for the upstream.
	transitions atomic.Uint64
}

// start begins with the wait for the response header.
func (w *watchdog) start(timeout time.Duration, cancel context.CancelCauseFunc) {
	w.transitions.Store(1)
	var lastSeen uint64
	var timer *time.Timer
	timerSet := make(chan struct{})
	timer = time.AfterFunc(timeout, func() {
		<-timerSet
		current := w.transitions.Load()
		if current%2 == 1 && current == lastSeen {
			cancel(ErrStalled)
			return
		}
		lastSeen = current
		timer.Reset(timeout)
	})
	w.timer = timer
	close(timerSet)
}

// toggleWait starts or ends a wait.
func (w *watchdog) toggleWait() { w.transitions.Add(1) }

func (w *watchdog) stop() { w.timer.Stop() }

func attemptID(key contractor.RequestKey, attempt int) string {
	return key.String() + "-" + strconv.Itoa(attempt)
}

// keyTextLength is the length of a request key as text.
const keyTextLength = 2 * len(contractor.RequestKey{})
