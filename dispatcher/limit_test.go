package dispatcher_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumline/conductor"
	"laburnumline/contractor"
	"laburnumline/dispatcher"
	"laburnumline/throttler"
)

// An overloaded upstream states its request limit in any response, also in one that fails the call.
// A response to another call says nothing about it.
func TestRequestLimitOfResponsesIsRecorded(t *testing.T) {
	limits := throttler.New(throttler.Config{})
	d := dispatcher.New(dispatcher.Config{Limits: limits})
	defer d.Close()
	var header http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for name := range header {
			w.Header().Set(name, header.Get(name))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	u := contractor.Upstream{Name: "engine-1", URL: server.URL, Repeatable: true}
	id := throttler.IDOf(u.Name, 0)
	callEngine := func() {
		_, err := d.CallEngine(context.Background(), dispatcher.EngineCall{Upstream: u, Key: key, Attempt: 1, Body: body})
		require.Error(t, err)
	}
	callService := func() {
		_, err := d.CallService(context.Background(), u, &conductor.ServiceCall{Key: key, Method: "POST", Path: "/a"}, 2)
		require.Equal(t, header.Get(dispatcher.HeaderRequestID) != "", err != nil)
	}
	for _, call := range []func(){callEngine, callService} {
		header = http.Header{dispatcher.HeaderRequestLimit: {"1.5"}}
		call()
		require.Equal(t, throttler.Limit{Stated: true, Rate: 1.5}, limits.LimitOf(id))
		header = http.Header{dispatcher.HeaderRequestID: {"another"}}
		call()
		require.True(t, limits.LimitOf(id).Stated)
		header = nil
		call()
		require.False(t, limits.LimitOf(id).Stated)
	}
}
