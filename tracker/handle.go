package tracker

import (
	"context"
	"time"

	"laburnumline/messenger"
)

func (t *Tracker) registerHandlers(mux *messenger.Mux) {
	messenger.Handle(mux, MethodPing, t.handlePing)
	messenger.Handle(mux, MethodIndirectPing, t.handleIndirectPing)
	messenger.Handle(mux, MethodSync, t.handleSync)
	messenger.Handle(mux, MethodPush, t.handlePush)
}

func (t *Tracker) handlePing(_ context.Context, from messenger.Peer, request *pingRequest) (*pingResponse, error) {
	response := &pingResponse{}
	t.update(func(v *view, now time.Time) {
		v.merge(v.suspicionRecords(request.Status.Suspicion), now)
		v.merge([]Record{request.Status.record(from)}, now)
		response.Status = v.status(from)
	})
	if request.WantPeer {
		response.Peer = &t.config.Self
	}
	return response, nil
}

func (t *Tracker) handleIndirectPing(ctx context.Context, _ messenger.Peer, request *indirectPingRequest) (*indirectPingResponse, error) {
	err := t.ping(ctx, request.Target, t.config.ProbeTimeout)
	return &indirectPingResponse{Responded: err == nil}, nil
}

func (t *Tracker) handleSync(_ context.Context, _ messenger.Peer, request *syncRequest) (*syncResponse, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.syncResponse(request.Digests), nil
}

func (t *Tracker) handlePush(_ context.Context, _ messenger.Peer, request *pushRequest) (*pushResponse, error) {
	t.update(func(v *view, now time.Time) { v.merge(request.Records, now) })
	return &pushResponse{}, nil
}
