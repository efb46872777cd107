package launcher

import (
	"time"

	"laburnumline/recorder"
	"laburnumline/retrier"
)

const (
	// retryFraction is the fraction of the fleet's retry ratio that daemons use. The rest
	// covers retries that were saved up in an earlier window.
	retryFraction = 0.6
	// retryBaseDelay is the mean delay before a second attempt. It is short because that attempt
	// goes to another upstream, and the shortest latency objective is 120 ms.
	retryBaseDelay = 4 * time.Millisecond
)

// retryConfig returns the configuration of the daemon's retries.
func (s Settings) retryConfig(rec *recorder.Recorder) retrier.Config {
	return retrier.Config{TargetRatio: retryFraction * s.RetryRatio, AccountRatio: s.RetryRatio, BaseDelay: retryBaseDelay, Recorder: rec}
}
