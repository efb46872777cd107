package tracker

import (
	"context"
	"time"

	"laburnumline/messenger"
)

func (t *Tracker) register(mux *messenger.Mux) {
	messenger.Handle(mux, MethodPing, t.handlePing)
	messenger.Handle(mux, MethodIndirectPing, t.handleRelay)
	messenger.Handle(mux, MethodSync, t.handleSync)
	messenger.Handle(mux, MethodPush, t.handleTell)
}

func (t *Tracker) handlePing(_ context.Context, from messenger.Peer, request *pingRequest) (*pingAnswer, error) {
	answer := &pingAnswer{}
	t.update(func(v *view, now time.Time) {
		v.merge(v.answerDoubt(request.Status.Doubt), now)
		v.merge([]Record{request.Status.record(from)}, now)
		answer.Status = v.status(from)
	})
	if request.Introduce {
		answer.Peer = &t.config.Self
	}
	return answer, nil
}

func (t *Tracker) handleRelay(ctx context.Context, _ messenger.Peer, request *relayRequest) (*relayAnswer, error) {
	err := t.ping(ctx, request.Record, t.config.ProbeTimeout)
	return &relayAnswer{Answered: err == nil}, nil
}

func (t *Tracker) handleSync(_ context.Context, _ messenger.Peer, request *syncRequest) (*syncAnswer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.sync(request.Digests), nil
}

func (t *Tracker) handleTell(_ context.Context, _ messenger.Peer, request *tellRequest) (*tellAnswer, error) {
	t.update(func(v *view, now time.Time) { v.merge(request.Records, now) })
	return &tellAnswer{}, nil
}
