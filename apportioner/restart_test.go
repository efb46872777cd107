package apportioner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/emulator"
	"laburnumline/refuser"
)

// A restarted daemon keeps the tokens of the stages that its predecessor cannot have reached. If it
// assumes too late a stage, each crash loses tokens; if too early, the account is overspent.
func TestRestartKeepsLockedTokens(t *testing.T) {
	tests := []struct {
		name   string
		down   time.Duration
		reboot bool
		// outage is how long the store is down from the start of the next incarnation on.
		outage time.Duration
		faults emulator.StoreFaults
		min    float64 // fraction of the share that is kept
		max    float64
	}{
		{name: "killed for a second", down: time.Second, min: 0.8, max: 1},
		{name: "killed for 3.5 s", down: 3500 * time.Millisecond, min: 0.5, max: 0.9},
		{name: "killed, then the store is unavailable", down: time.Second, outage: time.Minute, min: 0.8, max: 1},
		{name: "without power for a second", down: time.Second, reboot: true, min: 0.8, max: 1},
		{name: "without power for 3.5 s", down: 3500 * time.Millisecond, reboot: true, min: 0.5, max: 0.9},
		{name: "without power, then the store is unavailable", down: time.Second, reboot: true, outage: time.Minute, min: 0, max: 0.01},
		{name: "stopped for a minute", down: time.Minute, min: 0, max: 0.01},
		{name: "leases paused for a minute", down: time.Minute, faults: emulator.StoreFaults{PauseLeases: true}, min: 0, max: 0.01},
		{name: "leases paused for a minute without power", down: time.Minute, reboot: true, faults: emulator.StoreFaults{PauseLeases: true}, min: 0, max: 0.01},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, 1_000_000)
				time.Sleep(10 * time.Second)
				d := f.daemons[0]
				before := d.held()
				d.stop()
				f.store.SetFaults(tt.faults)
				time.Sleep(tt.down)
				f.store.SetFaults(emulator.StoreFaults{Outage: tt.outage > 0})
				if tt.reboot {
					d.reboots++
				}
				f.launch(d)
				defer f.stopAll()
				time.Sleep(tt.outage)
				f.store.SetFaults(emulator.StoreFaults{})
				time.Sleep(80 * time.Millisecond)
				after := d.held()
				kept := float64(after) / float64(before)
				require.GreaterOrEqual(t, kept, tt.min)
				require.LessOrEqual(t, kept, tt.max)
			})
		})
	}
}

// When the store pauses leases during an outage, the keys of the stages outlive the stages. The
// next incarnation must not conclude from them that its predecessor spent only the open part.
func TestPausedLeasesDoNotCauseOverspending(t *testing.T) {
	for _, down := range []time.Duration{3, 4, 5, 7, 11} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(1, 1_000_000)
			time.Sleep(10 * time.Second)
			d := f.daemons[0]
			f.store.SetFaults(emulator.StoreFaults{Outage: true, PauseLeases: true})
			for range down * 10 {
				time.Sleep(100 * time.Millisecond)
				f.drain(d, 1000)
			}
			d.stop()
			f.store.SetFaults(emulator.StoreFaults{})
			f.launch(d)
			defer f.stopAll()
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				f.drain(d, 1000)
			}
			require.LessOrEqual(t, f.spent, f.prepaid, "%d s", down)
		})
	}
}

// The store pauses leases, and the time of day is set, so that neither the keys of the stages nor their times show how far the
// earlier incarnation got. The next one must not spend again what that one has spent in a later stage.
func TestPausedLeasesAndAStepOfTheClockDoNotCauseOverspending(t *testing.T) {
	tests := []struct {
		name          string
		before, after time.Duration // what the time of day is ahead for either incarnation
	}{
		{"set back", 0, -2400 * time.Millisecond},
		{"set back by the most", 4900 * time.Millisecond, -4900 * time.Millisecond},
		{"ahead, and back before the restart", 2400 * time.Millisecond, 0},
		{"ahead", 0, 2400 * time.Millisecond},
		{"not set", 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, down := range []time.Duration{3, 4, 5, 7, 11} {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(0, 1_000_000)
					f.add()
					d := f.daemons[0]
					d.stop()
					d.clockOffset = tt.before
					f.launch(d)
					time.Sleep(10 * time.Second)
					f.store.SetFaults(emulator.StoreFaults{Outage: true, PauseLeases: true})
					for range down * 10 {
						time.Sleep(100 * time.Millisecond)
						f.drain(d, 1000)
					}
					d.stop()
					d.clockOffset = tt.after
					f.store.SetFaults(emulator.StoreFaults{})
					f.launch(d)
					defer f.stopAll()
					for range 100 {
						time.Sleep(100 * time.Millisecond)
						f.drain(d, 1000)
					}
					require.LessOrEqual(t, f.spent, f.prepaid, "%d s", down)
				})
			}
		})
	}
}

// When the response to the take-over is lost, the write has still taken effect. The new incarnation
// must then continue from the row that it wrote, without spending again what its predecessor spent.
func TestTakeOverWithLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1_000_000)
		time.Sleep(10 * time.Second)
		d := f.daemons[0]
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			f.drain(d, 1000)
		}
		require.Greater(t, f.spent, f.prepaid/2)
		d.stop()
		f.store.LoseNextResponses(1)
		f.launch(d)
		defer f.stopAll()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			f.drain(d, 1000)
		}
		require.LessOrEqual(t, f.spent, f.prepaid)
	})
}

// A take-over that fails for longer than the stages last must not cost the locked tokens: the
// predecessor had already ended when this incarnation started.
func TestTakeOverAfterLostRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1_000_000)
		time.Sleep(10 * time.Second)
		d := f.daemons[0]
		before := d.held()
		d.stop()
		time.Sleep(time.Second)
		f.store.SetFaults(emulator.StoreFaults{LoseRequests: 1})
		f.launch(d)
		defer f.stopAll()
		time.Sleep(12 * time.Second)
		require.False(t, d.Joined())
		f.store.SetFaults(emulator.StoreFaults{})
		time.Sleep(3 * time.Second)
		require.True(t, d.Joined())
		require.Greater(t, float64(d.held()), 0.8*float64(before))
	})
}

// An incarnation that is still running when the next one takes over its row stops spending.
// Otherwise both would spend the same grant.
func TestReplacedIncarnationStopsSpending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1_000_000)
		time.Sleep(10 * time.Second)
		d := f.daemons[0]
		first, stop := d.Apportioner, d.stop
		defer stop()
		f.launch(d)
		defer f.stopAll()
		time.Sleep(5 * time.Second)
		require.Zero(t, heldBy(first))
		require.Positive(t, d.held())
		_, err := first.Reserve(t.Context(), testAccount, 1)
		require.Equal(t, refuser.BudgetUnreachable, reasonOf(t, err))
	})
}

// Leases can be renewed several times before a transaction succeeds. A transaction that writes a
// stage's key twice would be invalid.
func TestLeaseKeyIsWrittenOncePerTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1_000_000)
		time.Sleep(5 * time.Second)
		d := f.daemons[0]
		d.stop()
		time.Sleep(time.Second)
		for range 3 {
			time.Sleep(2 * time.Second)
			require.NoError(t, d.renewLeases(t.Context()))
		}
		p, err := d.propose(d.attach())
		require.NoError(t, err)
		require.NoError(t, p.txn.Validate())
	})
}

// Guards against writing off the whole share of an incarnation that lost power before the keys of
// its first leases were in the store: no key shows then that it was in the first stage.
func TestRestartBeforeFirstLeaseKeepsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 1_000_000)
		time.Sleep(10 * time.Second)
		d := f.daemons[0]
		before := d.held()
		d.stop()
		d.reboots++
		// An incarnation that does not know the prepaid limits takes over its row and gets no leases.
		second := New(Config{Store: d.link, Name: d.name, Incarnation: 77, BootClock: f.bootClock(d)})
		ctx, cancel := context.WithCancel(t.Context())
		go second.Run(ctx)
		time.Sleep(time.Second)
		require.True(t, second.Joined())
		cancel()
		d.reboots++
		time.Sleep(30 * time.Second)
		f.launch(d)
		defer f.stopAll()
		time.Sleep(80 * time.Millisecond)
		require.Greater(t, float64(d.held()), 0.7*float64(before))
	})
}

// An incarnation whose row says that it is confined must not unlock later stages, whatever becomes of
// its writes: the next incarnation counts on that. The row without that statement takes effect at
// once, late, or never, and its response is lost.
func TestConfinedIncarnationStaysInFirstStage(t *testing.T) {
	for _, faults := range []emulator.StoreFaults{{LoseResponses: 1}, {LateCommits: 1, LateCommitDelay: 4 * time.Second}, {LateCommits: 1, LateCommitDelay: 40 * time.Second}, {LoseRequests: 1}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(1, 1_000_000)
			time.Sleep(10 * time.Second)
			d := f.daemons[0]
			d.stop()
			d.reboots++
			f.launch(d)
			for !d.Registered() {
				time.Sleep(100 * time.Microsecond)
			}
			f.store.SetFaults(faults)
			time.Sleep(time.Second)
			d.link.partitioned.Store(true)
			for range 200 {
				time.Sleep(100 * time.Millisecond)
				f.drain(d, 1000)
			}
			d.stop()
			d.reboots++
			f.store.SetFaults(emulator.StoreFaults{})
			d.link.partitioned.Store(false)
			f.launch(d)
			defer f.stopAll()
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				f.drain(d, 1000)
			}
			require.LessOrEqual(t, f.spent, f.prepaid, "%+v", faults)
			require.Positive(t, f.spent)
		})
	}
}
