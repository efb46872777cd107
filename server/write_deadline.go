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
func (d *writeDeadline) set() {
	now := time.Now()
	if !d.multiplexed && now.Sub(d.lastSet) < d.timeout/4 {
		return
	}
	d.lastSet = now
	_ = d.control.SetWriteDeadline(now.Add(d.timeout))
}

// clear removes the deadline after a write on HTTP/2.
func (d *writeDeadline) clear() {
	if d.multiplexed {
		_ = d.control.SetWriteDeadline(time.Time{})
	}
}
