package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/balancer"
	"laburnumline/refuser"
)

// A refusal for lack of an upstream guarantees that the request has not run, and its Retry-After is the
// predicted one.
func TestRefusalsForLackOfAnUpstream(t *testing.T) {
	for reason, want := range map[balancer.Reason]refuser.Reason{
		balancer.Unavailable: refuser.NoUpstream, balancer.Limited: refuser.UpstreamLimited, balancer.AllFull: refuser.QueueFull,
		balancer.TooLate: refuser.DeadlineUnmeetable, balancer.OverShare: refuser.QueueFull,
	} {
		got := notChosen(&balancer.Choice{Reason: reason, RetryAfter: 250 * time.Millisecond})
		require.Equal(t, want, got.Reason, reason)
		require.Equal(t, http.StatusServiceUnavailable, got.Reason.Status())
		require.Equal(t, refuser.NotExecuted, got.Execution)
		require.Equal(t, 250*time.Millisecond, got.RetryAfter)
	}
}
