package apportioner

import (
	"context"
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

// While the store is restored from copies that are some seconds old, daemons are added, killed, stopped in order,
// partitioned and started again under their names, in any order. An incarnation that neither the copy nor any other daemon
// knew of spent tokens that were then granted once more.
func TestNothingIsOverspentInRandomDrills(t *testing.T) {
	tests := []struct {
		name             string
		daemons          int
		prepaid          contractor.Tokens
		transfers, relay bool
	}{
		{name: "two daemons", daemons: 2, prepaid: 1_200_000},
		{name: "six daemons", daemons: 6, prepaid: 2_000_000},
		{name: "transfers", daemons: 4, prepaid: 1_500_000, transfers: true},
		{name: "relay", daemons: 32, prepaid: 5_000_000, relay: true, transfers: true},
	}
	for _, tt := range tests {
		for seed := range uint64(3 * *drillSeeds) {
			t.Run(fmt.Sprintf("%s, seed %d", tt.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					var transfers *rand.Rand
					if tt.transfers {
						transfers = rand.New(rand.NewPCG(seed, 8))
					}
					f := newTransferFleet(tt.daemons, tt.prepaid, transfers)
					defer f.stopAll()
					if tt.relay {
						defer f.startRelay(rand.New(rand.NewPCG(seed, 9)))()
					}
					time.Sleep(6 * time.Second)
					d := &drills{fleet: f, random: rand.New(rand.NewPCG(seed, 7)), size: tt.prepaid / 150, relay: f.daemons[0].link.relay.Load()}
					d.run()
					d.settle()
					t.Logf("spent %.3f of the prepaid tokens", float64(f.spent)/float64(f.prepaid))
					require.LessOrEqual(t, f.spent, f.prepaid)
				})
			})
		}
	}
}

// drills plays a random series of restores and faults. The daemons of the fleet are those that run.
type drills struct {
	*fleet
	random *rand.Rand
	size   contractor.Tokens
	relay  *relay
	down   []*daemon
	nextVM int
	// copied are the daemons that had registered when the copy was taken.
	copied []*daemon
}

const (
	drillSteps = 16
	// maxCopyAge is how old a copy is at most when the store goes away.
	maxCopyAge = 6 * time.Second
	// One in anyDisturbed disturbances is of any daemon. The others are of those that the copy lacks: a death
	// of one in the copy withholds all that is unallocated, which would hide other faults.
	anyDisturbed = 12
)

func (d *drills) run() {
	d.nextVM = len(d.daemons)
	content, copiedAt := d.copyStore()
	for range drillSteps {
		if time.Since(copiedAt) > maxCopyAge {
			content, copiedAt = d.copyStore()
		}
		d.disturb()
		d.spendFor(d.random, time.Duration(d.random.IntN(1500))*time.Millisecond, d.size)
		if d.random.IntN(4) > 0 {
			continue
		}
		d.store.SetFaults(emulator.StoreFaults{Outage: true, PauseLeases: d.random.IntN(2) == 0})
		for range d.random.IntN(3) {
			d.disturb()
			d.spendFor(d.random, time.Duration(d.random.IntN(1000))*time.Millisecond, d.size)
		}
		d.store.Restore(content)
		d.store.SetFaults(emulator.StoreFaults{})
	}
}

func (d *drills) copyStore() (*emulator.StoreCopy, time.Time) {
	d.copied = slices.Clone(d.daemons)
	return d.store.Copy(), time.Now()
}

// disturb adds, kills, stops, partitions or starts a daemon.
func (d *drills) disturb() {
	running := d.daemons[d.random.IntN(len(d.daemons))]
	mayStop := len(d.daemons) > 1
	if d.random.IntN(anyDisturbed) > 0 {
		added := slices.DeleteFunc(slices.Clone(d.daemons), func(x *daemon) bool { return slices.Contains(d.copied, x) })
		if mayStop = mayStop && len(added) > 0; mayStop {
			running = added[d.random.IntN(len(added))]
		}
	}
	switch d.random.IntN(8) {
	case 0, 1, 2:
		d.addVM()
	case 3, 4:
		if mayStop {
			d.exhaust(running, d.size)
			running.stop()
			d.remove(running)
		}
	case 5:
		if mayStop {
			d.exhaust(running, d.size)
			running.stop()
			time.Sleep(10 * time.Millisecond)
			d.remove(running)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			running.Leave(ctx)
			cancel()
		}
	case 6:
		if mayStop {
			running.link.partitioned.Store(!running.link.partitioned.Load())
		}
	default:
		if len(d.down) > 0 {
			d.start(d.random.IntN(len(d.down)))
		}
	}
}

func (d *drills) addVM() {
	name := fmt.Sprintf("edge-%d", d.nextVM)
	d.nextVM++
	added := &daemon{name: name, link: &storeLink{Store: d.store, ownName: name}}
	added.link.relay.Store(d.relay)
	d.launch(added)
	d.daemons = append(d.daemons, added)
}

func (d *drills) remove(stopped *daemon) {
	d.daemons = slices.DeleteFunc(d.daemons, func(x *daemon) bool { return x == stopped })
	d.down = append(d.down, stopped)
}

func (d *drills) start(i int) {
	started := d.down[i]
	d.down = slices.Delete(d.down, i, i+1)
	started.reboots += d.random.IntN(2)
	started.link.partitioned.Store(false)
	d.launch(started)
	d.daemons = append(d.daemons, started)
}

// settle ends all faults, starts what is down and spends the rest of the balance.
func (d *drills) settle() {
	d.store.SetFaults(emulator.StoreFaults{})
	for _, x := range d.daemons {
		x.link.partitioned.Store(false)
	}
	for len(d.down) > 0 {
		d.start(0)
	}
	time.Sleep(25 * time.Second)
	for range 20 {
		for _, x := range d.daemons {
			d.drain(x, 500)
		}
		time.Sleep(time.Second)
	}
}
