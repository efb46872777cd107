package tracker

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"laburnumline/messenger"
)

const (
	// farTimeout is the time that a probe of another zone or of a VM that may run
	// no daemon may take.
	farTimeout = time.Second
	// tellLimit is the number of daemons that are told at the same time.
	tellLimit = 16
	// syncPause is the time between two exchanges of records that this daemon starts.
	syncPause = 500 * time.Millisecond
)

// probe runs one probe and takes in its outcome.
func (t *Tracker) probe(ctx context.Context, p probe) {
	timeout := farTimeout
	if p.purpose == probeRing {
		timeout = t.config.ProbeTimeout
	}
	asked := time.Now()
	err := t.ping(ctx, p.record, timeout)
	if err == nil || ctx.Err() != nil {
		return
	}
	switch p.purpose {
	case probeRing:
		t.doubt(ctx, p.record, asked)
	case probePoll:
		t.update(func(v *view, _ time.Time) { v.missed(p.record.Peer) })
	case probeVerify:
		t.verifyFailed(ctx, p.record)
	}
}

// ping asks a daemon whether it is alive. A daemon that was started anew
// introduces itself.
func (t *Tracker) ping(ctx context.Context, r Record, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := t.pingOnce(ctx, r.Peer)
	var restarted *messenger.IncarnationError
	if errors.As(err, &restarted) && restarted.Running > r.Peer.Incarnation {
		r.Peer.Incarnation = 0
		err = t.pingOnce(ctx, r.Peer)
	}
	return err
}

func (t *Tracker) pingOnce(ctx context.Context, to messenger.Peer) error {
	t.counts.probes.Inc(1)
	t.mu.Lock()
	request := &pingRequest{Status: t.view.status(to), Introduce: to.Incarnation == 0}
	t.mu.Unlock()
	start := time.Now()
	answer, err := messenger.Call[pingRequest, pingAnswer](ctx, t.config.Caller, to, MethodPing, request)
	if err != nil {
		t.counts.failed.Inc(1)
		return err
	}
	if answer.Peer != nil {
		to = *answer.Peer
	}
	differs := false
	t.update(func(v *view, now time.Time) {
		v.merge(v.answerDoubt(answer.Status.Doubt), now)
		v.heard(answer.Status.record(to), now.Sub(start), now)
		differs = answer.Status.Digest != v.digest()
	})
	if differs {
		t.sync(to)
	}
	return nil
}

// doubt asks helpers to probe a daemon that did not answer, and raises a
// suspicion when none of them gets an answer.
func (t *Tracker) doubt(ctx context.Context, r Record, asked time.Time) {
	t.mu.Lock()
	helpers := t.view.helpers(r.Peer)
	t.mu.Unlock()
	if t.relay(ctx, r, helpers) || ctx.Err() != nil {
		return
	}
	t.update(func(v *view, now time.Time) {
		v.suspect(r, asked, now)
		t.counts.starved.Inc(v.starvations)
		v.starvations = 0
	})
}

// relay reports whether any helper got an answer.
func (t *Tracker) relay(ctx context.Context, r Record, helpers []messenger.Peer) bool {
	// The helper's own probe takes up to ProbeTimeout.
	ctx, cancel := context.WithTimeout(ctx, 2*t.config.ProbeTimeout)
	defer cancel()
	var answered atomic.Bool
	var running sync.WaitGroup
	for _, h := range helpers {
		running.Go(func() {
			t.counts.relayed.Inc(1)
			answer, err := messenger.Call[relayRequest, relayAnswer](ctx, t.config.Caller, h, MethodIndirectPing, &relayRequest{Record: r})
			if err == nil && answer.Answered {
				answered.Store(true)
				cancel()
			}
		})
	}
	running.Wait()
	return answered.Load()
}

// verifyFailed removes a daemon that neither answers nor is in the VM list.
func (t *Tracker) verifyFailed(ctx context.Context, r Record) {
	if r.Peer.Zone == t.config.Self.Zone {
		t.doubt(ctx, r, time.Now())
		return
	}
	t.update(func(v *view, now time.Time) {
		if m, ok := v.members[r.Peer.VM]; ok && m.Record == r {
			v.remove(m, now)
		}
	})
}

// sync exchanges records with a daemon whose digest differs.
func (t *Tracker) sync(with messenger.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.ctx == nil || t.syncing || now.Sub(t.lastSync) < syncPause {
		return
	}
	t.syncing, t.lastSync = true, now
	ctx := t.ctx
	t.work.Go(func() {
		_ = t.exchange(ctx, with)
		t.mu.Lock()
		t.syncing = false
		t.mu.Unlock()
	})
}

func (t *Tracker) exchange(ctx context.Context, with messenger.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, farTimeout)
	defer cancel()
	t.counts.syncs.Inc(1)
	t.mu.Lock()
	request := &syncRequest{Digests: t.view.copyDigests()}
	t.mu.Unlock()
	answer, err := messenger.Call[syncRequest, syncAnswer](ctx, t.config.Caller, with, MethodSync, request)
	if err != nil {
		return err
	}
	var records []Record
	t.update(func(v *view, now time.Time) {
		v.merge(answer.Records, now)
		records = v.records(v.differing(answer.Digests))
	})
	if len(records) == 0 {
		return nil
	}
	return t.tell(ctx, with, records)
}

func (t *Tracker) tell(ctx context.Context, to messenger.Peer, records []Record) error {
	t.counts.told.Inc(1)
	_, err := messenger.Call[tellRequest, tellAnswer](ctx, t.config.Caller, to, MethodPush, &tellRequest{Records: records})
	return err
}

// broadcast tells records to all daemons of the zone and to those concerned.
func (t *Tracker) broadcast(ctx context.Context, records []Record) {
	ctx, cancel := context.WithTimeout(ctx, farTimeout)
	defer cancel()
	t.mu.Lock()
	members := t.view.zoneMembers(t.config.Self.Zone)
	peers := make([]messenger.Peer, len(members))
	for i, m := range members {
		peers[i] = m.Peer
	}
	t.mu.Unlock()
	var running sync.WaitGroup
	slots := make(chan struct{}, tellLimit)
	for _, p := range peers {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			_ = t.tell(ctx, p, records)
		})
	}
	running.Wait()
}
