package messenger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"

	"laburnumline/recorder"
)

// serveConnection serves the peer's calls until the connection ends.
func (q *QUIC) serveConnection(c *peerConn) {
	defer q.goroutines.Done()
	defer q.removeConnection(c)
	for {
		stream, err := c.conn.AcceptStream(q.ctx)
		if err != nil {
			_ = c.conn.CloseWithError(codeClosed, "closing")
			return
		}
		if !q.trusts(c) {
			q.config.Recorder.Event(recorder.PeerRefused, "peer", c.peer.VM, "err", "certificate is no longer trusted")
			_ = c.conn.CloseWithError(codeRefused, "certificate")
			return
		}
		call := incomingCall{c, stream}
		select {
		case q.incoming <- call:
		default:
			q.goroutines.Add(1)
			go q.serveStreams(call)
		}
	}
}

// incomingCall is a call of a peer that waits to be served.
type incomingCall struct {
	conn   *peerConn
	stream *quic.Stream
}

// serveStreams serves one call after another. Reusing the goroutine avoids growing
// a new stack for each call.
func (q *QUIC) serveStreams(call incomingCall) {
	defer q.goroutines.Done()
	idle := time.NewTimer(workerIdleTimeout)
	defer idle.Stop()
	for {
		q.serveStream(call.conn, call.stream)
		idle.Reset(workerIdleTimeout)
		select {
		case call = <-q.incoming:
		case <-idle.C:
			return
		case <-q.ctx.Done():
			return
		}
	}
}

func (q *QUIC) serveStream(c *peerConn, stream *quic.Stream) {
	if err := stream.SetDeadline(time.Now().Add(q.config.IdleTimeout)); err != nil {
		return
	}
	stop := context.AfterFunc(q.ctx, func() { cancelStream(stream) })
	defer stop()
	var request requestFrame
	if err := readFrame(stream, q.config.MaxMessage+maxFrameOverhead, &request); err != nil {
		q.refuse(stream, statusOf(err))
		return
	}
	if request.Method == methodShutdown {
		c.drain(stream.Context(), request.Timeout)
		_ = writeFrame(stream, &responseFrame{})
		return
	}
	if s := q.beginCall(&request); s != statusOK {
		q.refuse(stream, s)
		return
	}
	defer q.endCall()
	ctx, cancel := context.WithTimeout(stream.Context(), min(request.Timeout, q.config.IdleTimeout))
	defer cancel()
	response := q.runHandler(ctx, c.peer, &request)
	if err := writeFrame(stream, response); err != nil {
		stream.CancelWrite(codeCanceled)
	}
}

// beginCall counts a running call and returns statusOK, or returns the status with
// which the call is refused.
func (q *QUIC) beginCall(request *requestFrame) status {
	if request.Incarnation != 0 && request.Incarnation != q.config.Self.Incarnation {
		return statusWrongIncarnation
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closing {
		return statusClosing
	}
	select {
	case q.callSemaphore <- struct{}{}:
	default:
		return statusBusy
	}
	q.activeCalls.Add(1)
	q.counters.served.Inc(1)
	return statusOK
}

func (q *QUIC) endCall() {
	<-q.callSemaphore
	q.activeCalls.Done()
}

func (q *QUIC) refuse(stream *quic.Stream, s status) {
	q.counters.refused.Inc(1)
	stream.CancelRead(codeCanceled)
	_ = writeFrame(stream, &responseFrame{Status: s, Incarnation: q.config.Self.Incarnation})
}

// runHandler calls the handler and turns its result, error or panic into a response.
func (q *QUIC) runHandler(ctx context.Context, from Peer, request *requestFrame) (response *responseFrame) {
	defer func() {
		if p := recover(); p != nil {
			response = &responseFrame{Status: statusFailed, Message: fmt.Sprintf("handler of method %d panicked: %v", request.Method, p)}
		}
	}()
	body, err := q.config.Mux.Serve(ctx, from, request.Method, request.Body)
	if err != nil {
		return &responseFrame{Status: statusFailed, Message: err.Error()}
	}
	if int64(len(body)) > q.config.MaxMessage {
		return &responseFrame{Status: statusFailed, Message: "answer is too large"}
	}
	return &responseFrame{Body: body}
}

func statusOf(err error) status {
	if errors.Is(err, errFrameTooLarge) {
		return statusTooLarge
	}
	return statusInvalid
}
