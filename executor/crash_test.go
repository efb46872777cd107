package executor

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/dispatcher"
	"laburnumline/refuser"
)

// Requests that differ but share the beginning of their prompt crash each upstream that runs
// them. The prefix has to be recognised, and other prompts have to be served.
func TestCrashingPrefixIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDependencies{}
		x := newTestExecutor(f)
		complete := func(n uint64, attempt fakeAttempt, prefix ...uint64) error {
			request := testCompletion()
			request.Body, request.PrefixDigests = fmt.Appendf(nil, `{"n":%d}`, n), append(prefix, n)
			f.attempts = []fakeAttempt{attempt, attempt, attempt}
			_, err := x.Complete(context.Background(), request, &fakeSink{})
			return err
		}
		served, crashed := fakeAttempt{chunks: chunks(0, 5)}, fakeAttempt{startErr: newFailure(dispatcher.NoResponse, true)}
		for n := range uint64(6) {
			require.NoError(t, complete(100+n, served, 1, 2))
			require.Error(t, complete(200+n, crashed, 1, 3))
			time.Sleep(time.Second)
		}
		before := len(f.offsets)
		var refusal *refuser.Refusal
		require.ErrorAs(t, complete(300, crashed, 1, 3), &refusal)
		require.Equal(t, refuser.Quarantined, refusal.Reason)
		require.Equal(t, refuser.NotExecuted, refusal.Execution)
		require.Len(t, f.offsets, before, "the request reached an upstream")
		require.NoError(t, complete(301, served, 1, 2))
		require.NoError(t, complete(302, served, 1))
	})
}
