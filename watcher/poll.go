package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"laburnumline/messenger"
	"laburnumline/recorder"
	"laburnumline/sleeper"
)

const (
	// pollTimeoutMargin is how much longer than PollWait a poll may take.
	pollTimeoutMargin = 2 * time.Second
	// noRelayWait is how long a slot waits when it has no relay to poll.
	noRelayWait = 500 * time.Millisecond
	// fallbackReadInterval is the minimum time between two direct reads of the
	// store while relays respond.
	fallbackReadInterval = 20 * time.Second
)

// runPolls keeps one poll open at a time. Slot n polls the n-th available relay.
func (w *Watcher) runPolls(ctx context.Context, slot int) error {
	for {
		peers := w.availableRelays(time.Now(), pollSlots)
		if slot >= len(peers) {
			if err := sleeper.Sleep(ctx, noRelayWait); err != nil {
				return err
			}
			continue
		}
		peer := peers[slot]
		if w.backoffs.failed(peer.VM) && !w.recovered(ctx, peer) {
			w.backoffs.start(peer.VM, time.Now())
			continue
		}
		err := w.poll(ctx, peer)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err != nil {
			w.config.Recorder.CountRetry("watch_poll")
			w.config.Recorder.Event(recorder.RelayUnreachable, "peer", peer.String(), "err", err)
			w.backoffs.start(peer.VM, time.Now())
		}
	}
}

// recovered checks a relay that has failed: whether it has fresh contact with the
// store or has applied more changes than this daemon. The check times out sooner
// than a poll.
func (w *Watcher) recovered(ctx context.Context, peer messenger.Peer) bool {
	status := w.requestRevisions(ctx, peer)
	if !status.Reached {
		return false
	}
	applied := w.view.applied()
	for i := range applied {
		if status.Applied[i] > applied[i] {
			return true
		}
	}
	return status.Age >= 0 && status.Age <= w.config.FreshnessLifetime
}

// poll sends one poll to a relay and applies the updates of the response.
func (w *Watcher) poll(ctx context.Context, peer messenger.Peer) error {
	ctx, stopWatching := w.contextWhileRelay(ctx, peer)
	defer stopWatching()
	ctx, cancel := context.WithTimeout(ctx, w.config.PollWait+pollTimeoutMargin)
	defer cancel()
	maxWait := w.config.PollWait
	if !w.allLoaded() {
		maxWait = 0
	}
	sent := time.Now()
	response, err := messenger.Call[PollRequest, PollResponse](ctx, w.config.Caller, peer, MethodPoll, &PollRequest{After: w.view.applied(), MaxWait: maxWait})
	if err != nil {
		return err
	}
	for _, u := range response.Updates {
		if u.Section < sectionCount {
			w.apply(u)
		}
	}
	receivedAt := time.Now()
	w.lastResponse.Store(&receivedAt)
	if response.Synced && w.allLoaded() {
		// The relay responded at the earliest Waited after the request was sent.
		w.recordContact(sent.Add(response.Waited - response.Age))
	}
	if !response.Synced || response.Age > w.config.FreshnessLifetime {
		w.backoffs.start(peer.VM, time.Now())
		return nil
	}
	w.backoffs.reset(peer.VM)
	return nil
}

// handlePoll responds to a poll as soon as there are updates, or after the wait
// that the request allows.
func (w *Watcher) handlePoll(ctx context.Context, _ messenger.Peer, request *PollRequest) (*PollResponse, error) {
	began := time.Now()
	timer := time.NewTimer(min(request.MaxWait, w.config.PollWait))
	defer timer.Stop()
	for timedOut := false; ; {
		updates, changed := w.view.updatesSince(request.After)
		if len(updates) > 0 || timedOut {
			return w.pollResponse(updates, began), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-w.draining:
			return &PollResponse{Waited: time.Since(began)}, nil
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

func (w *Watcher) pollResponse(updates []Update, began time.Time) *PollResponse {
	now := time.Now()
	response := &PollResponse{Updates: updates, Waited: now.Sub(began)}
	if w.lastContact.Load() != nil {
		response.Synced = true
		response.Age = w.contactAge(now)
	}
	return response
}

// runFallbackReads reads the store directly when the daemon starts and while its
// view is not fresh. It reads less often while relays respond, because a relay
// without contact is a sign that the store is unavailable.
func (w *Watcher) runFallbackReads(ctx context.Context) error {
	for {
		if !w.isFresh(time.Now()) {
			w.loadSections(ctx)
		}
		wait := w.config.ProbeInterval
		switch {
		case !w.allLoaded():
			wait = storeRetryInterval
		case ageOf(w.lastResponse.Load(), time.Now()) < w.config.FreshnessLifetime:
			wait = fallbackReadInterval + rand.N(fallbackReadInterval)
		}
		if err := sleeper.Sleep(ctx, wait); err != nil {
			return err
		}
	}
}

// loadSections loads all sections from the store.
func (w *Watcher) loadSections(ctx context.Context) {
	at := time.Now()
	for s := range sectionCount {
		if err := w.loadSection(ctx, s); err != nil {
			return
		}
	}
	w.config.Recorder.Count("watch.store_loads", 1)
	w.recordContact(at)
}
