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
	// pollSlack is how much longer than Hold a poll may take.
	pollSlack = 2 * time.Second
	// pollIdle is how long a slot without a relay to poll waits.
	pollIdle = 500 * time.Millisecond
	// heardFallbackEvery is the least time between two direct reads of the
	// store while relays answer.
	heardFallbackEvery = 20 * time.Second
)

// runPolls keeps one poll open at the relay of a slot.
func (w *Watcher) runPolls(ctx context.Context, slot int) error {
	for {
		peers := w.candidates(time.Now(), pollSlots)
		if slot >= len(peers) {
			if err := sleeper.Sleep(ctx, pollIdle); err != nil {
				return err
			}
			continue
		}
		peer := peers[slot]
		if w.penalties.suspect(peer.VM) && !w.worthPolling(ctx, peer) {
			w.penalties.add(peer.VM, time.Now())
			continue
		}
		err := w.poll(ctx, peer)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err != nil {
			w.config.Recorder.CountRetry("watch_poll")
			w.config.Recorder.Event(recorder.RelayUnreachable, "peer", peer.String(), "err", err)
			w.penalties.add(peer.VM, time.Now())
		}
	}
}

// worthPolling asks a suspect relay, which takes less long than a poll, whether
// it has contact with the store or knows more than this daemon.
func (w *Watcher) worthPolling(ctx context.Context, peer messenger.Peer) bool {
	answer := w.ask(ctx, peer)
	if !answer.Reached {
		return false
	}
	applied := w.view.applied()
	for i := range applied {
		if answer.Applied[i] > applied[i] {
			return true
		}
	}
	return answer.Age >= 0 && answer.Age <= w.config.FreshnessLifetime
}

// poll asks a relay once for news and applies them.
func (w *Watcher) poll(ctx context.Context, peer messenger.Peer) error {
	ctx, unlist := w.whileListed(ctx, peer)
	defer unlist()
	ctx, cancel := context.WithTimeout(ctx, w.config.PollWait+pollSlack)
	defer cancel()
	hold := w.config.PollWait
	if !w.loaded() {
		hold = 0
	}
	sent := time.Now()
	news, err := messenger.Call[PollRequest, PollResponse](ctx, w.config.Caller, peer, MethodPoll, &PollRequest{After: w.view.applied(), MaxWait: hold})
	if err != nil {
		return err
	}
	for _, u := range news.Updates {
		if u.Section < sectionCount {
			w.apply(u)
		}
	}
	answered := time.Now()
	w.heard.Store(&answered)
	if news.Synced && w.loaded() {
		// The relay answered at least Held after this daemon had asked.
		w.touch(sent.Add(news.Waited - news.Age))
	}
	if !news.Synced || news.Age > w.config.FreshnessLifetime {
		w.penalties.add(peer.VM, time.Now())
		return nil
	}
	w.penalties.clear(peer.VM)
	return nil
}

// handlePoll answers a poll when there is news or the hold is over.
func (w *Watcher) handlePoll(ctx context.Context, _ messenger.Peer, p *PollRequest) (*PollResponse, error) {
	began := time.Now()
	timer := time.NewTimer(min(p.MaxWait, w.config.PollWait))
	defer timer.Stop()
	for over := false; ; {
		updates, changed := w.view.since(p.After)
		if len(updates) > 0 || over {
			return w.news(updates, began), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-w.stopped:
			return &PollResponse{Waited: time.Since(began)}, nil
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

func (w *Watcher) news(updates []Update, began time.Time) *PollResponse {
	now := time.Now()
	n := &PollResponse{Updates: updates, Waited: now.Sub(began)}
	if w.contact.Load() != nil {
		n.Synced = true
		n.Age = w.age(now)
	}
	return n
}

// runFallback reads the store directly when the daemon starts, and while it
// hears nothing from relays. Relays that answer without being in contact with
// the store make a try worth less, since the store is probably away.
func (w *Watcher) runFallback(ctx context.Context) error {
	for {
		if !w.fresh(time.Now()) {
			w.readStore(ctx)
		}
		wait := w.config.ProbeInterval
		switch {
		case !w.loaded():
			wait = storeRetryEvery
		case since(w.heard.Load(), time.Now()) < w.config.FreshnessLifetime:
			wait = heardFallbackEvery + rand.N(heardFallbackEvery)
		}
		if err := sleeper.Sleep(ctx, wait); err != nil {
			return err
		}
	}
}

// readStore loads all sections from the store.
func (w *Watcher) readStore(ctx context.Context) {
	at := time.Now()
	for s := range sectionCount {
		if err := w.loadSection(ctx, s); err != nil {
			return
		}
	}
	w.config.Recorder.Count("watch.store_loads", 1)
	w.touch(at)
}
