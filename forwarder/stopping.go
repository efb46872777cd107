package forwarder

import (
	"errors"
	"time"

	"laburnumline/refuser"
)

// Lifetime knows when a stopping daemon ends.
type Lifetime interface {
	// End returns when a stopping daemon ends the requests in flight, or the zero time if it is not stopping.
	// accepting is true as long as it accepts connections.
	End() (at time.Time, accepting bool)
}

// ErrStopping is the cause of the end of a request's context when the daemon stops before the request has ended.
var ErrStopping = errors.New("the daemon stops")

// stoppingRetryAfter is the Retry-After of a stopping daemon. New connections lead to other daemons.
const stoppingRetryAfter = 100 * time.Millisecond

// refuseStopping refuses a request that may not end before a stopping daemon does. While the daemon still accepts
// connections, it takes requests that may be executed again: most end long before their deadlines.
func (x *exchange) refuseStopping() *refuser.Refusal {
	if x.forwarder.config.Lifetime == nil {
		return nil
	}
	end, accepting := x.forwarder.config.Lifetime.End()
	if end.IsZero() || !x.deadline.After(end) || accepting && x.route.AllowsReexecution() {
		return nil
	}
	return refuser.New(refuser.Stopping, "forward").WithRetryAfter(stoppingRetryAfter).
		WithDetail("the daemon ends in %s, the request in %s at the latest", time.Until(end), time.Until(x.deadline))
}
