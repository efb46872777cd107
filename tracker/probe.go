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
	// remoteTimeout limits probes other than those of the ring, which may go to
	// another zone or to a VM without a daemon. It also limits exchanges of records
	// and broadcasts.
	remoteTimeout = time.Second
	// maxParallelPushes is the maximum number of concurrent pushes of a broadcast.
	maxParallelPushes = 16
	// minSyncInterval is the minimum time between two exchanges of records that this
	// daemon starts after a ping.
	minSyncInterval = 500 * time.Millisecond
)

// probe runs one probe and handles its failure.
func (t *Tracker) probe(ctx context.Context, p probe) {
	timeout := remoteTimeout
	if p.purpose == probeRing {
		timeout = t.config.ProbeTimeout
	}
	sentAt := time.Now()
	err := t.ping(ctx, p.record, timeout)
	if err == nil || ctx.Err() != nil {
		return
	}
	switch p.purpose {
	case probeRing:
		t.confirmFailure(ctx, p.record, sentAt)
	case probePoll:
		t.update(func(v *view, _ time.Time) { v.pollFailed(p.record.Peer) })
	case probeVerify:
		t.verifyFailed(ctx, p.record)
	}
}

// ping checks whether a daemon is alive. If a newer incarnation runs on its VM, ping
// asks that one for its identity.
func (t *Tracker) ping(ctx context.Context, r Record, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := t.pingOnce(ctx, r.Peer)
	var incarnationErr *messenger.IncarnationError
	if errors.As(err, &incarnationErr) && incarnationErr.Running > r.Peer.Incarnation {
		r.Peer.Incarnation = 0
		err = t.pingOnce(ctx, r.Peer)
	}
	return err
}

func (t *Tracker) pingOnce(ctx context.Context, to messenger.Peer) error {
	t.counters.probes.Inc(1)
	t.mu.Lock()
	request := &pingRequest{Status: t.view.status(to), WantPeer: to.Incarnation == 0}
	t.mu.Unlock()
	start := time.Now()
	response, err := messenger.Call[pingRequest, pingResponse](ctx, t.config.Caller, to, MethodPing, request)
	if err != nil {
		t.counters.probesFailed.Inc(1)
		return err
	}
	if response.Peer != nil {
		to = *response.Peer
	}
	differs := false
	t.update(func(v *view, now time.Time) {
		v.merge(v.suspicionRecords(response.Status.Suspicion), now)
		v.pingSucceeded(response.Status.record(to), now.Sub(start), now)
		differs = response.Status.Digest != v.digest()
	})
	if differs {
		t.startSync(to)
	}
	return nil
}

// confirmFailure requests indirect pings of a daemon that did not answer, and raises
// a suspicion if none of the helpers gets a response.
func (t *Tracker) confirmFailure(ctx context.Context, r Record, sentAt time.Time) {
	t.mu.Lock()
	helpers := t.view.helpers(r.Peer)
	t.mu.Unlock()
	if t.pingIndirectly(ctx, r, helpers) || ctx.Err() != nil {
		return
	}
	t.update(func(v *view, now time.Time) {
		v.suspect(r, sentAt, now)
		t.counters.suppressedSuspicions.Inc(v.suppressedSuspicions)
		v.suppressedSuspicions = 0
	})
}

// pingIndirectly reports whether any helper got a response from the daemon.
func (t *Tracker) pingIndirectly(ctx context.Context, r Record, helpers []messenger.Peer) bool {
	// The helper's own ping takes up to ProbeTimeout.
	ctx, cancel := context.WithTimeout(ctx, 2*t.config.ProbeTimeout)
	defer cancel()
	var responded atomic.Bool
	var running sync.WaitGroup
	for _, h := range helpers {
		running.Go(func() {
			t.counters.indirectProbes.Inc(1)
			response, err := messenger.Call[indirectPingRequest, indirectPingResponse](ctx, t.config.Caller, h, MethodIndirectPing, &indirectPingRequest{Target: r})
			if err == nil && response.Responded {
				responded.Store(true)
				cancel()
			}
		})
	}
	running.Wait()
	return responded.Load()
}

// verifyFailed handles a daemon that neither answers nor is in the VM list. In the
// own zone it becomes suspect, in another zone unreachable.
func (t *Tracker) verifyFailed(ctx context.Context, r Record) {
	if r.Peer.Zone == t.config.Self.Zone {
		t.confirmFailure(ctx, r, time.Now())
		return
	}
	t.update(func(v *view, now time.Time) {
		if m, ok := v.members[r.Peer.VM]; ok && m.Record == r {
			v.markUnreachable(m, now)
		}
	})
}

// startSync starts an exchange of records with a daemon whose digest differs. At
// most one exchange runs at a time.
func (t *Tracker) startSync(peer messenger.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.ctx == nil || t.syncing || now.Sub(t.lastSync) < minSyncInterval {
		return
	}
	t.syncing, t.lastSync = true, now
	ctx := t.ctx
	t.background.Go(func() {
		_ = t.syncWith(ctx, peer)
		t.mu.Lock()
		t.syncing = false
		t.mu.Unlock()
	})
}

// syncWith fetches the records that differ from a peer, merges them and pushes those
// that still differ.
func (t *Tracker) syncWith(ctx context.Context, peer messenger.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	t.counters.syncs.Inc(1)
	t.mu.Lock()
	request := &syncRequest{Digests: t.view.copyDigests()}
	t.mu.Unlock()
	response, err := messenger.Call[syncRequest, syncResponse](ctx, t.config.Caller, peer, MethodSync, request)
	if err != nil {
		return err
	}
	var records []Record
	t.update(func(v *view, now time.Time) {
		v.merge(response.Records, now)
		records = v.recordsOf(v.differingDigests(response.Digests))
	})
	if len(records) == 0 {
		return nil
	}
	return t.push(ctx, peer, records)
}

func (t *Tracker) push(ctx context.Context, to messenger.Peer, records []Record) error {
	t.counters.pushes.Inc(1)
	_, err := messenger.Call[pushRequest, pushResponse](ctx, t.config.Caller, to, MethodPush, &pushRequest{Records: records})
	return err
}

// broadcast pushes records to all members of the own zone that are not unreachable.
// These include the suspects.
func (t *Tracker) broadcast(ctx context.Context, records []Record) {
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	t.mu.Lock()
	members := t.view.zoneMembers(t.config.Self.Zone)
	peers := make([]messenger.Peer, len(members))
	for i, m := range members {
		peers[i] = m.Peer
	}
	t.mu.Unlock()
	var running sync.WaitGroup
	slots := make(chan struct{}, maxParallelPushes)
	for _, p := range peers {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			_ = t.push(ctx, p, records)
		})
	}
	running.Wait()
}
