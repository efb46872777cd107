package launcher

import "time"

const (
	// collectPerMember and longestCollect are how long changes of upstreams are collected
	// in a fleet of so many daemons. Each change answers the watches of all of them, and
	// when a fleet starts, upstreams come one by one. A change must be known within 2 s.
	collectPerMember = 11 * time.Millisecond
	longestCollect   = 1000 * time.Millisecond
)

// collectTime is how long changes of upstreams are collected.
func collectTime(members int) time.Duration {
	return min(time.Duration(members)*collectPerMember, longestCollect)
}
