package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/recorder"
)

// MethodDivide requests the shares of the rates of some accounts.
const MethodDivide messenger.Method = 520

const (
	defaultDividePeriod = time.Second
	// evenRateFraction is the fraction of a rate that is divided evenly, whatever
	// the demand.
	evenRateFraction = 0.2
	// demandRetentionPeriods is the number of periods after which the demand of
	// a daemon that sends no requests is dropped.
	demandRetentionPeriods = 4
	// shareRetentionPeriods is the number of periods after which an even share
	// replaces a share that was not renewed.
	shareRetentionPeriods = 10
)

// Members lists the live daemons.
type Members interface {
	Self() messenger.Peer
	Zones() []contractor.Zone
	Zone(zone contractor.Zone) []messenger.Peer
}

// RateDivider divides the rates of contracts among the daemons.
//
// Each account has a coordinator, found by rendezvous hashing. The coordinator
// collects the demand of all daemons that receive requests of the account and
// returns to each of them its share of the rate. Once per period a daemon
// requests the shares of the accounts that it has seen recently. The number of
// messages therefore depends on the daemon's own traffic and not on the number
// of accounts. Until the first response, and when responses are missing for
// shareRetentionPeriods, the share is an even one.
type RateDivider struct {
	Limiter *Limiter
	Members Members
	Caller  messenger.Caller
	// Period is the time between two requests for shares. Zero means 1 s.
	Period time.Duration
	// Recorder counts failed requests for shares. Nil discards them.
	Recorder *recorder.Recorder

	mu           sync.Mutex
	demands      map[contractor.Account]map[contractor.VM]daemonDemand
	lastResponse map[contractor.Account]time.Time
}

type daemonDemand struct {
	rate       float64
	receivedAt time.Time
}

// shareRequest holds one daemon's demand for some accounts, in requests per second.
type shareRequest struct {
	Accounts []contractor.Account `cbor:"1,keyasint"`
	Rates    []float64            `cbor:"2,keyasint"`
}

// shareResponse holds the shares in the order of the requested accounts.
type shareResponse struct {
	Shares []float64 `cbor:"1,keyasint"`
}

func (d *RateDivider) period() time.Duration {
	if d.Period <= 0 {
		return defaultDividePeriod
	}
	return d.Period
}

// Handle registers the handler for requests of other daemons.
func (d *RateDivider) Handle(mux *messenger.Mux) {
	messenger.Handle(mux, MethodDivide, func(_ context.Context, from messenger.Peer, request *shareRequest) (*shareResponse, error) {
		response := &shareResponse{}
		for i, account := range request.Accounts {
			if i < len(request.Rates) {
				response.Shares = append(response.Shares, d.allocateShare(time.Now(), account, from.VM, request.Rates[i]))
			}
		}
		return response, nil
	})
}

// allocateShare records the demand of a daemon and returns the daemon's share.
func (d *RateDivider) allocateShare(now time.Time, account contractor.Account, vm contractor.VM, rate float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.demands == nil {
		d.demands = make(map[contractor.Account]map[contractor.VM]daemonDemand)
	}
	daemons := d.demands[account]
	if daemons == nil {
		daemons = make(map[contractor.VM]daemonDemand)
		d.demands[account] = daemons
	}
	daemons[vm] = daemonDemand{rate, now}
	rates := []float64{rate}
	for other, entry := range daemons {
		if now.Sub(entry.receivedAt) > demandRetentionPeriods*d.period() {
			delete(daemons, other)
			continue
		}
		if other != vm {
			rates = append(rates, entry.rate)
		}
	}
	return DivideRate(rates, evenRateFraction)[0]
}

// evictOldDemands drops demands older than demandRetentionPeriods and accounts
// without demand.
func (d *RateDivider) evictOldDemands(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for account, daemons := range d.demands {
		for vm, entry := range daemons {
			if now.Sub(entry.receivedAt) > demandRetentionPeriods*d.period() {
				delete(daemons, vm)
			}
		}
		if len(daemons) == 0 {
			delete(d.demands, account)
		}
	}
}

// EvenShare returns the share of an account before a coordinator has allocated
// one. It is meant for Config.Share.
func (d *RateDivider) EvenShare(contractor.Account) float64 {
	return 1 / float64(max(len(d.peers()), 1))
}

func (d *RateDivider) peers() []messenger.Peer {
	var list []messenger.Peer
	for _, zone := range d.Members.Zones() {
		list = append(list, d.Members.Zone(zone)...)
	}
	return list
}

// Run requests shares once per period until ctx ends.
func (d *RateDivider) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.period())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.requestShares(ctx)
		}
	}
}

// requestShares sends one request to each coordinator of the accounts seen
// recently.
func (d *RateDivider) requestShares(ctx context.Context) {
	now := time.Now()
	d.evictOldDemands(now)
	peers := d.peers()
	requestsByCoordinator := make(map[messenger.Peer]*shareRequest)
	for _, demand := range d.Limiter.demands(now) {
		coordinator, ok := coordinatorOf(demand.Account, peers)
		if !ok {
			return
		}
		if requestsByCoordinator[coordinator] == nil {
			requestsByCoordinator[coordinator] = &shareRequest{}
		}
		requestsByCoordinator[coordinator].Accounts = append(requestsByCoordinator[coordinator].Accounts, demand.Account)
		requestsByCoordinator[coordinator].Rates = append(requestsByCoordinator[coordinator].Rates, demand.Rate)
	}
	var group sync.WaitGroup
	for coordinator, request := range requestsByCoordinator {
		group.Go(func() { d.requestSharesFrom(ctx, coordinator, request) })
	}
	group.Wait()
}

func (d *RateDivider) requestSharesFrom(ctx context.Context, coordinator messenger.Peer, request *shareRequest) {
	self := d.Members.Self()
	if coordinator.VM == self.VM {
		for i, account := range request.Accounts {
			d.applyShare(account, d.allocateShare(time.Now(), account, self.VM, request.Rates[i]))
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.period())
	defer cancel()
	response, err := messenger.Call[shareRequest, shareResponse](ctx, d.Caller, coordinator, MethodDivide, request)
	if err != nil || len(response.Shares) != len(request.Accounts) {
		d.Recorder.Count("limiter.divide_failed", 1)
		d.useEvenShareIfExpired(request.Accounts)
		return
	}
	for i, account := range request.Accounts {
		d.applyShare(account, response.Shares[i])
	}
}

func (d *RateDivider) applyShare(account contractor.Account, share float64) {
	d.Limiter.SetShare(account, share)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastResponse == nil {
		d.lastResponse = make(map[contractor.Account]time.Time)
	}
	d.lastResponse[account] = time.Now()
}

// useEvenShareIfExpired sets an even share for accounts whose last response is
// older than shareRetentionPeriods.
func (d *RateDivider) useEvenShareIfExpired(accounts []contractor.Account) {
	for _, account := range accounts {
		d.mu.Lock()
		expired := time.Since(d.lastResponse[account]) > shareRetentionPeriods*d.period()
		d.mu.Unlock()
		if expired {
			d.Limiter.SetShare(account, d.EvenShare(account))
		}
	}
}

// coordinatorOf returns the daemon with the highest rendezvous hash for an
// account.
func coordinatorOf(account contractor.Account, peers []messenger.Peer) (messenger.Peer, bool) {
	var coordinator messenger.Peer
	highest, found := uint64(0), false
	for _, p := range peers {
		hash := xxhash.Sum64String(string(account) + "\x00" + string(p.VM))
		if !found || hash > highest {
			coordinator, highest, found = p, hash, true
		}
	}
	return coordinator, found
}
