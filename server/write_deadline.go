package server

import (
	"net/http"
	"time"
)

// writeDeadline cuts off a caller that takes no data for a time. Around a write it
// moves the connection's deadline, but only once in a quarter of that time.
type writeDeadline struct {
	control *http.ResponseController
	timeout time.Duration
	// multiplexed is true for HTTP/2, where a deadline that passes between two
	// writes would end the stream.
	multiplexed bool
	lastSet     time.Time
}

func newWriteDeadline(w http.ResponseWriter, r *http.Request, timeout time.Duration) *writeDeadline {
	return &writeDeadline{control: http.NewResponseController(w), timeout: timeout, multiplexed: r.ProtoMajor > 1}
}

// set starts the time of a write.
func (l *writeDeadline) set() {
	now := time.Now()
	if !l.multiplexed && now.Sub(l.lastSet) < l.timeout/4 {
		return
	}
	l.lastSet = now
	_ = l.control.SetWriteDeadline(now.Add(l.timeout))
}

// clear ends the time of a write.
func (l *writeDeadline) clear() {
	if l.multiplexed {
		_ = l.control.SetWriteDeadline(time.Time{})
	}
}
