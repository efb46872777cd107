package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"laburnumline/contractor"
	"laburnumline/persister"
)

// platformPageSize is the maximum number of entries in a range response.
const platformPageSize = 500

// platformItem is an entry or a change in the JSON form of the users' platform.
type platformItem struct {
	Key      string              `json:"key"`
	Data     []byte              `json:"data"`
	Revision contractor.Revision `json:"revision"`
	Deleted  bool                `json:"deleted,omitempty"`
}

// PlatformHandler serves the store with the HTTP API of the users' platform. Faults
// show as status 503, as a response that never comes, or as a connection that is
// closed without a response.
func (s *Store) PlatformHandler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.stateEra)
	r.Get("/api/kv-key", s.platformGet)
	r.Get("/api/kv-range", s.platformRange)
	r.Get("/api/kv-watch", s.platformWatch)
	r.Post("/api/kv-txn", s.platformCommit)
	r.Post("/api/kv-lease", s.platformLease)
	r.Post("/api/kv-keep/{id}", s.platformKeepAlive)
	return r
}

// writePlatformError sends the status of an error. An unknown outcome closes the
// connection without a response.
func writePlatformError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, persister.ErrUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, persister.ErrThrottled):
		w.WriteHeader(http.StatusTooManyRequests)
	case errors.Is(err, persister.ErrCompacted):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, persister.ErrInvalid):
		w.WriteHeader(http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// platformRevision returns the number that the platform gives for a revision. The era is in a header.
func platformRevision(r contractor.Revision) contractor.Revision {
	return contractor.Revision(persister.NumberOf(r))
}

// stateEra sets the header with the era of the store in all responses.
func (s *Store) stateEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&eraWriter{ResponseWriter: w, store: s}, r)
	})
}

// eraWriter sets the header when the response begins, which may be long after its request.
type eraWriter struct {
	http.ResponseWriter
	store  *Store
	stated bool
}

func (w *eraWriter) WriteHeader(status int) {
	if !w.stated {
		w.stated = true
		w.Header().Set("Store-Era", strconv.FormatInt(w.store.Era(), 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(b []byte) (int, error) {
	if !w.stated {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

func platformItems(entries []persister.Entry) []platformItem {
	items := make([]platformItem, 0, len(entries))
	for _, e := range entries {
		items = append(items, platformItem{Key: e.Key, Data: e.Value, Revision: platformRevision(e.Revision)})
	}
	return items
}

func (s *Store) platformGet(w http.ResponseWriter, r *http.Request) {
	entry, err := s.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		writePlatformError(w, err)
		return
	}
	if entry.Revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, platformItems([]persister.Entry{entry})[0])
}

func (s *Store) platformRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	page, err := s.Range(r.Context(), query.Get("prefix"), query.Get("after"), platformPageSize)
	if err != nil {
		writePlatformError(w, err)
		return
	}
	writeJSON(w, map[string]any{
		"entries": platformItems(page.Entries), "truncated": page.More, "at": platformRevision(page.Revision),
	})
}

var errOneBatch = errors.New("one batch was read")

func (s *Store) platformWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64) // zero requests the whole history
	wait, _ := strconv.Atoi(query.Get("waitMs"))             // zero requests a response without waiting
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	events, revision := []platformItem{}, persister.NewRevision(s.Era(), after)
	err := s.Watch(ctx, query.Get("prefix"), revision, func(b persister.Batch) error {
		for _, c := range b.Changes {
			events = append(events, platformItem{
				Key: c.Entry.Key, Data: c.Entry.Value, Revision: platformRevision(c.Entry.Revision), Deleted: c.Deleted,
			})
		}
		revision = b.Revision
		return errOneBatch
	})
	if err != nil && !errors.Is(err, errOneBatch) && ctx.Err() == nil {
		writePlatformError(w, err)
		return
	}
	writeJSON(w, map[string]any{"events": events, "at": platformRevision(revision)})
}

func (s *Store) platformCommit(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expected []platformItem `json:"expected"`
		Write    []struct {
			Key   string            `json:"key"`
			Data  []byte            `json:"data"`
			Lease persister.LeaseID `json:"leaseId"`
		} `json:"write"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	txn := persister.Txn{Deletes: request.Remove}
	for _, e := range request.Expected {
		txn.Compares = append(txn.Compares, persister.Compare{Key: e.Key, Revision: persister.NewRevision(s.Era(), int64(e.Revision))})
	}
	for _, p := range request.Write {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		txn.Puts = append(txn.Puts, persister.Put{Key: p.Key, Value: p.Data, Lease: p.Lease})
	}
	revision, err := s.Commit(r.Context(), txn)
	if errors.Is(err, persister.ErrConflict) {
		s.platformConflict(w, txn)
		return
	}
	if err != nil {
		writePlatformError(w, err)
		return
	}
	writeJSON(w, map[string]any{"revision": platformRevision(revision)})
}

// platformConflict responds with the current entries of the compared keys that exist.
func (s *Store) platformConflict(w http.ResponseWriter, txn persister.Txn) {
	var entries []persister.Entry
	for _, c := range txn.Compares {
		if e := s.Peek(c.Key); e.Revision > 0 {
			entries = append(entries, e)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusPreconditionFailed)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(map[string]any{"entries": platformItems(entries)})
}

func (s *Store) platformLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.GrantLease(r.Context(), time.Duration(request.TTLMs)*time.Millisecond)
	if err != nil {
		writePlatformError(w, err)
		return
	}
	writeJSON(w, map[string]any{"leaseId": id, "ttlMs": request.TTLMs})
}

func (s *Store) platformKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(chi.URLParam(r, "id"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	remaining, err := s.KeepAlive(r.Context(), persister.LeaseID(id))
	if err != nil {
		writePlatformError(w, err)
		return
	}
	if remaining <= 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"ttlMs": remaining.Milliseconds()})
}

// Evacuate writes the key with which an operator evacuates a zone, EndEvacuation deletes it.
func (s *Store) Evacuate(zone string) { s.PutAsOperator("op/evacuate/"+zone, []byte("{}")) }

// EndEvacuation ends the evacuation of a zone.
func (s *Store) EndEvacuation(zone string) { s.RemoveAsOperator("op/evacuate/" + zone) }

// PutAsOperator writes a key as the operator or an upstream does: without faults,
// rate limits and the write protection of keys under op/ and servers/.
func (s *Store) PutAsOperator(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]persister.Put{{Key: key, Value: value}}, nil)
}

// RemoveAsOperator deletes a key under the same conditions as PutAsOperator.
func (s *Store) RemoveAsOperator(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(nil, []string{key})
}
