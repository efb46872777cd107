package treasurer

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/refuser"
)

// maxTakeoverTime is the time within which a budget has to serve again.
const maxTakeoverTime = 3 * time.Second

// slowFlush keeps settlements out of the ledger for the first minute.
func slowFlush(c *Config) { c.Keeper.MinFlushInterval = time.Minute }

func refusalReason(t *testing.T, err error) refuser.Reason {
	t.Helper()
	var refusal *refuser.Refusal
	require.True(t, errors.As(err, &refusal), "%v", err)
	require.Equal(t, refuser.NotExecuted, refusal.Execution)
	return refusal.Reason
}

func startThreeDaemons(f *fleet) (keeper, entry *daemon) {
	f.start("vm-a", "z1", 1)
	f.start("vm-b", "z1", 1)
	f.start("vm-c", "z1", 1)
	keeper = f.keeper("z1")
	return keeper, f.otherDaemon(keeper)
}

// Guards against losing a settlement, or forgetting a running request, when the
// keeper fails before its flush. The entry still has both and reports them.
func TestTakeoverRecoversUnflushedSettlements(t *testing.T) {
	runWithFleet(t, 1000, slowFlush, func(t *testing.T, f *fleet) {
		keeper, entry := startThreeDaemons(f)
		done, err := entry.Reserve(t.Context(), request("order-1", 300))
		require.NoError(t, err)
		require.NoError(t, entry.BeginDispatch(done))
		open, err := entry.Reserve(t.Context(), request("order-2", 300))
		require.NoError(t, err)
		require.NoError(t, entry.BeginDispatch(open))
		entry.Settle(done, 120)
		time.Sleep(time.Second)
		require.Zero(t, f.settled())

		f.kill(keeper, false)
		killed := time.Now()
		entry.spend(t, "order-3", 500, 400)
		require.Less(t, time.Since(killed), maxTakeoverTime)
		entry.Settle(open, 250)
		time.Sleep(5 * time.Minute)
		require.Equal(t, contractor.Tokens(770), f.settled())
		require.Len(t, f.bill(), 3)
		require.Zero(t, f.ledger().Budgets[0].Unaccounted)
	})
}

// Guards against spending a reservation twice when the keeper fails while its own
// caller's request runs. Only the witness still knows that reservation, and the
// maximum cost is charged in the end.
func TestTakeoverKeepsReservationsOfFailedKeeper(t *testing.T) {
	runWithFleet(t, 1000, slowFlush, func(t *testing.T, f *fleet) {
		keeper, entry := startThreeDaemons(f)
		keeper.spend(t, "order-1", 300, 120)
		_, err := keeper.Reserve(t.Context(), request("order-2", 300))
		require.NoError(t, err)
		time.Sleep(time.Second)
		f.kill(keeper, false)
		entry.spend(t, "order-3", 500, 400)
		_, err = entry.Reserve(t.Context(), request("order-4", 200))
		require.Error(t, err, "the failed keeper's reservation is spent twice")
		time.Sleep(20 * time.Minute)
		require.Equal(t, contractor.Tokens(820), f.settled(), "120, 400 and the maximum cost of order-2")
	})
}

// Guards against double spending by a keeper that was paused, missed its
// replacement, and still believes that it is the keeper when it resumes.
func TestPausedKeeperWakesAndCannotSpend(t *testing.T) {
	runWithFleet(t, 1000, nil, func(t *testing.T, f *fleet) {
		keeper, entry := startThreeDaemons(f)
		reserved, err := entry.Reserve(t.Context(), request("order-0", 100))
		require.NoError(t, err)
		keeper.spend(t, "order-1", 100, 100)
		time.Sleep(2 * time.Second)

		f.hide(keeper)
		f.setPartitioned(keeper, true)
		paused := time.Now()
		entry.spend(t, "order-2", 800, 800)
		require.Less(t, time.Since(paused), maxTakeoverTime)

		keeper.claimsKeeper = true
		f.setPartitioned(keeper, false)
		_, err = keeper.Reserve(t.Context(), request("order-3", 50))
		require.Contains(t, []refuser.Reason{refuser.BudgetUnreachable, refuser.BudgetExhausted}, refusalReason(t, err))
		require.NoError(t, entry.BeginDispatch(reserved), "the new keeper knows the reservation")
		entry.Settle(reserved, 100)
		time.Sleep(time.Minute)
		require.Equal(t, contractor.Tokens(1000), f.settled())
	})
}

// Guards against dispatching a reservation after its dispatch window. The keeper
// may have freed the amount by then.
func TestExpiredReservationIsRefusedAndReleased(t *testing.T) {
	runWithFleet(t, 1000, nil, func(t *testing.T, f *fleet) {
		keeper, entry := startThreeDaemons(f)
		r, err := entry.Reserve(t.Context(), request("order-1", 100))
		require.NoError(t, err)
		time.Sleep(DefaultResendAfter + time.Second)
		require.Equal(t, refuser.DeadlineUnmeetable, refusalReason(t, entry.BeginDispatch(r)))
		entry.Settle(r, 0)
		keeper.spend(t, "order-2", 1000, 1000)
		time.Sleep(time.Minute)
		require.Equal(t, contractor.Tokens(1000), f.settled())
	})
}

// Guards against granting tokens again that may have been spent: when the keeper
// and another entry fail together, both copies of a reservation are lost.
func TestLossOfTwoDaemonsMovesGrantToUnaccounted(t *testing.T) {
	runWithFleet(t, 1000, nil, func(t *testing.T, f *fleet) {
		keeper, entry := startThreeDaemons(f)
		entry.spend(t, "order-1", 300, 100)
		time.Sleep(5 * time.Second)
		third := f.otherDaemon(entry)
		if third == keeper {
			for _, d := range f.daemons {
				if d != keeper && d != entry {
					third = d
				}
			}
		}
		lost, err := third.Reserve(t.Context(), request("order-2", 200))
		require.NoError(t, err)
		require.NoError(t, third.BeginDispatch(lost))
		time.Sleep(2 * time.Second)
		granted := f.ledger()
		f.kill(third, true)
		f.kill(keeper, true)
		entry.spend(t, "order-3", 10, 10)
		time.Sleep(10 * time.Second)
		l := f.ledger()
		require.Positive(t, l.Balance("quotes").Unaccounted)
		require.LessOrEqual(t, l.Balance("quotes").Unaccounted, granted.Grant("z1", "quotes"))
		require.GreaterOrEqual(t, l.Balance("quotes").Unaccounted, contractor.Tokens(200))
	})
}

// Guards against a planned stop that leaves settlements unflushed or keeps a free
// grant, and against one that drops the open reservations of other entries.
func TestDrainFlushesAndReturnsFreeGrant(t *testing.T) {
	runWithFleet(t, 1000, slowFlush, func(t *testing.T, f *fleet) {
		keeper, entry := startThreeDaemons(f)
		keeper.spend(t, "order-1", 300, 120)
		open, err := entry.Reserve(t.Context(), request("order-2", 200))
		require.NoError(t, err)
		require.NoError(t, keeper.Drain(t.Context()))
		f.kill(keeper, true)
		l := f.ledger()
		require.Equal(t, contractor.Tokens(120), l.Balance("quotes").Settled)
		require.Equal(t, contractor.Tokens(200), l.Grant("z1", "quotes"), "only the open reservation stays granted")
		entry.spend(t, "order-3", 680, 680)
		require.NoError(t, entry.BeginDispatch(open))
		entry.Settle(open, 200)
		require.NoError(t, entry.Drain(t.Context()))
		require.Equal(t, contractor.Tokens(1000), f.settled())
	})
}

// Guards against a witness that stops without a replacement. The keeper's failure
// would then lose the reservations of its own callers.
func TestDrainedWitnessIsReplacedWithItsRecords(t *testing.T) {
	runWithFleet(t, 1000, slowFlush, func(t *testing.T, f *fleet) {
		keeper, _ := startThreeDaemons(f)
		_, err := keeper.Reserve(t.Context(), request("order-1", 900))
		require.NoError(t, err)
		for _, d := range f.daemons {
			if d != keeper && len(d.entry.WitnessedKeepers()) > 0 {
				require.NoError(t, d.Drain(t.Context()))
				f.kill(d, true)
				break
			}
		}
		f.kill(keeper, true)
		last := f.keeper("z1")
		_, err = last.Reserve(t.Context(), request("order-2", 200))
		require.Error(t, err, "the reservation of the failed keeper was forgotten")
	})
}

// Guards against refusing requests during a store outage although the zones still
// hold grants, and against losing the settlements made meanwhile.
func TestGrantsAreSpentDuringStoreOutage(t *testing.T) {
	runWithFleet(t, 10_000, nil, func(t *testing.T, f *fleet) {
		_, entry := startThreeDaemons(f)
		other := f.start("vm-d", "z2", 1)
		for i := range 20 {
			entry.spend(t, "warm-"+string(rune('a'+i)), 100, 50)
			other.spend(t, "far-"+string(rune('a'+i)), 100, 50)
			time.Sleep(200 * time.Millisecond)
		}
		f.store.SetFaults(emulator.StoreFaults{Outage: true})
		own, far := f.keeper("z1").keeper.Free(quotes), other.keeper.Free(quotes)
		var spent contractor.Tokens
		var err error
		for i := 0; err == nil; i++ {
			r, refused := entry.Reserve(t.Context(), request("away-"+string(rune('a'+i)), 100))
			if err = refused; err == nil {
				require.NoError(t, entry.BeginDispatch(r))
				entry.Settle(r, 100)
				spent += 100
			}
		}
		require.Equal(t, refuser.BudgetUnreachable, refusalReason(t, err))
		require.Greater(t, spent, own+far-100, "not everything that both zones hold was spent")
		f.store.SetFaults(emulator.StoreFaults{})
		time.Sleep(time.Minute)
		require.Equal(t, 2000+spent, f.settled())
		require.Len(t, f.bill(), 40+int(spent/100))
	})
}

// Guards against spending more than the balance while two zones cannot reach each
// other, and against a top-up that does not reach both of them then.
func TestPartitionedZonesSpendAtMostTheBalance(t *testing.T) {
	runWithFleet(t, 1000, nil, func(t *testing.T, f *fleet) {
		a := f.start("vm-a", "z1", 1)
		b := f.start("vm-b", "z2", 1)
		a.spend(t, "a-1", 400, 400)
		b.spend(t, "b-1", 400, 400)
		f.setPartitioned(a, true)
		var spent contractor.Tokens = 800
		for i := range 10 {
			for _, d := range []*daemon{a, b} {
				r, err := d.Reserve(t.Context(), request(string(d.peer.VM)+string(rune('a'+i)), 100))
				if err == nil {
					require.NoError(t, d.BeginDispatch(r))
					d.Settle(r, 100)
					spent += 100
				}
			}
		}
		require.LessOrEqual(t, spent, contractor.Tokens(1000))
		require.GreaterOrEqual(t, spent, contractor.Tokens(900))
		f.topUp("top-up-1", 500)
		time.Sleep(3 * time.Second)
		a.spend(t, "a-2", 200, 200)
		b.spend(t, "b-2", 200, 200)
		f.setPartitioned(a, false)
		time.Sleep(time.Minute)
		require.Equal(t, spent+400, f.settled())
	})
}

// Guards against billing a request twice when its caller retries it in another
// zone with the same request key.
func TestSameKeyInTwoZonesIsBilledOnce(t *testing.T) {
	runWithFleet(t, 1000, nil, func(t *testing.T, f *fleet) {
		a := f.start("vm-a", "z1", 1)
		b := f.start("vm-b", "z2", 1)
		a.spend(t, "order-1", 200, 150)
		b.spend(t, "order-1", 200, 150)
		time.Sleep(time.Minute)
		require.Equal(t, contractor.Tokens(150), f.settled())
		require.Len(t, f.bill(), 1)
	})
}

// Guards against applying a flush twice, or losing one, when the store commits a
// write and its response is lost.
func TestFlushWithLostResponseIsNotAppliedTwice(t *testing.T) {
	runWithFleet(t, 1000, nil, func(t *testing.T, f *fleet) {
		a := f.start("vm-a", "z1", 1)
		f.start("vm-b", "z1", 1)
		a.spend(t, "order-1", 200, 150)
		f.store.LoseNextResponses(3)
		time.Sleep(time.Minute)
		a.spend(t, "order-2", 200, 150)
		time.Sleep(time.Minute)
		require.Equal(t, contractor.Tokens(300), f.settled())
		require.Len(t, f.bill(), 2)
	})
}

// Guards against refusing a request as unreachable although both zones know that
// the budget is spent.
func TestExhaustedBudgetIsRefusedAsExhausted(t *testing.T) {
	runWithFleet(t, 1000, nil, func(t *testing.T, f *fleet) {
		a := f.start("vm-a", "z1", 1)
		b := f.start("vm-b", "z2", 1)
		a.spend(t, "order-1", 600, 600)
		b.spend(t, "order-2", 400, 400)
		time.Sleep(10 * time.Second)
		for _, d := range []*daemon{a, b} {
			_, err := d.Reserve(t.Context(), request("order-3", 10))
			require.Equal(t, refuser.BudgetExhausted, refusalReason(t, err))
		}
	})
}

// Guards against losing the settlements of a daemon that was alone in its zone,
// and against granting its unknown rest again. A daemon of another zone has copies
// of the settlements; the rest is unaccounted once the failed daemon is gone.
func TestTakeoverFromKeeperWithoutWitness(t *testing.T) {
	runWithFleet(t, 1000, slowFlush, func(t *testing.T, f *fleet) {
		failed := f.start("vm-a", "z1", 1)
		far := f.start("vm-c", "z2", 1)
		done, err := failed.Reserve(t.Context(), request("order-1", 200))
		require.NoError(t, err)
		running, err := failed.Reserve(t.Context(), request("order-2", 100))
		require.NoError(t, err)
		require.NoError(t, failed.BeginDispatch(done))
		require.NoError(t, failed.BeginDispatch(running))
		failed.Settle(done, 150)
		time.Sleep(time.Second)
		require.Zero(t, f.settled())

		f.kill(failed, false)
		successor := f.start("vm-b", "z1", 1)
		successor.spend(t, "order-3", 100, 100)
		require.Zero(t, f.ledger().Budgets[0].Unaccounted, "the old grant may still be spent")
		f.update(func() { f.gone[daemonIDOf(failed.peer)] = true })
		gone := time.Now()
		for f.ledger().Budgets[0].Unaccounted == 0 {
			time.Sleep(50 * time.Millisecond)
		}
		require.Less(t, time.Since(gone), maxTakeoverTime)
		far.spend(t, "order-4", 50, 50)
		time.Sleep(3 * time.Minute)
		require.Len(t, f.bill(), 3, "the settled request of the failed daemon is on the bill")
		require.Equal(t, contractor.Tokens(300), f.settled())
		require.GreaterOrEqual(t, f.ledger().Budgets[0].Unaccounted, contractor.Tokens(100))
	})
}
