package sleeper

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against waits that outlast their context, and against waits of zero or negative
// duration that block or ignore a context that has ended.
func TestSleepReturnsAfterDurationOrEndOfContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		require.NoError(t, Sleep(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(begun))
		require.NoError(t, Sleep(t.Context(), -time.Second))
		require.Equal(t, time.Second, time.Since(begun))

		cause := errors.New("stopped")
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Second, func() { cancel(cause) })
		require.ErrorIs(t, Sleep(ctx, time.Minute), cause)
		require.Equal(t, 2*time.Second, time.Since(begun))
		require.ErrorIs(t, Sleep(ctx, 0), cause)
	})
}
