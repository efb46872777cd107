package recorder

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Each file of the catalogue declares its own names. An undeclared code shows its number.
func TestCatalogueNamesEvents(t *testing.T) {
	require.Equal(t, "keeper_takeover", KeeperTakeover.String())
	require.Equal(t, "daemon_stopped", DaemonStopped.String())
	require.Equal(t, "event_7", Code(7).String())
	require.Equal(t, "daemon_started", Codes()[DaemonStarted])
}

// Two events with one number or one name could not be told apart in logs and metrics.
func TestDeclarePanicsOnDuplicates(t *testing.T) {
	require.Panics(t, func() { declare(eventNames{DaemonStarted: "other"}) })
	require.Panics(t, func() { declare(eventNames{9999: "daemon_started"}) })
}
