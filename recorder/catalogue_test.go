package recorder

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCatalogueNamesEvents(t *testing.T) {
	require.Equal(t, "keeper_takeover", KeeperTakeover.String())
	require.Equal(t, "daemon_stopped", DaemonStopped.String())
	require.Equal(t, "event_7", Code(7).String())
	require.Equal(t, "daemon_started", Codes()[DaemonStarted])
}

func TestDeclarePanicsOnDuplicates(t *testing.T) {
	require.Panics(t, func() { declare(eventNames{DaemonStarted: "other"}) })
	require.Panics(t, func() { declare(eventNames{9999: "daemon_started"}) })
}
