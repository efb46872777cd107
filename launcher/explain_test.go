package launcher_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an explanation that sends a request or contains the key, and against an error that does not tell
// which input is unknown.
func TestDaemonExplains(t *testing.T) {
	f := newFixture(t)
	f.metrics = listenLoopback(t)
	f.restartDaemon()
	arrivals := len(f.model.Arrivals())
	for _, tt := range []struct {
		query, key string
		status     int
		contains   string
	}{
		{"host=a.example&path=/drafts/x&tokens=100,10&parts=p:90,q:10", "k1", http.StatusOK, `"chosen":"i-model"`},
		{"host=b.example&path=/drafts/x", "k1", http.StatusNotFound, "unknown host"},
		{"host=a.example&path=/drafts/x&tokens=100,10", "secret-key", http.StatusNotFound, "unknown key"},
		{"host=a.example&path=/drafts/x&tokens=100,10&key=secret-key", "", http.StatusBadRequest, "Authorization"},
		{"host=a.example&path=/drafts/x&parts=p", "k1", http.StatusBadRequest, "unknown prompt"},
	} {
		request, err := http.NewRequest(http.MethodGet, "http://"+f.metrics.Addr().String()+"/explain?"+tt.query, nil)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+tt.key)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, tt.status, response.StatusCode, string(body))
		require.Contains(t, string(body), tt.contains)
		require.NotContains(t, string(body), "secret-key")
		require.NotContains(t, string(body), "k1")
		t.Log(string(body))
	}
	require.Len(t, f.model.Arrivals(), arrivals)
}
