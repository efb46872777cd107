package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A change ends the long polls of all daemons at the same time. Guards against equal
// time-outs of the next polls, which would then end together again and load the store, and
// against time-outs that are longer than the 2 s in which a change has to be in force.
func TestPollTimeoutsDiffer(t *testing.T) {
	for _, members := range []int{1, 7, 91, 400} {
		for range 100 {
			first, last := maxPollTimeout, time.Duration(0)
			for range members {
				d := randomPollTimeout()
				require.GreaterOrEqual(t, d, minPollTimeout)
				first, last = min(first, d), max(last, d)
			}
			require.LessOrEqual(t, first, 2*time.Second)
			require.LessOrEqual(t, last, maxPollTimeout)
			if members > 1 {
				require.Less(t, first, last)
			}
		}
	}
}
