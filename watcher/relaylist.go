package watcher

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumline/contractor"
	"laburnumline/messenger"
)

// relayList holds the relays among the members that this daemon knows. It is
// computed once per change of members.
type relayList struct {
	// changed is closed when the members have changed and the list is outdated.
	changed <-chan struct{}
	// isRelay is true when this daemon is a relay of its zone.
	isRelay bool
	// peers are the relays that this daemon may poll, in order of preference:
	// those of its own zone, then those of the other zones, in an order of zones
	// that depends on this daemon's VM.
	peers []messenger.Peer
}

// relayList returns the list of relays for the current members.
func (w *Watcher) relayList() *relayList {
	if r := w.cachedRelays.Load(); r != nil {
		select {
		case <-r.changed:
		default:
			return r
		}
	}
	members := w.config.Members
	r := &relayList{changed: members.Changed()}
	self := members.Self()
	zones := slices.Clone(members.Zones())
	slices.SortFunc(zones, func(a, b contractor.Zone) int {
		return cmp.Or(
			cmp.Compare(zoneDistance(a, self.Zone), zoneDistance(b, self.Zone)),
			cmp.Compare(relayHash(a, self.VM), relayHash(b, self.VM)),
		)
	})
	for _, zone := range zones {
		for _, p := range relaysOf(zone, members.Zone(zone), w.config.RelaysPerZone) {
			if p.VM == self.VM {
				r.isRelay = true
				continue
			}
			r.peers = append(r.peers, p)
		}
	}
	w.cachedRelays.Store(r)
	w.backoffs.retain(r.peers)
	return r
}

func zoneDistance(zone, self contractor.Zone) int {
	if zone == self {
		return 0
	}
	return 1
}

// relaysOf returns up to count members with the highest rendezvous hashes,
// highest first.
func relaysOf(zone contractor.Zone, members []messenger.Peer, count int) []messenger.Peer {
	type ranked struct {
		peer messenger.Peer
		hash uint64
	}
	all := make([]ranked, len(members))
	for i, p := range members {
		all[i] = ranked{p, relayHash(zone, p.VM)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.peer.VM, b.peer.VM))
	})
	relays := make([]messenger.Peer, 0, count)
	for _, r := range all[:min(len(all), count)] {
		relays = append(relays, r.peer)
	}
	return relays
}

func relayHash(zone contractor.Zone, vm contractor.VM) uint64 {
	return xxhash.Sum64String("relay\x00" + string(zone) + "\x00" + string(vm))
}

// relayBackoff is how long a daemon does not use a relay that failed or has no
// fresh contact with the store. Afterwards the relay has to pass a check before
// each poll, until a poll succeeds.
const relayBackoff = 4 * time.Second

// relayBackoffs holds the end of the backoff of each relay that has failed.
type relayBackoffs struct {
	mu    sync.Mutex
	until map[contractor.VM]time.Time
}

func (b *relayBackoffs) start(vm contractor.VM, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = make(map[contractor.VM]time.Time)
	}
	b.until[vm] = now.Add(relayBackoff)
}

// reset removes a relay after a successful poll.
func (b *relayBackoffs) reset(vm contractor.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.until, vm)
}

// active reports whether a relay is in backoff.
func (b *relayBackoffs) active(vm contractor.VM, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until[vm])
}

// failed reports whether a relay has failed and no poll has succeeded since.
func (b *relayBackoffs) failed(vm contractor.VM) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, found := b.until[vm]
	return found
}

// retain removes daemons that are no longer relays.
func (b *relayBackoffs) retain(peers []messenger.Peer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for vm := range b.until {
		if !slices.ContainsFunc(peers, func(x messenger.Peer) bool { return x.VM == vm }) {
			delete(b.until, vm)
		}
	}
}

// availableRelays returns up to limit relays that are not in backoff, in order of
// preference.
func (w *Watcher) availableRelays(now time.Time, limit int) []messenger.Peer {
	peers := make([]messenger.Peer, 0, limit)
	for _, p := range w.relayList().peers {
		if len(peers) == limit {
			break
		}
		if !w.backoffs.active(p.VM, now) {
			peers = append(peers, p)
		}
	}
	return peers
}

// contextWhileRelay returns a context that ends when a peer is no longer a relay,
// for example because it has failed and is no longer a member.
func (w *Watcher) contextWhileRelay(ctx context.Context, peer messenger.Peer) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		for {
			r := w.relayList()
			if !slices.Contains(r.peers, peer) {
				cancel(errNotRelay)
				return
			}
			select {
			case <-r.changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}
