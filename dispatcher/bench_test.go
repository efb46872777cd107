package dispatcher_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/dispatcher"
)

// The path of an answer of a plain service on a kept connection.
func BenchmarkCallService(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "done")
	}))
	defer server.Close()
	d := dispatcher.New(dispatcher.Config{})
	defer d.Close()
	u := contractor.Upstream{Name: "desk-1", URL: server.URL, Repeatable: true}
	call := &conductor.ServiceCall{Key: key, Method: http.MethodPost, Path: "/a", Body: []byte("1234")}
	b.ReportAllocs()
	for b.Loop() {
		_, err := d.CallService(b.Context(), u, call, 1)
		require.NoError(b, err)
	}
}
