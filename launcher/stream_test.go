package launcher_test

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
)

// The only daemon dies, and with it all that the fleet knows about streams, while two software versions serve. The next one
// has to continue a stream at the version that began it, and to refuse one that the store has no record of.
func TestStreamContinuesAtItsVersionAfterARestart(t *testing.T) {
	const events = 6
	f := startFixture(t, &fixture{
		desk:        emulator.NewRunner(emulator.RunnerConfig{Name: "i-desk"}),
		model:       emulator.NewRunner(emulator.RunnerConfig{Name: "i-model", Events: events, Software: "v1"}),
		gracePeriod: time.Minute,
	})
	second := emulator.NewRunner(emulator.RunnerConfig{Name: "i-second", Events: events, Software: "v2"})
	f.addUpstreamVersion("i-second", "model", "v2", second)
	begun := make(map[string]string) // software versions by attempt
	require.Eventually(t, func() bool {
		status, body, err := f.call("/drafts/1", "k1")
		if err != nil || status != http.StatusOK {
			return false
		}
		software := "v1"
		if body == emulator.VersionedStream(events, "v2") {
			software = "v2"
		}
		begun[strconv.FormatInt(f.attempts.Load(), 16)] = software
		return strings.Count(strings.Join(slices.Collect(maps.Values(begun)), ""), "v2") >= 3 && len(begun) >= 8
	}, 30*time.Second, 10*time.Millisecond)
	time.Sleep(1500 * time.Millisecond) // a round of balances
	require.NotEmpty(t, f.store.Keys("streams/"))

	f.restartDaemon()
	for attempt, software := range begun {
		status, body, err := f.resume("/drafts/1", "k1", attempt, 2)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, strings.TrimPrefix(emulator.VersionedStream(events, software), emulator.VersionedStream(2, software)), body)
	}
	status, _, err := f.resume("/drafts/1", "k1", "unknown", 2)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
}
