package recorder

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// maxLoggedPerSecond limits the log entries of one code.
const maxLoggedPerSecond = 20

// eventLimiter counts the events of one code and limits the rate at which they are logged.
type eventLimiter struct {
	counter metrics.Counter

	mu     sync.Mutex
	second int64 // seconds since 1970
	logged int   // events logged within second
}

// allow reports whether another event may be logged, and counts it.
func (l *eventLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.logged = second, 0
	}
	l.logged++
	return l.logged <= maxLoggedPerSecond
}
