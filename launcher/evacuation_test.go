package launcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
)

// addUpstreamIn starts an upstream of the model in a zone, with what is left of its warm-up, and returns it and its
// address.
func (f *fixture) addUpstreamIn(zone, name string, warmup time.Duration) (*emulator.Runner, string) {
	f.t.Helper()
	r := emulator.NewRunner(emulator.RunnerConfig{Name: name, Events: 6})
	url, err := r.Serve()
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = r.Close() })
	address := strings.TrimPrefix(url, "http://")
	f.writeEntry(zone, name, address, warmup)
	return r, address
}

func (f *fixture) writeEntry(zone, name, address string, warmup time.Duration) {
	f.store.PutAsOperator("servers/"+name, fmt.Appendf(nil,
		`{"backend":"model","address":%q,"zone":%q,"version":"v1","batchSlots":8,"phase":"ready","warmupLeftMs":%d,"seq":1}`,
		address, zone, warmup.Milliseconds()))
}

// awaitStatus waits until a request is served, or refused because of an evacuation.
func (f *fixture) awaitStatus(path string, status int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		got, body, err := f.call(path, "k1")
		return err == nil && got == status && (status == http.StatusOK || body == "evacuated\n")
	}, time.Minute, 10*time.Millisecond)
}

// Guards against an evacuation that does not reach the choice of upstreams, or that ends without the operator: when
// a daemon starts in the middle, when the store is unavailable, when the watch is lost, or when the store is
// restored from a copy that lacks it.
func TestDaemonObeysEvacuation(t *testing.T) {
	f := newFixture(t)
	other, _ := f.addUpstreamIn("y", "i-other", 0)
	copied := f.store.Copy()
	f.store.Evacuate("z")
	f.awaitStatus("/plain/x", http.StatusServiceUnavailable)
	desk, model := len(f.desk.Arrivals()), len(f.model.Arrivals())
	check := func() {
		t.Helper()
		for range 10 {
			f.require("/plain/x", "k1", http.StatusServiceUnavailable, "evacuated\n")
			f.require("/drafts/x", "k1", http.StatusOK, emulator.RunnerStream(6))
		}
		require.Len(t, f.desk.Arrivals(), desk)
		require.Len(t, f.model.Arrivals(), model)
	}
	check()
	require.NotEmpty(t, other.Arrivals(), "the load goes to the other zone")

	f.store.PutAsOperator("op/evacuate/z", []byte("malformed"))
	f.store.PutAsOperator("op/evacuate/", []byte("{}"))
	f.store.DisconnectWatches()
	check()
	f.store.Evacuate("z")
	f.restartDaemon()
	check()
	f.store.Restore(copied)
	check()
	f.store.Evacuate("z")
	check()
	f.store.SetFaults(emulator.StoreFaults{Outage: true})
	for range 10 {
		f.require("/plain/x", "k1", http.StatusServiceUnavailable, "evacuated\n")
		_, _, err := f.call("/drafts/x", "k1") // refused when the open part of the balance is used up
		require.NoError(t, err)
	}
	require.Len(t, f.model.Arrivals(), model)
	f.store.SetFaults(emulator.StoreFaults{})
	f.store.EndEvacuation("z")
	f.awaitStatus("/plain/x", http.StatusOK)
}

// Guards against a cold upstream that crashes, and against one that a daemon never uses again, because entry and
// configuration do not reach the throttler.
func TestDaemonSparesColdUpstream(t *testing.T) {
	f := newFixture(t)
	f.store.PutAsOperator("op/config", []byte(strings.ReplaceAll(fmt.Sprintf(configurationText, 2, ""),
		`"name":"model",`, `"name":"model","warmupS":3,"warmupPerS":6.7,`)))
	cold, address := f.addUpstreamIn("y", "i-cold", time.Hour)
	f.store.RemoveAsOperator("servers/i-model")
	cold.SetWarmup(time.Hour, 15)
	limited := 0
	require.Eventually(t, func() bool {
		status, body, err := f.call("/drafts/x", "k1")
		require.NoError(t, err)
		if status != http.StatusOK && body == "upstream_limited\n" {
			limited++
		}
		return limited > 20 && len(cold.Arrivals()) > 20
	}, time.Minute, time.Millisecond)
	require.Zero(t, cold.Overloads())
	cold.SetWarmup(0, 0)
	f.writeEntry("y", "i-cold", address, 0)
	served := 0
	require.Eventually(t, func() bool {
		status, _, err := f.call("/drafts/x", "k1")
		require.NoError(t, err)
		if served++; status != http.StatusOK {
			served = 0
		}
		return served == 40
	}, time.Minute, time.Millisecond)
}
