package watcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/tracker"
	"laburnumline/watcher"
)

var _ watcher.Members = (*tracker.Tracker)(nil)

// faultTest is a randomized test that changes contracts while links, the store
// and daemons fail.
type faultTest struct {
	*fleet
	t        *testing.T
	random   *rand.Rand
	accounts []contractor.Account
	// newest is the newest revision of each account.
	newest map[contractor.Account]contractor.Revision
	// served is the newest revision that each daemon has returned for each account.
	served map[string]contractor.Revision
}

func (c *faultTest) injectFault() {
	zone := contractor.Zone(fmt.Sprintf("zone-%d", c.random.IntN(2)))
	switch c.random.IntN(9) {
	case 0:
		c.partitionZone(zone, true)
	case 1, 2:
		c.heal()
	case 3:
		c.store.SetFaults(emulator.StoreFaults{Outage: true})
	case 4:
		c.store.SetFaults(emulator.StoreFaults{EventDelay: time.Duration(c.random.IntN(5000)) * time.Millisecond})
	case 5:
		c.store.SetFaults(emulator.StoreFaults{})
		c.store.Compact(c.store.Revision() - contractor.Revision(c.random.IntN(10)))
	case 6:
		c.store.SetFaults(emulator.StoreFaults{Delay: time.Duration(c.random.IntN(500)) * time.Millisecond})
	case 7:
		c.frozen.Store(c.daemons[c.random.IntN(len(c.daemons))].peer.VM, true)
	case 8:
		i := c.random.IntN(len(c.daemons))
		c.daemons[i].stop()
		c.daemons[i] = c.start(c.daemons[i].peer)
		for _, account := range c.accounts {
			delete(c.served, fmt.Sprint(c.daemons[i].peer.VM, account))
		}
	}
}

func (c *faultTest) heal() {
	c.partitionZone("zone-0", false)
	c.partitionZone("zone-1", false)
	c.frozen.Clear()
}

// checkContract reads a contract from one daemon. Its revision must not decrease
// and must include every change that the daemon has applied.
func (c *faultTest) checkContract() {
	d := c.daemons[c.random.IntN(len(c.daemons))]
	account := c.accounts[c.random.IntN(len(c.accounts))]
	applied := d.AppliedRevision(watcher.Contracts)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, revision, err := d.Contract(ctx, account)
	if err != nil {
		return
	}
	key := fmt.Sprint(d.peer.VM, account)
	require.GreaterOrEqual(c.t, revision, c.served[key])
	c.served[key] = revision
	if newest := c.newest[account]; newest <= applied {
		require.Equal(c.t, newest, revision)
	}
}

// Guards against a daemon that returns an older contract than before, or one
// without a change that it has applied. That may happen when a relay with older
// copies responds after a partition, a restart or a compaction of the store.
func TestContractRevisionsNeverDecrease(t *testing.T) {
	for seed := range uint64(4) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, watcher.Config{StalePolicy: watcher.Serve, StaleAfter: time.Minute}, 3, 3)
			defer f.stop()
			c := &faultTest{
				fleet:    f,
				t:        t,
				random:   rand.New(rand.NewPCG(seed, 1)),
				accounts: []contractor.Account{"a", "b", "c"},
				newest:   make(map[contractor.Account]contractor.Revision),
				served:   make(map[string]contractor.Revision),
			}
			for i := range 150 {
				if c.random.IntN(3) == 0 {
					c.injectFault()
				}
				for range c.random.IntN(4) {
					account := c.accounts[c.random.IntN(3)]
					if revision := c.tryPut(contractOf(account, i)); revision != 0 {
						c.newest[account] = revision
					}
				}
				time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
				for range 6 {
					c.checkContract()
				}
			}
			f.store.SetFaults(emulator.StoreFaults{})
			c.heal()
			last := f.put(contractOf("a", 1000))
			require.Less(t, f.waitApplied(watcher.Contracts, last), 13*time.Second, "seed %d", seed)
			for _, w := range f.weights("a") {
				require.Equal(t, 1000, w)
			}
		})
	}
}
