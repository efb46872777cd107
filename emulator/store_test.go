package emulator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/persister"
)

func put(key, value string) persister.Txn {
	return persister.Txn{Puts: []persister.Put{{Key: key, Value: []byte(value)}}}
}

// Guards against invalid or conflicting transactions that change keys or the revision.
func TestStoreCommitChecksTransactions(t *testing.T) {
	s := NewStore(StoreConfig{})
	first, err := s.Commit(t.Context(), put("a/1", "x"))
	require.NoError(t, err)
	tests := []struct {
		name string
		txn  persister.Txn
		want error
	}{
		{"absent key required", persister.Txn{Compares: []persister.Compare{{Key: "a/1"}}}, persister.ErrConflict},
		{"old revision", persister.Txn{Compares: []persister.Compare{{Key: "a/1", Revision: first - 1}}}, persister.ErrConflict},
		{"marker exists", persister.Txn{Puts: put("a/1", "z").Puts, Marker: "a/1"}, persister.ErrConflict},
		{"marker is not written", persister.Txn{Marker: "m"}, persister.ErrInvalid},
		{"key written twice", persister.Txn{Puts: put("a/1", "z").Puts, Deletes: []string{"a/1"}}, persister.ErrInvalid},
		{"value too large", put("b", string(make([]byte, persister.MaxValueSize+1))), persister.ErrInvalid},
		{"unknown lease", persister.Txn{Puts: []persister.Put{{Key: "b", Lease: 7}}}, persister.ErrInvalid},
		{"current revision", persister.Txn{Compares: []persister.Compare{{Key: "a/1", Revision: first}}, Deletes: []string{"a/1"}}, nil},
	}
	for _, tt := range tests {
		_, err := s.Commit(t.Context(), tt.txn)
		require.ErrorIs(t, err, tt.want, tt.name)
	}
	require.Empty(t, s.Keys(""))
	require.Equal(t, first+1, s.Revision())
}

// Guards against keys that are skipped or repeated at a page boundary, and against
// keys outside the prefix.
func TestStoreRangePages(t *testing.T) {
	s := NewStore(StoreConfig{})
	for _, key := range []string{"a/2", "a/1", "b/1", "a/3"} {
		_, err := s.Commit(t.Context(), put(key, key))
		require.NoError(t, err)
	}
	page, err := s.Range(t.Context(), "a/", "", 2)
	require.NoError(t, err)
	require.True(t, page.More)
	require.Equal(t, "a/2", page.Entries[1].Key)
	page, err = s.Range(t.Context(), "a/", "a/2", 2)
	require.NoError(t, err)
	require.False(t, page.More)
	require.Len(t, page.Entries, 1)
	require.Equal(t, int64(2), s.Counts().Reads)
}

// Lost requests and lost responses must return the same error and differ only in
// the effect; a commit above the rate limit must fail as throttled.
func TestStoreCommitFaults(t *testing.T) {
	s := NewStore(StoreConfig{WritesPerSecond: 4})
	s.SetFaults(StoreFaults{Outage: true})
	_, err := s.Commit(t.Context(), put("a", "1"))
	require.ErrorIs(t, err, persister.ErrUnavailable)
	s.SetFaults(StoreFaults{LoseRequests: 1})
	_, err = s.Commit(t.Context(), put("a", "1"))
	require.ErrorIs(t, err, persister.ErrUnknown)
	require.Zero(t, s.Peek("a").Revision)
	s.SetFaults(StoreFaults{LoseResponses: 1})
	_, err = s.Commit(t.Context(), put("a", "1"))
	require.ErrorIs(t, err, persister.ErrUnknown)
	require.NotZero(t, s.Peek("a").Revision)
	s.SetFaults(StoreFaults{})
	for err == nil || errors.Is(err, persister.ErrUnknown) {
		_, err = s.Commit(t.Context(), put("a", "2"))
	}
	require.ErrorIs(t, err, persister.ErrThrottled)
	require.Equal(t, int64(2), s.Counts().Lost)
}

// Guards against a lease that expires despite a renewal, and against one that leaves
// its keys behind when it expires.
func TestExpiredLeaseRemovesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore(StoreConfig{})
		id, err := s.GrantLease(t.Context(), 10*time.Second)
		require.NoError(t, err)
		_, err = s.Commit(t.Context(), persister.Txn{Puts: []persister.Put{{Key: "member/1", Lease: id}}})
		require.NoError(t, err)
		time.Sleep(9 * time.Second)
		left, err := s.KeepAlive(t.Context(), id)
		require.NoError(t, err)
		require.Equal(t, 10*time.Second, left)
		time.Sleep(9 * time.Second)
		require.NotZero(t, s.Peek("member/1").Revision)
		time.Sleep(2 * time.Second)
		require.Zero(t, s.Peek("member/1").Revision)
		left, err = s.KeepAlive(t.Context(), id)
		require.NoError(t, err)
		require.Zero(t, left)
	})
}

// A watch must deliver the changes under its prefix after the configured delay, none
// while events are held, and fail if it starts at a compacted revision.
func TestStoreWatchFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore(StoreConfig{})
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		var seen []persister.Change
		var late time.Duration
		done := make(chan error)
		go func() {
			done <- s.Watch(ctx, "a/", s.Revision(), func(b persister.Batch) error {
				seen = append(seen, b.Changes...)
				late = time.Since(start)
				return nil
			})
		}()
		synctest.Wait()
		s.SetFaults(StoreFaults{EventDelay: 3 * time.Second})
		_, err := s.Commit(t.Context(), persister.Txn{Puts: []persister.Put{{Key: "a/1"}, {Key: "b/1"}}})
		require.NoError(t, err)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, seen, 1)
		require.Equal(t, 3*time.Second, late)
		s.SetFaults(StoreFaults{HoldEvents: true})
		_, err = s.Commit(t.Context(), persister.Txn{Deletes: []string{"a/1"}})
		require.NoError(t, err)
		synctest.Wait()
		require.Len(t, seen, 1)
		s.SetFaults(StoreFaults{})
		synctest.Wait()
		require.True(t, seen[1].Deleted)
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
		s.Compact(s.Revision())
		err = s.Watch(t.Context(), "a/", 1, func(persister.Batch) error { return nil })
		require.ErrorIs(t, err, persister.ErrCompacted)
		require.Zero(t, s.Counts().WatchesOpen)
	})
}

// Guards against JSON that differs from the gateway of etcd v3, on which the tests of
// the real client rely.
func TestStoreHandlerServesEtcdGateway(t *testing.T) {
	s := NewStore(StoreConfig{})
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	tests := []struct {
		path, body, want string
		status           int
	}{
		{"/v3/kv/txn", `{"compare":[{"key":"Zm9v","target":"MOD","result":"EQUAL","mod_revision":"0"}],"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}}]}`,
			`{"header":{"revision":"2"},"succeeded":true}`, http.StatusOK},
		{"/v3/kv/txn", `{"compare":[{"key":"Zm9v","target":"MOD","result":"EQUAL"}],"success":[]}`,
			`{"header":{"revision":"2"}}`, http.StatusOK},
		{"/v3/kv/range", `{"key":"Zm9v"}`,
			`{"header":{"revision":"2"},"kvs":[{"key":"Zm9v","create_revision":"2","mod_revision":"2","value":"YmFy"}]}`, http.StatusOK},
		{"/v3/lease/grant", `{"TTL":"5"}`, `{"header":{"revision":"2"},"ID":"1","TTL":"5"}`, http.StatusOK},
		{"/v3/lease/keepalive", `{"ID":"1"}`, `{"result":{"header":{"revision":"2"},"ID":"1","TTL":"5"}}`, http.StatusOK},
		{"/v3/kv/range", `{"key":5}`, "", http.StatusBadRequest},
	}
	for _, tt := range tests {
		response, err := http.Post(server.URL+tt.path, "application/json", bytes.NewBufferString(tt.body))
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, tt.status, response.StatusCode, tt.body)
		if tt.want != "" {
			require.JSONEq(t, tt.want, string(body))
		}
	}
	require.Equal(t, contractor.Revision(2), s.Revision())
}
