package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Watches that a change has ended together must not end together again: in any fleet
// the first of them ends within the time in which a change has to be in force.
func TestWatchesDoNotEndTogether(t *testing.T) {
	tests := []struct {
		members int
		first   time.Duration // at the latest
		last    time.Duration
	}{
		{1, storeWatchTime, storeWatchTime},
		{7, storeWatchTime, storeWatchTime},
		{91, 2 * time.Second, longestWatchTime},
		{400, 2 * time.Second, longestWatchTime},
	}
	for _, tt := range tests {
		for range 100 {
			first, last := longestWatchTime, time.Duration(0)
			for range tt.members {
				d := watchTime(tt.members)
				require.GreaterOrEqual(t, d, shortestWatchTime)
				first, last = min(first, d), max(last, d)
			}
			require.LessOrEqual(t, first, tt.first)
			require.LessOrEqual(t, last, tt.last)
		}
	}
}
