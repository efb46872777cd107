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

// Guards against a deploy file whose wrong setting is ignored, or whose error does not name it.
func TestWrongHedgeSettingsAreNamed(t *testing.T) {
	tests := []struct{ variable, value, option string }{
		{"LABURNUMLINE_HEDGE_SHARE", "0.21", "hedge-share"},
		{"LABURNUMLINE_HEDGE_SHARE", "-0.01", "hedge-share"},
		{"LABURNUMLINE_HEDGE_SHARE", "NaN", "hedge-share"},
		{"LABURNUMLINE_HEDGE_SHARE", "much", "hedge-share"},
		{"LABURNUMLINE_HEDGE_QUANTILE", "0.5", "hedge-quantile"},
		{"LABURNUMLINE_HEDGE_QUANTILE", "1", "hedge-quantile"},
	}
	for _, test := range tests {
		for _, byEnvironment := range []bool{true, false} {
			args := []string{"launch", "--settings", "absent.toml"}
			if byEnvironment {
				t.Setenv(test.variable, test.value)
			} else {
				t.Setenv(test.variable, "0.1")
				args = append(args, "--"+test.option+"="+test.value)
			}
			r := runCommand(t, "", args...)
			require.Equal(t, exitUsage, r.code, r.stderr)
			require.Contains(t, r.stderr, test.option)
		}
		t.Setenv("LABURNUMLINE_HEDGE_SHARE", "0.02")
		t.Setenv("LABURNUMLINE_HEDGE_QUANTILE", "0.99")
		require.Contains(t, runCommand(t, "", "launch", "--settings", "absent.toml").stderr, "absent.toml", "valid settings")
	}
}
