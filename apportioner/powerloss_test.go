package apportioner

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/persister"
)

const (
	// powerLosses is the number of losses of power of all VMs, and powerLossInterval the time
	// between two of them.
	powerLosses       = 3
	powerLossInterval = 2 * time.Second
	// trafficBeforeLoss is how long the traffic lasts before the first loss of power.
	trafficBeforeLoss = 10 * time.Second
	// joinTime is the time until a fleet has its shares.
	joinTime = 8 * time.Second
	// settlingTime is the time after the last request until the rows hold all that was spent.
	settlingTime = 3 * time.Second
)

// stageTotals are sums over the daemons and accounts of what one loss of power found and took,
// in tokens.
type stageTotals struct {
	daemons                          int
	held, unsettled, reserved, taken contractor.Tokens
}

// powerLossReplay plays losses of power on a fleet.
type powerLossReplay struct {
	*replay
	// losses holds, for each loss of power, the totals by the stage that the next incarnation
	// assumes.
	losses [powerLosses][len(stages) + 1]stageTotals
	// interrupted is what the requests in flight had reserved at the losses of power.
	interrupted contractor.Tokens
	// dead holds the incarnation of each daemon that lost power and has not been replaced.
	dead map[*replayDaemon]*Apportioner
	loss int
}

func newPowerLossReplay(load replayLoad, seed uint64) *powerLossReplay {
	p := &powerLossReplay{replay: newReplay(load, seed), dead: make(map[*replayDaemon]*Apportioner)}
	p.observeStore = p.observeTakeOver
	return p
}

// observeTakeOver records what the first write of an incarnation takes off the balances.
func (p *powerLossReplay) observeTakeOver(d *replayDaemon) func(persister.Txn) {
	return func(txn persister.Txn) {
		key := rowPrefix + fmt.Sprintf("edge-%d", d.index)
		before, err := decode[row](key, p.store.Peek(key).Value)
		if err != nil {
			return
		}
		for _, put := range txn.Puts {
			after, err := decode[row](key, put.Value)
			if put.Key != key || err != nil || after.Incarnation == before.Incarnation {
				continue
			}
			a := d.current.Load()
			a.mu.Lock()
			stage := a.state.predecessorStage
			a.mu.Unlock()
			p.update(func() { p.recordTakeOver(d, stage, before, after) })
		}
	}
}

func (p *powerLossReplay) recordTakeOver(d *replayDaemon, stage int, before, after row) {
	old := p.dead[d]
	if old == nil {
		return
	}
	delete(p.dead, d)
	old.mu.Lock()
	defer old.mu.Unlock()
	totals := &p.losses[p.loss][stage]
	totals.daemons++
	for name, h := range before.Accounts {
		s := old.accounts[name]
		totals.held += h.Granted - h.Spent
		totals.unsettled += s.spent - h.Spent
		totals.reserved += s.reserved
		totals.taken += after.Accounts[name].Spent - h.Spent
	}
}

// losePower cuts the power of all VMs, and starts them again.
func (p *powerLossReplay) losePower(loss int) {
	p.update(func() {
		p.loss = loss
		for _, d := range p.daemons {
			old := d.current.Load()
			if !old.Joined() {
				continue // the row is still that of the incarnation before
			}
			p.dead[d] = old
			old.mu.Lock()
			for _, s := range old.accounts {
				p.interrupted += s.reserved
			}
			old.mu.Unlock()
		}
	})
	p.killAll()
}

// spendEarlier spends a fraction of each balance at all daemons in proportion to what they hold.
func (p *powerLossReplay) spendEarlier(fraction float64) {
	for name, prepaid := range p.prepaid {
		shares, granted := make([]contractor.Tokens, len(p.daemons)), contractor.Tokens(0)
		for i, d := range p.daemons {
			a := d.current.Load()
			a.mu.Lock()
			shares[i] = a.account(name).granted
			a.mu.Unlock()
			granted += shares[i]
		}
		for i, d := range p.daemons {
			used := contractor.Tokens(fraction * float64(prepaid) * float64(shares[i]) / float64(granted))
			a := d.current.Load()
			a.mu.Lock()
			a.account(name).spent += used
			a.mu.Unlock()
			p.spent[name] += used
		}
	}
}

// traffic sends requests until a time.
func (p *powerLossReplay) traffic(phase int, until time.Time) {
	gap := time.Duration(float64(time.Second) / p.load.requestsPerSecond)
	for time.Now().Before(until) {
		client := p.random.IntN(len(p.clients))
		account := p.own[client]
		if p.random.Float64() >= ownAccountFraction {
			account = p.drawAccount()
		}
		k := p.drawKind()
		prompt := 0.0
		for _, d := range k.parts {
			prompt += d.draw(p.random)
		}
		elsewhere := p.daemons[p.random.IntN(len(p.daemons))]
		go p.request(phase, p.daemons[p.clients[client]], elsewhere, p.names[account], contractor.Tokens(prompt), k)
		time.Sleep(time.Duration(float64(gap) * p.random.ExpFloat64()))
	}
}

// request plays one request, which ends when its daemon loses power.
func (p *powerLossReplay) request(phase int, first, second *replayDaemon, account contractor.Account, prompt contractor.Tokens, k requestKind) {
	p.update(func() { p.phases[phase].requests++ })
	d, a := first, first.current.Load()
	r, err := a.Reserve(context.Background(), account, prompt+k.maxOutput)
	if err != nil {
		p.update(func() { p.phases[phase].retried++ })
		time.Sleep(min(time.Second, k.deadline/3))
		d, a = second, second.current.Load()
		r, err = a.Reserve(context.Background(), account, prompt+k.maxOutput)
	}
	if err != nil {
		p.update(func() { p.phases[phase].refused++ })
		return
	}
	for _, step := range []struct {
		after time.Duration
		used  contractor.Tokens
	}{{prefillTime, prompt}, {decodeTime, k.maxOutput / 2}} {
		time.Sleep(step.after)
		p.update(func() {
			if d.current.Load() == a && p.dead[d] != a {
				r.Spend(step.used)
				p.spent[account] += step.used
			}
		})
	}
	p.update(func() {
		if p.dead[d] != a {
			r.Release()
		}
	})
}

// callsPerDaemon returns the calls to the store of each daemon per second since a count.
func (p *powerLossReplay) callsPerDaemon(since int64, length time.Duration) float64 {
	return float64(p.store.Counts().Calls()-since) / length.Seconds() / float64(p.load.daemons)
}

// allPowerLosses makes the test play all its cases and seeds, for figures. Without it, the test leaves
// out those of the largest fleet, which take 50 s with the race detector.
var allPowerLosses = flag.Bool("powerlosses", false, "play all cases of TestBalancesAfterPowerLosses")

// powerLossLoads are those of the users' sites: their accounts, requests per second and balances,
// which last for 44 s. The large sites have four and ten times as many accounts and requests, which
// makes no difference to a daemon's share of an account but takes too long.
var powerLossLoads = []replayLoad{
	{daemons: 7, accounts: 10, clients: 60, requestsPerSecond: 60, length: 34 * time.Second, prepaidFactor: 1.3, withoutRelay: true},
	{daemons: 76, accounts: 6, clients: 150, requestsPerSecond: 57, length: 34 * time.Second, prepaidFactor: 1.3},
	{daemons: 295, accounts: 4, clients: 560, requestsPerSecond: 86, length: 34 * time.Second, prepaidFactor: 1.3},
}

// Guards against losses of power that take so much off the balances that later requests are
// refused although they are paid for. All VMs lose power three times, half-way through the balances.
// Before the first loss the store is reachable, or all daemons are partitioned from it and from each
// other, so that they have unlocked later stages. No account may be overspent.
func TestBalancesAfterPowerLosses(t *testing.T) {
	tests := []struct {
		load  int
		cut   time.Duration // how long the store is unreachable before the first loss
		seeds []uint64      // the first of them only without the flag
		// minimum is the least fraction of the rest of the balances that can still be spent, and
		// maxCalls the most calls of a daemon to the store per second before the losses.
		minimum, maxCalls float64
		slow              bool // only with the flag
	}{
		{load: 0, seeds: []uint64{1, 2, 3}, minimum: 0.93, maxCalls: 8},
		{load: 0, cut: 3 * time.Second, seeds: []uint64{4, 5, 6}, minimum: 0.72, maxCalls: 9},
		{load: 0, cut: 5500 * time.Millisecond, seeds: []uint64{7, 8, 9}, minimum: 0.58, maxCalls: 9},
		{load: 0, cut: 8 * time.Second, seeds: []uint64{10, 11, 12}, minimum: 0.65, maxCalls: 9},
		{load: 1, seeds: []uint64{13, 14, 15}, minimum: 0.72, maxCalls: 0.6},
		{load: 1, cut: 3 * time.Second, seeds: []uint64{16, 17}, maxCalls: 0.6, slow: true},
		{load: 1, cut: 5500 * time.Millisecond, seeds: []uint64{18, 19}, maxCalls: 0.6, slow: true},
		{load: 1, cut: 8 * time.Second, seeds: []uint64{20, 21}, maxCalls: 0.6, slow: true},
		{load: 2, seeds: []uint64{22, 23}, minimum: 0.7, maxCalls: 0.3, slow: true},
		{load: 2, cut: 5500 * time.Millisecond, seeds: []uint64{24}, maxCalls: 0.3, slow: true},
	}
	for _, tt := range tests {
		load := powerLossLoads[tt.load]
		for j, seed := range tt.seeds {
			if !*allPowerLosses && (j > 0 || tt.slow) {
				continue
			}
			t.Run(fmt.Sprintf("%d daemons, store unreachable for %v, seed %d", load.daemons, tt.cut, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newPowerLossReplay(load, seed)
					calls := p.run(t, tt.cut)
					require.GreaterOrEqual(t, p.report(t), tt.minimum)
					require.LessOrEqual(t, calls, tt.maxCalls)
				})
			})
		}
	}
}

// run plays the traffic and the losses of power. It returns the calls to the store of each daemon
// per second before them.
func (p *powerLossReplay) run(t *testing.T, cut time.Duration) float64 {
	p.phases = make([]phaseTotals, powerLosses+2)
	time.Sleep(joinTime)
	balanceLength := time.Duration(float64(p.load.length) * p.load.prepaidFactor)
	p.spendEarlier(0.5 - float64(trafficBeforeLoss)/float64(balanceLength))
	firstLoss := time.Now().Add(trafficBeforeLoss)
	before := p.store.Counts().Calls()
	p.traffic(0, firstLoss.Add(-cut))
	calls := p.callsPerDaemon(before, trafficBeforeLoss-cut)
	p.network.setPartitioned(cut > 0)
	p.traffic(1, firstLoss)
	before = p.store.Counts().Calls()
	for loss := range powerLosses {
		time.AfterFunc(downTime/2, func() { p.network.setPartitioned(false) })
		p.losePower(loss)
		p.traffic(loss+2, firstLoss.Add(time.Duration(loss+1)*powerLossInterval))
	}
	t.Logf("calls per daemon and second: %.2f before, %.2f between the losses", calls, p.callsPerDaemon(before, powerLosses*powerLossInterval))
	time.Sleep(settlingTime)
	p.stopAll()
	time.Sleep(drainTime)
	return calls
}

// report logs the table and returns the fraction of the unspent balances that can still be spent,
// apart from what requests in flight had reserved.
func (p *powerLossReplay) report(t *testing.T) float64 {
	t.Logf("%-5s %-6s %8s %11s %11s %11s %11s", "loss", "stage", "daemons", "held", "since round", "reserved", "written off")
	for loss, byStage := range p.losses {
		for stage, s := range byStage {
			if s.daemons == 0 {
				continue
			}
			name := "all"
			if stage < len(stages) {
				name = stages[stage].name
			}
			t.Logf("%-5d %-6s %8d %11d %11d %11d %11d", loss+1, name, s.daemons, s.held, s.unsettled, s.reserved, s.taken)
		}
	}
	settled := make(map[contractor.Account]contractor.Tokens)
	for _, key := range p.store.Keys(rowPrefix) {
		r, err := decode[row](key, p.store.Peek(key).Value)
		require.NoError(t, err)
		for name, h := range r.Accounts {
			settled[name] += h.Spent
		}
	}
	unspent, spendable := contractor.Tokens(0), contractor.Tokens(0)
	for name, prepaid := range p.prepaid {
		require.LessOrEqual(t, p.spent[name], settled[name], "%s: less is settled than was spent", name)
		require.LessOrEqual(t, settled[name], prepaid, name)
		unspent += prepaid - p.spent[name]
		spendable += prepaid - settled[name]
	}
	for phase, totals := range p.phases {
		t.Logf("phase %d: %+v", phase, totals)
	}
	kept := float64(spendable+min(p.interrupted, unspent-spendable)) / float64(unspent)
	t.Logf("unspent %d, spendable %d, reserved at the losses %d: %.4f can still be spent", unspent, spendable, p.interrupted, kept)
	return kept
}
