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
	// revisionsTimeout limits the question for a daemon's revisions.
	revisionsTimeout = time.Second
	// maxParallelRequests is the number of daemons that are asked at a time.
	maxParallelRequests = 64
)

// DaemonRevision tells what is in force in one daemon.
type DaemonRevision struct {
	Peer messenger.Peer
	// Reached is false when the daemon did not answer; then the rest is empty.
	Reached bool
	Applied Revisions
	// Age is the time since the daemon's last contact; negative means never.
	Age time.Duration
}

// AppliedRevision returns the revision of a section up to which all changes are
// applied in this daemon.
func (w *Watcher) AppliedRevision(s Section) contractor.Revision { return w.view.applied()[s] }

// Ready reports whether the daemon knows the configuration.
func (w *Watcher) Ready() bool { return w.allLoaded() }

// IsRelay reports whether this daemon watches the store for its zone.
func (w *Watcher) IsRelay() bool { return w.relayList().isRelay }

// Age returns the time since the configuration was last known to be current.
// It is negative when there was no contact at all.
func (w *Watcher) Age() time.Duration {
	if w.lastContact.Load() == nil {
		return -1
	}
	return w.contactAge(time.Now())
}

// ContractBytes returns the memory that copies of contracts take.
func (w *Watcher) ContractBytes() int { return w.contracts.bytes() }

// InvalidateContract notes a change of a contract that this daemon has committed itself, so
// that it is in force here at once.
func (w *Watcher) InvalidateContract(account contractor.Account, revision contractor.Revision) {
	w.contracts.invalidate(account, revision)
}

// DaemonRevisions asks the daemons of some zones what is in force. Without zones it
// asks all.
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
