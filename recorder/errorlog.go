package recorder

import (
	"log"
	"strings"
)

// HTTPErrorLog returns a logger for the ErrorLog of an http.Server, which logs each
// message as an HTTPServerError event.
func (r *Recorder) HTTPErrorLog(listener string) *log.Logger {
	return log.New(eventWriter{r, listener}, "", 0)
}

type eventWriter struct {
	recorder *Recorder
	listener string
}

// Write logs one message of the server.
func (w eventWriter) Write(message []byte) (int, error) {
	w.recorder.Event(HTTPServerError, "listener", w.listener, "message", strings.TrimSpace(string(message)))
	return len(message), nil
}
