package launcher_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
)

// Guards against a daemon that ends, or no longer follows the list of upstreams, because another writer has left an entry
// there that no upstream would write: before the daemon starts, while it runs, or in place of an upstream's own.
func TestMalformedEntriesDoNotStopTheList(t *testing.T) {
	const text = `{"backend":"desk","address":"127.0.0.1:9","zone":"z","version":"v1","batchSlots":8,"phase":"ready","warmupLeftMs":0,"seq":1}`
	replace := func(from, to string) string { return strings.Replace(text, from, to, 1) }
	entries := []struct{ name, text string }{
		{"nested without end", strings.Repeat("[", 500_000)},
		{"nested in an unknown field", replace(`"seq":1`, `"seq":1,"x":`+strings.Repeat(`{"a":`, 100_000)+"1"+strings.Repeat("}", 100_000))},
		{"nested in the warm-up", replace(`"warmupLeftMs":0`, `"warmupLeftMs":`+strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000))},
		{"number beyond 64 bits", replace(`"seq":1`, `"seq":1e999`)},
		{"slots beyond any upstream", replace(`"batchSlots":8`, `"batchSlots":9223372036854775807`)},
		{"warm-up beyond any duration", replace(`"warmupLeftMs":0`, `"warmupLeftMs":1e308`)},
		{"port beyond 16 bits", replace(`127.0.0.1:9`, `127.0.0.1:70000`)},
		{"port 0", replace(`127.0.0.1:9`, `127.0.0.1:0`)},
		{"no JSON", "\x00\xff"},
		{"empty", ""},
	}
	f := newFixture(t)
	for i, e := range entries {
		f.store.PutAsOperator(fmt.Sprint("servers/odd-", i), []byte(e.text))
	}
	for _, e := range entries {
		f.store.PutAsOperator("servers/i-desk", []byte(e.text))
		// The daemon follows a later change of the list.
		next := emulator.NewRunner(emulator.RunnerConfig{Name: "i-next"})
		f.addUpstream("i-next", "desk", next)
		require.Eventually(t, func() bool {
			status, _, err := f.call("/plain/1", "k1")
			return err == nil && status == 200 && len(next.Executions()) > 0
		}, time.Minute, time.Millisecond, e.name)
	}
	f.restartDaemon()
	f.require("/plain/1", "k1", 200, "done /plain/1")
	select {
	case err := <-f.ended:
		require.Fail(t, "the daemon has ended", err)
	default:
	}
}
