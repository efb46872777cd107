package quarantiner

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/recorder"
)

// MethodSuspects is the method that announces suspects to another daemon.
const MethodSuspects messenger.Method = 510

const (
	defaultBroadcastTimeout = time.Second
	// maxConcurrentCalls is the maximum number of daemons that are called concurrently.
	maxConcurrentCalls = 64
)

// Members lists the live daemons of the fleet.
type Members interface {
	Self() messenger.Peer
	Zones() []contractor.Zone
	Zone(zone contractor.Zone) []messenger.Peer
}

// Broadcaster announces suspects to the other daemons before the caller of the request gets
// a response. A retry at another daemon is then recognized as a suspect. Set Config.Broadcast
// to its Broadcast method.
type Broadcaster struct {
	Members Members
	Caller  messenger.Caller
	// Timeout is the maximum time to wait for daemons that do not respond. Zero means 1 s.
	Timeout time.Duration
	// Recorder counts the daemons that were not reached. Nil discards them.
	Recorder *recorder.Recorder
}

// suspectsNotification is the message that carries the records of one crash.
type suspectsNotification struct {
	Records []Record `cbor:"1,keyasint"`
}

// suspectsResponse is the response to a suspectsNotification.
type suspectsResponse struct{}

// Handle registers the handler that merges records from other daemons into local.
func Handle(mux *messenger.Mux, local *Quarantiner) {
	messenger.Handle(mux, MethodSuspects, func(_ context.Context, _ messenger.Peer, request *suspectsNotification) (*suspectsResponse, error) {
		local.Merge(time.Now(), request.Records)
		return &suspectsResponse{}, nil
	})
}

// Broadcast sends records to every other daemon and waits until all have responded or the
// timeout has passed.
func (b *Broadcaster) Broadcast(records []Record) {
	timeout := b.Timeout
	if timeout <= 0 {
		timeout = defaultBroadcastTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	var mu sync.Mutex
	unreached := 0
	for _, peer := range b.peers() {
		group.Go(func() error {
			_, err := messenger.Call[suspectsNotification, suspectsResponse](ctx, b.Caller, peer, MethodSuspects, &suspectsNotification{records})
			if err != nil {
				mu.Lock()
				unreached++
				mu.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait()
	if unreached > 0 {
		b.Recorder.Event(recorder.SuspectsNotShared, "daemons", unreached)
	}
}

func (b *Broadcaster) peers() []messenger.Peer {
	self := b.Members.Self()
	var list []messenger.Peer
	for _, zone := range b.Members.Zones() {
		for _, p := range b.Members.Zone(zone) {
			if p.VM != self.VM {
				list = append(list, p)
			}
		}
	}
	return list
}
