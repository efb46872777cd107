package watcher

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"laburnumline/contractor"
	"laburnumline/messenger"
)

const (
	// revisionsTimeout is the time limit for a request for a daemon's revisions.
	revisionsTimeout = time.Second
	// maxParallelRequests limits the daemons that are asked in parallel.
	maxParallelRequests = 64
)

// DaemonRevision holds the revisions that one daemon has applied.
type DaemonRevision struct {
	Peer messenger.Peer
	// Reached is false when the daemon did not respond. The other fields are then
	// zero, except Peer.
	Reached bool
	Applied Revisions
	// Age is the time since the daemon's last contact; negative means never.
	Age time.Duration
}

// AppliedRevision returns the revision up to which this daemon has applied all
// changes of a section.
func (w *Watcher) AppliedRevision(s Section) contractor.Revision { return w.view.applied()[s] }

// Ready reports whether the daemon has loaded every section of the configuration.
func (w *Watcher) Ready() bool { return w.allLoaded() }

// IsRelay reports whether this daemon watches the store for its zone.
func (w *Watcher) IsRelay() bool { return w.relayList().isRelay }

// Age returns the time since the configuration was last known to be current. It
// is negative when the daemon has had no contact yet.
func (w *Watcher) Age() time.Duration {
	if w.lastContact.Load() == nil {
		return -1
	}
	return w.contactAge(time.Now())
}

// ContractBytes returns the memory of the cached contracts in bytes.
func (w *Watcher) ContractBytes() int { return w.contracts.bytes() }

// InvalidateContract records a change of a contract that this daemon has committed
// itself. The change is in force here at once: an older copy is not used.
func (w *Watcher) InvalidateContract(account contractor.Account, revision contractor.Revision) {
	w.contracts.invalidate(account, revision)
}

// DaemonRevisions requests the applied revisions from the daemons of the given
// zones, or of all zones if none is given.
func (w *Watcher) DaemonRevisions(ctx context.Context, zones ...contractor.Zone) []DaemonRevision {
	if len(zones) == 0 {
		zones = w.config.Members.Zones()
	}
	var peers []messenger.Peer
	for _, zone := range zones {
		peers = append(peers, w.config.Members.Zone(zone)...)
	}
	all := make([]DaemonRevision, len(peers))
	limit := semaphore.NewWeighted(maxParallelRequests)
	var requests sync.WaitGroup
	for i, p := range peers {
		if err := limit.Acquire(ctx, 1); err != nil {
			all[i] = DaemonRevision{Peer: p}
			continue
		}
		requests.Go(func() {
			defer limit.Release(1)
			all[i] = w.requestRevisions(ctx, p)
		})
	}
	requests.Wait()
	return all
}

func (w *Watcher) requestRevisions(ctx context.Context, p messenger.Peer) DaemonRevision {
	if p.VM == w.config.Members.Self().VM {
		return DaemonRevision{Peer: p, Reached: true, Applied: w.view.applied(), Age: w.Age()}
	}
	ctx, cancel := context.WithTimeout(ctx, revisionsTimeout)
	defer cancel()
	response, err := messenger.Call[RevisionsRequest, RevisionsResponse](ctx, w.config.Caller, p, MethodRevisions, &RevisionsRequest{})
	if err != nil {
		return DaemonRevision{Peer: p}
	}
	return DaemonRevision{Peer: p, Reached: true, Applied: response.Applied, Age: response.Age}
}

func (w *Watcher) handleRevisions(context.Context, messenger.Peer, *RevisionsRequest) (*RevisionsResponse, error) {
	return &RevisionsResponse{Applied: w.view.applied(), Age: w.Age()}, nil
}
