package apportioner

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
)

// restoreCase is a fleet whose store is restored from older copies while it spends.
type restoreCase struct {
	name    string
	daemons int
	prepaid contractor.Tokens
	// requestSize is the mean cost of a request.
	requestSize contractor.Tokens
	// before and after are the daemons that are killed and start again between the copy and the
	// restore, and after it. A daemon that is away has no contact with the store for the restore.
	before, after, away int
	// added daemons register between the copy and the restore. leaving ones do as well, spend, and leave in order;
	// leavingBefore ones leave just before the copy.
	added, leaving, leavingBefore int
	transfers, relay              bool
	// killed daemons register between the copy and the restore, are killed while the store is away and start again
	// within startWithin of the restore. They spend for killedAfter before that, or for up to 3 s if it is zero.
	killed                   int
	killedAfter, startWithin time.Duration
	// again restores the store from the same copy once more, 3 s later.
	again bool
	// topUp is added to the prepaid tokens between the copy and the restore.
	topUp contractor.Tokens
	// minSpent is the fraction of the prepaid tokens that can be spent at least. The users owe a
	// request until 0.97 are used.
	minSpent float64
}

const owedFraction = 0.97

var drillSeeds = flag.Int("drills", 4, "seeds of each case in which the store is restored")

var restoreCases = []restoreCase{
	{name: "ample balance", daemons: 7, prepaid: 4_000_000, requestSize: 8_000, minSpent: owedFraction},
	{name: "balance runs dry", daemons: 7, prepaid: 1_800_000, requestSize: 10_000, minSpent: owedFraction},
	{name: "transfers", daemons: 7, prepaid: 1_800_000, requestSize: 10_000, transfers: true},
	{name: "one restarts before", daemons: 7, prepaid: 1_800_000, requestSize: 10_000, before: 1},
	{name: "one restarts after", daemons: 7, prepaid: 4_000_000, requestSize: 8_000, after: 1},
	{name: "all restart", daemons: 7, prepaid: 4_000_000, requestSize: 8_000, after: 7},
	{name: "some of all", daemons: 7, prepaid: 2_500_000, requestSize: 10_000, before: 2, after: 2, transfers: true},
	{name: "one is away", daemons: 7, prepaid: 1_800_000, requestSize: 10_000, away: 2, minSpent: owedFraction},
	{name: "away and restarts", daemons: 7, prepaid: 2_500_000, requestSize: 10_000, away: 1, before: 1, after: 1},
	{name: "daemons are added", daemons: 5, prepaid: 1_800_000, requestSize: 10_000, added: 2, minSpent: owedFraction},
	{name: "added daemons leave", daemons: 5, prepaid: 1_800_000, requestSize: 10_000, leaving: 1},
	{name: "added daemons leave, large requests", daemons: 2, prepaid: 900_000, requestSize: 10_000, leaving: 1},
	{name: "added daemons leave, relay", daemons: 40, prepaid: 6_000_000, requestSize: 10_000, leaving: 3, relay: true},
	{name: "daemons leave before the copy", daemons: 5, prepaid: 1_800_000, requestSize: 10_000, leavingBefore: 1, minSpent: owedFraction},
	{name: "added daemon is killed, 2", daemons: 2, prepaid: 900_000, requestSize: 10_000, killed: 1},
	{name: "added daemon is killed", daemons: 7, prepaid: 1_800_000, requestSize: 10_000, killed: 1},
	{name: "added daemon is killed, starts later", daemons: 7, prepaid: 1_800_000, requestSize: 10_000, killed: 1, startWithin: 300 * time.Millisecond},
	{name: "added daemon is killed, starts late", daemons: 7, prepaid: 1_800_000, requestSize: 10_000, killed: 1, startWithin: 12 * time.Second},
	{name: "added daemons are killed", daemons: 7, prepaid: 1_800_000, requestSize: 10_000, killed: 3, startWithin: 300 * time.Millisecond, transfers: true},
	{name: "added daemons are killed at once", daemons: 3, prepaid: 1_200_000, requestSize: 10_000, killed: 2, killedAfter: 300 * time.Millisecond, startWithin: 12 * time.Second},
	{name: "added daemons are killed, twice from one copy", daemons: 5, prepaid: 1_800_000, requestSize: 10_000, killed: 2, startWithin: 300 * time.Millisecond, again: true},
	{name: "twice from one copy", daemons: 7, prepaid: 1_800_000, requestSize: 10_000, again: true, minSpent: owedFraction},
	{name: "added daemons are killed, relay", daemons: 40, prepaid: 6_000_000, requestSize: 10_000, killed: 3, startWithin: 300 * time.Millisecond, relay: true},
	{name: "top-up", daemons: 7, prepaid: 1_200_000, requestSize: 10_000, topUp: 600_000, minSpent: owedFraction},
	{name: "relay", daemons: 40, prepaid: 6_000_000, requestSize: 10_000, relay: true, transfers: true},
	{name: "relay and restarts", daemons: 40, prepaid: 6_000_000, requestSize: 10_000, relay: true, transfers: true, before: 3, after: 3},
}

// A store that is restored from a copy of some seconds ago has lost grants that it had acknowledged.
// Daemons that took the copy for the truth, or took over rows of it, spent the same tokens twice.
func TestRestoredStoreDoesNotGrantTokensTwice(t *testing.T) {
	for _, c := range restoreCases {
		for seed := range uint64(*drillSeeds) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { c.run(t, rand.New(rand.NewPCG(seed, 3))) })
			})
		}
	}
}

func (c restoreCase) run(t *testing.T, random *rand.Rand) {
	var transfers *rand.Rand
	if c.transfers {
		transfers = rand.New(rand.NewPCG(random.Uint64(), 1))
	}
	f := newTransferFleet(c.daemons, c.prepaid, transfers)
	defer f.stopAll()
	if c.relay {
		defer f.startRelay(nil)()
	}
	time.Sleep(6 * time.Second)
	f.spendFor(random, 4*time.Second, c.requestSize)
	for range 2 + random.IntN(2) {
		c.drill(f, random)
		f.spendFor(random, time.Duration(1+random.IntN(4))*time.Second, c.requestSize)
	}
	time.Sleep(25 * time.Second)
	for range 20 {
		for _, d := range f.daemons {
			f.drain(d, 500)
		}
		time.Sleep(time.Second)
	}
	t.Logf("spent %.3f of the prepaid tokens", float64(f.spent)/float64(f.prepaid))
	require.LessOrEqual(t, f.spent, f.prepaid)
	require.GreaterOrEqual(t, float64(f.spent), c.minSpent*float64(f.prepaid))
}

// drill restores the store from a copy that is 2 to 5 s old.
func (c restoreCase) drill(f *fleet, random *rand.Rand) {
	f.addAndLeave(random, c.leavingBefore, c.requestSize)
	if c.leavingBefore > 0 {
		f.spendFor(random, 3*time.Second, c.requestSize) // the others see the departures
	}
	content := f.store.Copy()
	f.addAndLeave(random, c.leaving, c.requestSize)
	f.spendFor(random, time.Duration(500+random.IntN(1500))*time.Millisecond, c.requestSize)
	for range c.added + c.killed {
		f.add()
	}
	killed := slices.Clone(f.daemons[len(f.daemons)-c.killed:])
	f.prepaid += c.topUp
	for _, d := range f.daemons {
		d.SetPrepaidLimits(map[contractor.Account]contractor.Tokens{testAccount: f.prepaid})
	}
	if c.killedAfter > 0 {
		f.spendFor(random, c.killedAfter, c.requestSize)
	} else {
		f.spendFor(random, time.Duration(500+random.IntN(1500))*time.Millisecond, c.requestSize)
		f.restart(random, c.before)
		f.spendFor(random, time.Duration(random.IntN(1000))*time.Millisecond, c.requestSize)
	}
	away := f.daemons[:c.away]
	for _, d := range away {
		d.link.partitioned.Store(true)
	}
	f.store.SetFaults(emulator.StoreFaults{Outage: true})
	f.spendFor(random, time.Second, c.requestSize)
	for _, d := range killed {
		f.exhaust(d, c.requestSize)
		d.stop()
	}
	f.daemons = f.daemons[:len(f.daemons)-c.killed]
	f.store.Restore(content)
	f.store.SetFaults(emulator.StoreFaults{})
	f.startWithin(random, killed, c.startWithin, c.requestSize)
	if c.again {
		f.spendFor(random, 3*time.Second, c.requestSize)
		f.store.Restore(content)
	}
	f.spendFor(random, time.Duration(random.IntN(600))*time.Millisecond, c.requestSize)
	f.restart(random, c.after)
	f.spendFor(random, 3*time.Second, c.requestSize)
	for _, d := range away {
		d.link.partitioned.Store(false)
	}
}

// addAndLeave adds daemons, which serve for 3 s and then leave in order.
func (f *fleet) addAndLeave(random *rand.Rand, count int, size contractor.Tokens) {
	before := len(f.daemons)
	for range count {
		f.add()
		f.daemons[len(f.daemons)-1].SetPrepaidLimits(map[contractor.Account]contractor.Tokens{testAccount: f.prepaid})
	}
	if count == 0 {
		return
	}
	f.spendFor(random, 3*time.Second, size)
	leaving := f.daemons[before:]
	for _, d := range leaving {
		f.exhaust(d, size)
		d.stop()
	}
	time.Sleep(100 * time.Millisecond)
	for _, d := range leaving {
		d.Leave(context.Background())
	}
	f.daemons = f.daemons[:before]
}

// exhaust spends most of what a daemon holds unlocked.
func (f *fleet) exhaust(d *daemon, size contractor.Tokens) {
	for range 20 {
		_ = f.spend(d, size, size) // refused once its share is used up
	}
}

// startWithin starts killed daemons again, one after the other within a time, while the others spend.
func (f *fleet) startWithin(random *rand.Rand, killed []*daemon, within time.Duration, size contractor.Tokens) {
	for _, d := range killed {
		if within > 0 {
			f.spendFor(random, time.Duration(random.Int64N(int64(within)))/time.Duration(len(killed)), size)
		}
		f.launch(d)
		f.daemons = append(f.daemons, d)
	}
}

// spendFor spends at random daemons for a time. Refusals are allowed.
func (f *fleet) spendFor(random *rand.Rand, d time.Duration, size contractor.Tokens) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(random.IntN(80)) * time.Millisecond) {
		cost := size/2 + contractor.Tokens(random.IntN(int(size)))
		_ = f.spend(f.daemons[random.IntN(len(f.daemons))], cost, cost-cost/10)
	}
}

// restart kills a number of daemons, which start again within 1.5 s.
func (f *fleet) restart(random *rand.Rand, count int) {
	for _, i := range random.Perm(len(f.daemons))[:count] {
		f.daemons[i].stop()
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		f.daemons[i].reboots += random.IntN(2)
		f.launch(f.daemons[i])
	}
}
