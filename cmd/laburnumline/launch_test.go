package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Watches that a change has ended together must not end together again: in any fleet
// the first of them ends within the time in which a change has to be in force.
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
