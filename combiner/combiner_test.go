package combiner

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/persister"
)

// adder merges decimal numbers by adding up their changes, up to a limit.
type adder struct{ limit int }

func (adder) CanMerge(key string) bool { return key == "sum" }

func (a adder) Merge(_ string, base, theirs, mine []byte) ([]byte, error) {
	sum := parse(theirs) + parse(mine) - parse(base)
	if sum > a.limit {
		return nil, errors.New("over the limit")
	}
	return fmt.Append(nil, sum), nil
}

func parse(b []byte) int {
	n, _ := strconv.Atoi(string(b)) // an absent key is zero
	return n
}

// fixture is a Combiner with an emulated store.
type fixture struct {
	store *emulator.Store
	*Combiner
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{store: emulator.NewStore(emulator.StoreConfig{ProgressInterval: time.Second, ReportConflicts: true})}
	f.Combiner = New(Config{Store: f.store, MaxOperations: 32, BatchDelay: 40 * time.Millisecond, Merger: adder{limit: 100}})
	t.Cleanup(f.Close)
	return f
}

func put(key string, revision contractor.Revision, value string) persister.Txn {
	return persister.Txn{
		Compares: []persister.Compare{{Key: key, Revision: revision}},
		Puts:     []persister.Put{{Key: key, Value: []byte(value)}},
	}
}

// commitAll commits transactions concurrently and returns their errors.
func (f *fixture) commitAll(ctx context.Context, txns ...persister.Txn) []error {
	errs := make([]error, len(txns))
	var calls sync.WaitGroup
	for i, txn := range txns {
		calls.Go(func() { _, _, errs[i] = f.Commit(ctx, txn) })
	}
	calls.Wait()
	return errs
}

// Guards against a call per transaction, and against batches of more operations than the store
// allows: a transaction here has 2, so that 16 fill a batch of 32.
func TestTransactionsShareACall(t *testing.T) {
	tests := []struct{ transactions, calls int }{{1, 1}, {10, 1}, {16, 1}, {17, 2}, {40, 3}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			var txns []persister.Txn
			for i := range tt.transactions {
				txns = append(txns, put(fmt.Sprint("row/", i), 0, "x"))
			}
			for _, err := range f.commitAll(t.Context(), txns...) {
				require.NoError(t, err)
			}
			require.EqualValues(t, tt.calls, f.store.Counts().Writes)
			require.Len(t, f.store.Keys("row/"), tt.transactions)
		})
	}
}

// Guards against a conflict of one transaction that fails the whole batch. The others have to be
// committed, and the failed one has to get the current state of its key.
func TestConflictFailsOnlyTheTransactionConcerned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		_, err := f.store.Commit(t.Context(), put("row/1", 0, "before"))
		require.NoError(t, err)
		errs := f.commitAll(t.Context(), put("row/0", 0, "a"), put("row/1", 0, "b"), put("row/2", 0, "c"))
		require.NoError(t, errs[0])
		require.NoError(t, errs[2])
		var conflict *persister.ConflictError
		require.ErrorAs(t, errs[1], &conflict)
		require.Equal(t, []persister.Entry{f.store.Peek("row/1")}, conflict.Entries)
		require.Equal(t, "before", string(f.store.Peek("row/1").Value))
	})
}

// Guards against an absent key that a conflict response omits: the batch has to take it as absent
// if it expects that, and must not guess the state of any other key.
func TestConflictResponseMayOmitAbsentKeys(t *testing.T) {
	b := newBatch(32)
	b.add(&pendingTxn{}, rebased{Txn: put("row/0", 0, "a")})
	b.add(&pendingTxn{}, rebased{Txn: put("row/1", 5, "b")})
	states, ok := b.comparedStates([]persister.Entry{{Key: "row/1", Revision: 6}})
	require.True(t, ok)
	require.Equal(t, []persister.Entry{{Key: "row/0"}, {Key: "row/1", Revision: 6}}, states)
	_, ok = b.comparedStates([]persister.Entry{{Key: "row/0", Revision: 6}})
	require.False(t, ok)
}

// Guards against committing two transactions that compare the same revision of a key, and against
// a call for the second one, whose conflict the combiner can tell by itself.
func TestSecondWriteOfAKeyConflictsWithoutACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		errs := f.commitAll(t.Context(), put("row/0", 0, "a"), put("row/0", 0, "b"))
		if errs[0] != nil {
			errs[0], errs[1] = errs[1], errs[0]
		}
		require.NoError(t, errs[0])
		require.ErrorIs(t, errs[1], persister.ErrConflict)
		require.EqualValues(t, 1, f.store.Counts().Writes, "the second conflict needs no call")
	})
}

// Guards against a conflict from an outdated cache. The key is written directly to the store, so
// the caller compares a newer revision than the combiner has seen.
func TestNewerRevisionOfTheCallerIsLeftToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		first, _, err := f.Commit(t.Context(), put("row/0", 0, "a"))
		require.NoError(t, err)
		second, err := f.store.Commit(t.Context(), put("row/0", first, "b"))
		require.NoError(t, err)
		_, _, err = f.Commit(t.Context(), put("row/0", second, "c"))
		require.NoError(t, err)
		require.Equal(t, "c", string(f.store.Peek("row/0").Value))
	})
}

// Guards against changes of a merged key that are lost when several callers start from the same
// state, or from one that is older than the newest.
func TestConcurrentChangesOfAKeyAreMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		first, _, err := f.Commit(t.Context(), put("sum", 0, "10"))
		require.NoError(t, err)
		merged := make([][]persister.Entry, 3)
		var calls sync.WaitGroup
		for i, value := range []string{"11", "12", "14"} {
			calls.Go(func() {
				var err error
				_, merged[i], err = f.Commit(t.Context(), put("sum", first, value))
				require.NoError(t, err)
			})
		}
		calls.Wait()
		require.Equal(t, "17", string(f.store.Peek("sum").Value))
		for _, entries := range merged {
			require.Equal(t, []persister.Entry{f.store.Peek("sum")}, entries)
		}
		require.EqualValues(t, 2, f.store.Counts().Writes)

		_, _, err = f.Commit(t.Context(), put("sum", first, "30"))
		require.NoError(t, err, "an older state can also be the base")
		require.Equal(t, "37", string(f.store.Peek("sum").Value))
	})
}

// Guards against a plan from a state that was replaced long ago: its caller would take what others
// have been granted since. It gets the newest state at once, without a call or a batch, and plans
// again. All daemons of a large fleet rebalance from states of some seconds ago.
func TestChangeOfAnOldStateIsAConflictAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		first, _, err := f.Commit(t.Context(), put("sum", 0, "1"))
		require.NoError(t, err)
		_, _, err = f.Commit(t.Context(), put("sum", first, "2"))
		require.NoError(t, err)
		time.Sleep(maxMergeAge + time.Millisecond)
		start, calls := time.Now(), f.store.Counts().Calls()
		_, _, err = f.Commit(t.Context(), put("sum", first, "9"))
		var conflict *persister.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, []persister.Entry{f.store.Peek("sum")}, conflict.Entries)
		require.Zero(t, time.Since(start))
		require.Equal(t, calls, f.store.Counts().Calls())
		newest := f.store.Peek("sum").Revision
		_, _, err = f.Commit(t.Context(), put("sum", newest, "9"))
		require.NoError(t, err, "the newest state never gets too old")
	})
}

// Guards against a relay that falls behind when daemons send more transactions than fit into a
// batch, as all daemons of a large fleet do after a partition: it must neither wait between full
// batches nor merge the changes of transactions that have to wait for a later batch.
func TestQueueIsCommittedInFullBatchesWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		merger := &countingMerger{adder: adder{limit: 100_000}}
		f.config.Merger = merger
		const transactions = 300
		var txns []persister.Txn
		for i := range transactions {
			txn := put(fmt.Sprint("row/", i), 0, "x")
			shared := put("sum", 0, "1")
			txn.Compares, txn.Puts = append(txn.Compares, shared.Compares...), append(txn.Puts, shared.Puts...)
			txns = append(txns, txn)
		}
		f.store.SetFaults(emulator.StoreFaults{Delay: 4 * time.Millisecond})
		f.recordStates([]persister.Entry{{Key: "sum"}})
		start := time.Now()
		for _, err := range f.commitAll(t.Context(), txns...) {
			require.NoError(t, err)
		}
		batches := transactions/15 + 1
		require.LessOrEqual(t, time.Since(start), f.config.BatchDelay+time.Duration(batches)*5*time.Millisecond)
		require.LessOrEqual(t, merger.merges, transactions+batches)
		require.Equal(t, strconv.Itoa(transactions), string(f.store.Peek("sum").Value))
	})
}

// countingMerger counts the merges.
type countingMerger struct {
	adder
	merges int
}

func (m *countingMerger) Merge(key string, base, theirs, mine []byte) ([]byte, error) {
	m.merges++
	return m.adder.Merge(key, base, theirs, mine)
}

// Guards against committing a change that the Merger rejects, here because the sum would exceed
// the limit.
func TestChangeThatCannotBeMergedIsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		first, _, err := f.Commit(t.Context(), put("sum", 0, "10"))
		require.NoError(t, err)
		errs := f.commitAll(t.Context(), put("sum", first, "70"), put("sum", first, "60"))
		if errs[0] != nil {
			errs[0], errs[1] = errs[1], errs[0]
		}
		require.NoError(t, errs[0])
		var conflict *persister.ConflictError
		require.ErrorAs(t, errs[1], &conflict)
		require.Len(t, conflict.Entries, 1)
	})
}

// Guards against a conflict that reports an older state than the caller knows. A caller that has
// written its row directly to the store would fall back to that older state.
func TestConflictOmitsStatesOlderThanTheCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		sum, _, err := f.Commit(t.Context(), put("sum", 0, "10"))
		require.NoError(t, err)
		row, _, err := f.Commit(t.Context(), put("row/0", 0, "old"))
		require.NoError(t, err)
		row, err = f.store.Commit(t.Context(), put("row/0", row, "new"))
		require.NoError(t, err)
		_, _, err = f.Commit(t.Context(), put("sum", sum, "70"))
		require.NoError(t, err)
		txn := put("sum", sum, "60")
		txn.Compares = append(txn.Compares, persister.Compare{Key: "row/0", Revision: row})
		_, _, err = f.Commit(t.Context(), txn)
		require.ErrorIs(t, err, persister.ErrConflict)
		var conflict *persister.ConflictError
		require.False(t, errors.As(err, &conflict), "%v", conflict)
	})
}

// Guards against merging into an outdated value: the key was written directly to the store after
// the state that the combiner has seen.
func TestMergeIncludesAWriteThatBypassedTheCombiner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		first, _, err := f.Commit(t.Context(), put("sum", 0, "10"))
		require.NoError(t, err)
		_, err = f.store.Commit(t.Context(), put("sum", first, "20"))
		require.NoError(t, err)
		for _, err := range f.commitAll(t.Context(), put("sum", first, "11"), put("sum", first, "12")) {
			require.NoError(t, err)
		}
		require.Equal(t, "23", string(f.store.Peek("sum").Value))
	})
}

// Guards against callers that get no error when the call of their batch fails, and against a
// combiner that stops working after a failed call.
func TestFailedCallFailsAllItsTransactions(t *testing.T) {
	tests := []struct {
		name   string
		faults emulator.StoreFaults
		want   error
	}{
		{name: "lost", faults: emulator.StoreFaults{LoseResponses: 1}, want: persister.ErrUnknown},
		{name: "outage", faults: emulator.StoreFaults{Outage: true}, want: persister.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.store.SetFaults(tt.faults)
				for _, err := range f.commitAll(t.Context(), put("row/0", 0, "a"), put("row/1", 0, "b")) {
					require.ErrorIs(t, err, tt.want)
				}
				f.store.SetFaults(emulator.StoreFaults{})
				_, _, err := f.Commit(t.Context(), put("row/2", 0, "c"))
				require.NoError(t, err)
			})
		})
	}
}

// Guards against a transaction with an expired lease that fails the others of its batch, which the
// store rejects as a whole.
func TestExpiredLeaseFailsOnlyTheTransactionConcerned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		expired := put("row/1", 0, "b")
		expired.Puts[0].Lease = 77
		errs := f.commitAll(t.Context(), put("row/0", 0, "a"), expired, put("row/2", 0, "c"))
		require.NoError(t, errs[0])
		require.ErrorIs(t, errs[1], persister.ErrInvalid)
		require.NoError(t, errs[2])
	})
}

// Guards against committing a transaction whose caller has given up before the batch was sent.
func TestCancelledTransactionIsNotCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, _, err := f.Commit(ctx, put("row/0", 0, "a"))
		require.ErrorIs(t, err, persister.ErrUnknown)
		time.Sleep(time.Second)
		require.Empty(t, f.store.Keys("row/"))
	})
}

// Guards against a call per lease, and against sharing a lease of another length or one older than
// maxLeaseAge, which would expire too early.
func TestLeasesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		first, err := f.GrantLease(t.Context(), 3*time.Second)
		require.NoError(t, err)
		second, err := f.GrantLease(t.Context(), 3*time.Second)
		require.NoError(t, err)
		require.Equal(t, first, second)
		other, err := f.GrantLease(t.Context(), 7*time.Second)
		require.NoError(t, err)
		require.NotEqual(t, first, other)
		time.Sleep(maxLeaseAge)
		later, err := f.GrantLease(t.Context(), 3*time.Second)
		require.NoError(t, err)
		require.NotEqual(t, first, later)
	})
}

// Guards against a watch per caller, and against an incomplete result for a revision before the
// start of the feed.
func TestPollersShareAWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		first, err := f.store.Commit(t.Context(), put("op/config", 0, "1"))
		require.NoError(t, err)
		var polls sync.WaitGroup
		for range 20 {
			polls.Go(func() {
				batch, err := f.Poll(t.Context(), "op/", first, 10*time.Second)
				require.NoError(t, err)
				require.Len(t, batch.Changes, 1)
				require.Greater(t, batch.Revision, first)
			})
		}
		time.Sleep(time.Second / 2)
		_, err = f.store.Commit(t.Context(), put("op/config", first, "2"))
		require.NoError(t, err)
		polls.Wait()
		require.EqualValues(t, 1, f.store.Counts().Watches)

		batch, err := f.Poll(t.Context(), "op/", first+1, time.Second)
		require.NoError(t, err)
		require.Empty(t, batch.Changes)
		_, err = f.Poll(t.Context(), "op/", 0, time.Second)
		require.ErrorIs(t, err, ErrRevisionTooOld)
	})
}

// Guards against polls that report no changes although the store has stopped responding.
func TestPollFailsWhenTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		_, err := f.Poll(t.Context(), "op/", 0, 100*time.Millisecond)
		require.NoError(t, err)
		f.store.SetFaults(emulator.StoreFaults{HoldEvents: true})
		time.Sleep(feedStaleAfter + time.Second)
		_, err = f.Poll(t.Context(), "op/", 0, 100*time.Millisecond)
		require.ErrorIs(t, err, persister.ErrUnavailable)
	})
}

// Guards against a feed that grows beyond maxFeedBytes, and against results that lack discarded
// changes.
func TestFeedDiscardsOldChanges(t *testing.T) {
	f := &feed{updated: make(chan struct{})}
	for i := range 5 {
		change := persister.Change{Entry: persister.Entry{Key: "op/config", Value: make([]byte, maxFeedBytes/2), Revision: contractor.Revision(i + 1)}}
		f.add(persister.Batch{Changes: []persister.Change{change}, Revision: contractor.Revision(i + 1)}, time.Time{})
	}
	_, err := f.since(3, time.Time{})
	require.ErrorIs(t, err, ErrRevisionTooOld)
	batch, err := f.since(4, time.Time{})
	require.NoError(t, err)
	require.Len(t, batch.Changes, 1)
}

func Example() {
	store := emulator.NewStore(emulator.StoreConfig{})
	c := New(Config{Store: store, MaxOperations: 32, BatchDelay: time.Millisecond})
	defer c.Close()
	revision, _, err := c.Commit(context.Background(), put("row/edge-1", 0, "spent 5"))
	fmt.Println(revision, err)
	// Output: 2 <nil>
}
