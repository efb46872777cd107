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

// MethodDivide asks for the shares of some accounts' rates.
const MethodDivide messenger.Method = 520

const (
	defaultDividePeriod = time.Second
	// shareFloor is the part of a rate that is divided evenly, whatever the demand.
	shareFloor = 0.2
	// forgetDemand is the number of periods after which a silent daemon's demand is dropped.
	forgetDemand = 4
	// forgetShare is the number of periods after which an even share replaces an old one.
	forgetShare = 10
)

// Members knows the live daemons.
type Members interface {
	Self() messenger.Peer
	Zones() []contractor.Zone
	Zone(zone contractor.Zone) []messenger.Peer
}

// RateDivider shares the rates of contracts out over the daemons.
//
// For each account one daemon, found by rendezvous hash, collects the demand of
// all daemons where the account sends requests and answers each with its share.
// A daemon asks once a period for the accounts that it saw, so the messages
// depend on its own traffic and not on the number of accounts. Until the first
// answer, and when answers stay away for long, the share is an even one.
type RateDivider struct {
	Limiter *Limiter
	Members Members
	Caller  messenger.Caller
	// Period is the time between two questions. Zero means 1 s.
	Period time.Duration
	// Recorder counts questions without an answer. Nil discards them.
	Recorder *recorder.Recorder

	mu      sync.Mutex
	demands map[contractor.Account]map[contractor.VM]demand
	answers map[contractor.Account]time.Time
}

type demand struct {
	rate float64
	at   time.Time
}

// divideRequest has the demand of one daemon for some accounts.
type divideRequest struct {
	Accounts []contractor.Account `cbor:"1,keyasint"`
	Rates    []float64            `cbor:"2,keyasint"`
}

// divideAnswer has the shares in the order of the accounts.
type divideAnswer struct {
	Shares []float64 `cbor:"1,keyasint"`
}

func (d *RateDivider) period() time.Duration {
	if d.Period <= 0 {
		return defaultDividePeriod
	}
	return d.Period
}

// Handle registers the handler for questions of other daemons.
func (d *RateDivider) Handle(mux *messenger.Mux) {
	messenger.Handle(mux, MethodDivide, func(_ context.Context, from messenger.Peer, request *divideRequest) (*divideAnswer, error) {
		answer := &divideAnswer{}
		for i, account := range request.Accounts {
			if i < len(request.Rates) {
				answer.Shares = append(answer.Shares, d.divide(time.Now(), account, from.VM, request.Rates[i]))
			}
		}
		return answer, nil
	})
}

// divide notes the demand of a daemon and returns its share.
func (d *RateDivider) divide(now time.Time, account contractor.Account, vm contractor.VM, rate float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.demands == nil {
		d.demands = make(map[contractor.Account]map[contractor.VM]demand)
	}
	daemons := d.demands[account]
	if daemons == nil {
		daemons = make(map[contractor.VM]demand)
		d.demands[account] = daemons
	}
	daemons[vm] = demand{rate, now}
	rates := []float64{rate}
	for other, x := range daemons {
		if now.Sub(x.at) > forgetDemand*d.period() {
			delete(daemons, other)
			continue
		}
		if other != vm {
			rates = append(rates, x.rate)
		}
	}
	return DivideRate(rates, shareFloor)[0]
}

// forget drops the accounts that no daemon asked for recently.
func (d *RateDivider) forget(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for account, daemons := range d.demands {
		for vm, x := range daemons {
			if now.Sub(x.at) > forgetDemand*d.period() {
				delete(daemons, vm)
			}
		}
		if len(daemons) == 0 {
			delete(d.demands, account)
		}
	}
}

// EvenShare is the share of an account that no other daemon answered for. Set
// Config.Share to it.
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

// Run asks for shares until ctx ends.
func (d *RateDivider) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.period())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.round(ctx)
		}
	}
}

// round asks each responsible daemon once.
func (d *RateDivider) round(ctx context.Context) {
	now := time.Now()
	d.forget(now)
	peers := d.peers()
	requests := make(map[messenger.Peer]*divideRequest)
	for _, x := range d.Limiter.demands(now) {
		owner, ok := ownerOf(x.Account, peers)
		if !ok {
			return
		}
		if requests[owner] == nil {
			requests[owner] = &divideRequest{}
		}
		requests[owner].Accounts = append(requests[owner].Accounts, x.Account)
		requests[owner].Rates = append(requests[owner].Rates, x.Rate)
	}
	var group sync.WaitGroup
	for owner, request := range requests {
		group.Go(func() { d.ask(ctx, owner, request) })
	}
	group.Wait()
}

func (d *RateDivider) ask(ctx context.Context, owner messenger.Peer, request *divideRequest) {
	self := d.Members.Self()
	if owner.VM == self.VM {
		for i, account := range request.Accounts {
			d.take(account, d.divide(time.Now(), account, self.VM, request.Rates[i]))
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.period())
	defer cancel()
	answer, err := messenger.Call[divideRequest, divideAnswer](ctx, d.Caller, owner, MethodDivide, request)
	if err != nil || len(answer.Shares) != len(request.Accounts) {
		d.Recorder.Count("limiter.divide_failed", 1)
		d.expire(request.Accounts)
		return
	}
	for i, account := range request.Accounts {
		d.take(account, answer.Shares[i])
	}
}

func (d *RateDivider) take(account contractor.Account, share float64) {
	d.Limiter.SetShare(account, share)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.answers == nil {
		d.answers = make(map[contractor.Account]time.Time)
	}
	d.answers[account] = time.Now()
}

// expire returns to the even share once the last answer is old.
func (d *RateDivider) expire(accounts []contractor.Account) {
	for _, account := range accounts {
		d.mu.Lock()
		old := time.Since(d.answers[account]) > forgetShare*d.period()
		d.mu.Unlock()
		if old {
			d.Limiter.SetShare(account, d.EvenShare(account))
		}
	}
}

// ownerOf returns the daemon with the highest rendezvous hash for an account.
func ownerOf(account contractor.Account, peers []messenger.Peer) (messenger.Peer, bool) {
	var owner messenger.Peer
	highest, found := uint64(0), false
	for _, p := range peers {
		hash := xxhash.Sum64String(string(account) + "\x00" + string(p.VM))
		if !found || hash > highest {
			owner, highest, found = p, hash, true
		}
	}
	return owner, found
}
