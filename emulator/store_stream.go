package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"laburnumline/contractor"
	"laburnumline/persister"
)

type watchRequest struct {
	Create *struct {
		Key            []byte `json:"key"`
		RangeEnd       []byte `json:"range_end"`
		StartRevision  int64  `json:"start_revision,string"`
		ProgressNotify bool   `json:"progress_notify"`
	} `json:"create_request"`
}

type watchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   keyValue `json:"kv"`
}

type watchResponse struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []watchEvent `json:"events,omitempty"`
}

var errDisconnected = errors.New("watch disconnected by DisconnectWatches")

// serveWatch streams one watch until the client disconnects.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	var request watchRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Create == nil {
		writeError(w, http.StatusBadRequest, codeInvalidArgument, "create_request is missing or malformed")
		return
	}
	if err := s.begin(r.Context(), func(*StoreCounts) {}, nil); err != nil {
		writeStoreError(w, err)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	s.cancelOnDisconnect(ctx, cancel)
	out := watchWriter{encoder: json.NewEncoder(w), flusher: http.NewResponseController(w), withoutProgress: !request.Create.ProgressNotify}
	w.Header().Set("Content-Type", "application/json")
	if err := out.send(watchResponse{Header: header{int64(s.Revision())}, Created: true}); err != nil {
		return
	}
	after := contractor.Revision(request.Create.StartRevision - 1)
	if request.Create.StartRevision == 0 {
		after = s.Revision()
	}
	err := s.watch(ctx, keyRange(request.Create.Key, request.Create.RangeEnd), after, out.batch)
	if errors.Is(err, persister.ErrCompacted) {
		_ = out.send(watchResponse{Header: header{int64(s.Revision())}, Canceled: true, CompactRevision: int64(s.oldestRevision())})
		return
	}
	if errors.Is(context.Cause(ctx), errDisconnected) {
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) cancelOnDisconnect(ctx context.Context, cancel context.CancelCauseFunc) {
	s.mu.Lock()
	disconnect := s.disconnect
	s.mu.Unlock()
	go func() {
		select {
		case <-disconnect:
			cancel(errDisconnected)
		case <-ctx.Done():
		}
	}()
}

func (s *Store) oldestRevision() contractor.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compacted + 1
}

type watchWriter struct {
	encoder         *json.Encoder
	flusher         *http.ResponseController
	withoutProgress bool
}

func (o watchWriter) send(response watchResponse) error {
	if err := o.encoder.Encode(streamResult[watchResponse]{response}); err != nil {
		return err
	}
	return o.flusher.Flush()
}

func (o watchWriter) batch(batch persister.Batch) error {
	if o.withoutProgress && len(batch.Changes) == 0 {
		return nil
	}
	response := watchResponse{Header: header{int64(batch.Revision)}}
	for _, c := range batch.Changes {
		e := watchEvent{KV: keyValue{Key: []byte(c.Entry.Key), Value: c.Entry.Value, ModRevision: int64(c.Entry.Revision)}}
		if c.Deleted {
			e.Type = "DELETE"
		}
		response.Events = append(response.Events, e)
	}
	return o.send(response)
}
