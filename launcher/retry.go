package launcher

import (
	"time"

	"laburnumline/recorder"
	"laburnumline/retrier"
)

const (
	// retryFraction is the fraction of what the fleet may retry that its daemons use. The rest covers variations of
	// the load of each daemon, each of which retries as much as its busiest seconds allow, and load that
	// moves between daemons within a window.
	retryFraction = 0.8
	// retryBaseDelay is the mean delay before a second attempt. It is short because that attempt
	// goes to another upstream, and the shortest latency objective is 120 ms.
	retryBaseDelay = 4 * time.Millisecond
)

// retryConfig returns the configuration of the retries of a daemon that starts now. members returns the size of the
// fleet, if known.
func (s Settings) retryConfig(now time.Time, members func() (int, bool), rec *recorder.Recorder) retrier.Config {
	return retrier.Config{
		StartedAt:   now,
		TargetRatio: retryFraction * s.RetryRatio, Window: s.RetryWindow, Allowance: retryFraction * s.RetryAllowance, Members: members,
		AccountRatio: s.RetryRatio, BaseDelay: retryBaseDelay, Recorder: rec,
	}
}
