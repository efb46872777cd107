package server

import (
	"net/http"
	"time"
)

// writeDeadline disconnects callers that accept no data for a time-out. It sets the
// connection's write deadline before a write. On HTTP/1, where the deadline may pass
// between two writes, it renews the deadline at most once in a quarter of the time-out.
type writeDeadline struct {
	control *http.ResponseController
	timeout time.Duration
	// multiplexed is true for HTTP/2, where a deadline that passes between two writes
	// would end the stream. There the deadline is set and cleared for each write.
	multiplexed bool
	lastSet     time.Time
}

func newWriteDeadline(w http.ResponseWriter, r *http.Request, timeout time.Duration) *writeDeadline {
	return &writeDeadline{control: http.NewResponseController(w), timeout: timeout, multiplexed: r.ProtoMajor > 1}
}

// set sets the deadline of a write that is about to start.
func (l *writeDeadline) set() {
	now := time.Now()
	if !l.multiplexed && now.Sub(l.lastSet) < l.timeout/4 {
		return
	}
	l.lastSet = now
	_ = l.control.SetWriteDeadline(now.Add(l.timeout))
}

// clear removes the deadline after a write on HTTP/2.
func (l *writeDeadline) clear() {
	if l.multiplexed {
		_ = l.control.SetWriteDeadline(time.Time{})
	}
}
