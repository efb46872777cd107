package recorder

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// maxLoggedPerSecond is the number of events of one kind that are logged per second.
const maxLoggedPerSecond = 20

// eventLimiter counts the events of one code.
type eventLimiter struct {
	counter metrics.Counter

	mu     sync.Mutex
	second int64 // seconds since 1970
	logged int   // events logged within second
}

// allow reports whether one more event may be logged.
func (l *eventLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.logged = second, 0
	}
	l.logged++
	return l.logged <= maxLoggedPerSecond
}
