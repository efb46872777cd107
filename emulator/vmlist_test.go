package emulator_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
)

// Guards against a list that shows changes before the lag has passed.
func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := emulator.NewVMList(2 * time.Second)
		read := func() string {
			w := httptest.NewRecorder()
			l.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
			raw, err := io.ReadAll(w.Body)
			require.NoError(t, err)
			return string(raw)
		}
		l.Set(emulator.VMEntry{VM: "vm-1", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), State: emulator.VMLive})
		require.JSONEq(t, `{"vms":[]}`, read())
		time.Sleep(2 * time.Second)
		l.Set(emulator.VMEntry{VM: "vm-1", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:80"), State: emulator.VMLeaving})
		require.JSONEq(t, `{"vms":[{"vm":"vm-1","zone":"a","address":"10.0.0.1:80","state":"live"}]}`, read())
		time.Sleep(2 * time.Second)
		require.Contains(t, read(), `"leaving"`)
		l.Remove("vm-1")
		time.Sleep(2 * time.Second)
		require.JSONEq(t, `{"vms":[]}`, read())
	})
}
