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

// adder merges decimal numbers below a limit.
type adder struct{ limit int }

func (adder) CanMerge(key string) bool { return key == "sum" }

func (a adder) Merge(_ string, base, theirs, mine []byte) ([]byte, error) {
	sum := number(theirs) + number(mine) - number(base)
	if sum > a.limit {
		return nil, errors.New("over the limit")
	}
	return fmt.Append(nil, sum), nil
}

func number(b []byte) int {
	n, _ := strconv.Atoi(string(b)) // an absent key is zero
	return n
}

type rig struct {
	store *emulator.Store
	*Combiner
}

func newRig(t *testing.T) *rig {
	r := &rig{store: emulator.NewStore(emulator.StoreConfig{Progress: time.Second, TellConflicts: true})}
	r.Combiner = New(Config{Store: r.store, MaxOperations: 32, BatchDelay: 40 * time.Millisecond, Merger: adder{limit: 100}})
	t.Cleanup(r.Close)
	return r
}

func put(key string, revision contractor.Revision, value string) persister.Txn {
	return persister.Txn{
		Compares: []persister.Compare{{Key: key, Revision: revision}},
		Puts:     []persister.Put{{Key: key, Value: []byte(value)}},
	}
}

// commitAll commits transactions at the same time and returns their errors.
func (r *rig) commitAll(ctx context.Context, txns ...persister.Txn) []error {
	errs := make([]error, len(txns))
	var calls sync.WaitGroup
	for i, txn := range txns {
		calls.Go(func() { _, _, errs[i] = r.Commit(ctx, txn) })
	}
	calls.Wait()
	return errs
}

func TestTransactionsShareACall(t *testing.T) {
	tests := []struct{ transactions, calls int }{{1, 1}, {10, 1}, {16, 1}, {17, 2}, {40, 3}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			var txns []persister.Txn
			for i := range tt.transactions {
				txns = append(txns, put(fmt.Sprint("row/", i), 0, "x"))
			}
			for _, err := range r.commitAll(t.Context(), txns...) {
				require.NoError(t, err)
			}
			require.EqualValues(t, tt.calls, r.store.Counts().Writes)
			require.Len(t, r.store.Keys("row/"), tt.transactions)
		})
	}
}

func TestConflictOfOneLeavesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		_, err := r.store.Commit(t.Context(), put("row/1", 0, "before"))
		require.NoError(t, err)
		errs := r.commitAll(t.Context(), put("row/0", 0, "a"), put("row/1", 0, "b"), put("row/2", 0, "c"))
		require.NoError(t, errs[0])
		require.NoError(t, errs[2])
		var conflict *persister.ConflictError
		require.ErrorAs(t, errs[1], &conflict)
		require.Equal(t, []persister.Entry{r.store.Peek("row/1")}, conflict.Entries)
		require.Equal(t, "before", string(r.store.Peek("row/1").Value))
	})
}

func TestAnswerMayLeaveOutKeysThatDoNotExist(t *testing.T) {
	b := newBatch(32)
	b.add(&waiter{}, rebased{Txn: put("row/0", 0, "a")})
	b.add(&waiter{}, rebased{Txn: put("row/1", 5, "b")})
	states, ok := b.states([]persister.Entry{{Key: "row/1", Revision: 6}})
	require.True(t, ok)
	require.Equal(t, []persister.Entry{{Key: "row/0"}, {Key: "row/1", Revision: 6}}, states)
	_, ok = b.states([]persister.Entry{{Key: "row/0", Revision: 6}})
	require.False(t, ok)
}

func TestTransactionsOfOneKeyExcludeEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		errs := r.commitAll(t.Context(), put("row/0", 0, "a"), put("row/0", 0, "b"))
		if errs[0] != nil {
			errs[0], errs[1] = errs[1], errs[0]
		}
		require.NoError(t, errs[0])
		require.ErrorIs(t, errs[1], persister.ErrConflict)
		require.EqualValues(t, 1, r.store.Counts().Writes, "the second one's conflict was known")
	})
}

func TestKnownStateIsNotOlderThanTheCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first, _, err := r.Commit(t.Context(), put("row/0", 0, "a"))
		require.NoError(t, err)
		second, err := r.store.Commit(t.Context(), put("row/0", first, "b"))
		require.NoError(t, err)
		_, _, err = r.Commit(t.Context(), put("row/0", second, "c"))
		require.NoError(t, err)
		require.Equal(t, "c", string(r.store.Peek("row/0").Value))
	})
}

func TestValuesAreMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first, _, err := r.Commit(t.Context(), put("sum", 0, "10"))
		require.NoError(t, err)
		merged := make([][]persister.Entry, 3)
		var calls sync.WaitGroup
		for i, value := range []string{"11", "12", "14"} {
			calls.Go(func() {
				var err error
				_, merged[i], err = r.Commit(t.Context(), put("sum", first, value))
				require.NoError(t, err)
			})
		}
		calls.Wait()
		require.Equal(t, "17", string(r.store.Peek("sum").Value))
		for _, entries := range merged {
			require.Equal(t, []persister.Entry{r.store.Peek("sum")}, entries)
		}
		require.EqualValues(t, 2, r.store.Counts().Writes)

		_, _, err = r.Commit(t.Context(), put("sum", first, "30"))
		require.NoError(t, err, "an older state can be the base too")
		require.Equal(t, "37", string(r.store.Peek("sum").Value))
	})
}

func TestChangeThatCannotBeMergedIsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first, _, err := r.Commit(t.Context(), put("sum", 0, "10"))
		require.NoError(t, err)
		errs := r.commitAll(t.Context(), put("sum", first, "70"), put("sum", first, "60"))
		if errs[0] != nil {
			errs[0], errs[1] = errs[1], errs[0]
		}
		require.NoError(t, errs[0])
		var conflict *persister.ConflictError
		require.ErrorAs(t, errs[1], &conflict)
		require.Len(t, conflict.Entries, 1)
	})
}

// A caller that has written its own row directly must not hear of an older state of it.
func TestConflictDoesNotTellOlderStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		sum, _, err := r.Commit(t.Context(), put("sum", 0, "10"))
		require.NoError(t, err)
		row, _, err := r.Commit(t.Context(), put("row/0", 0, "old"))
		require.NoError(t, err)
		row, err = r.store.Commit(t.Context(), put("row/0", row, "new"))
		require.NoError(t, err)
		_, _, err = r.Commit(t.Context(), put("sum", sum, "70"))
		require.NoError(t, err)
		txn := put("sum", sum, "60")
		txn.Compares = append(txn.Compares, persister.Compare{Key: "row/0", Revision: row})
		_, _, err = r.Commit(t.Context(), txn)
		require.ErrorIs(t, err, persister.ErrConflict)
		var conflict *persister.ConflictError
		require.False(t, errors.As(err, &conflict), "%v", conflict)
	})
}

func TestMergeGoesOnAfterSomebodyElseWrote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first, _, err := r.Commit(t.Context(), put("sum", 0, "10"))
		require.NoError(t, err)
		_, err = r.store.Commit(t.Context(), put("sum", first, "20"))
		require.NoError(t, err)
		for _, err := range r.commitAll(t.Context(), put("sum", first, "11"), put("sum", first, "12")) {
			require.NoError(t, err)
		}
		require.Equal(t, "23", string(r.store.Peek("sum").Value))
	})
}

func TestOutcomeOfTheCallIsThatOfAll(t *testing.T) {
	tests := []struct {
		name   string
		faults emulator.StoreFaults
		want   error
	}{
		{name: "lost", faults: emulator.StoreFaults{LoseAnswers: 1}, want: persister.ErrUnknown},
		{name: "outage", faults: emulator.StoreFaults{Outage: true}, want: persister.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				r.store.SetFaults(tt.faults)
				for _, err := range r.commitAll(t.Context(), put("row/0", 0, "a"), put("row/1", 0, "b")) {
					require.ErrorIs(t, err, tt.want)
				}
				r.store.SetFaults(emulator.StoreFaults{})
				_, _, err := r.Commit(t.Context(), put("row/2", 0, "c"))
				require.NoError(t, err)
			})
		})
	}
}

func TestEndedLeaseOfOneLeavesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		ended := put("row/1", 0, "b")
		ended.Puts[0].Lease = 77
		errs := r.commitAll(t.Context(), put("row/0", 0, "a"), ended, put("row/2", 0, "c"))
		require.NoError(t, errs[0])
		require.ErrorIs(t, errs[1], persister.ErrInvalid)
		require.NoError(t, errs[2])
	})
}

func TestCallerThatHasGoneIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, _, err := r.Commit(ctx, put("row/0", 0, "a"))
		require.ErrorIs(t, err, persister.ErrUnknown)
		time.Sleep(time.Second)
		require.Empty(t, r.store.Keys("row/"))
	})
}

func TestLeasesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first, err := r.GrantLease(t.Context(), 3*time.Second)
		require.NoError(t, err)
		second, err := r.GrantLease(t.Context(), 3*time.Second)
		require.NoError(t, err)
		require.Equal(t, first, second)
		other, err := r.GrantLease(t.Context(), 7*time.Second)
		require.NoError(t, err)
		require.NotEqual(t, first, other)
		time.Sleep(leaseAge)
		later, err := r.GrantLease(t.Context(), 3*time.Second)
		require.NoError(t, err)
		require.NotEqual(t, first, later)
	})
}

func TestPollersShareAWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first, err := r.store.Commit(t.Context(), put("op/config", 0, "1"))
		require.NoError(t, err)
		var polls sync.WaitGroup
		for range 20 {
			polls.Go(func() {
				batch, err := r.Poll(t.Context(), "op/", first, 10*time.Second)
				require.NoError(t, err)
				require.Len(t, batch.Changes, 1)
				require.Greater(t, batch.Revision, first)
			})
		}
		time.Sleep(time.Second / 2)
		_, err = r.store.Commit(t.Context(), put("op/config", first, "2"))
		require.NoError(t, err)
		polls.Wait()
		require.EqualValues(t, 1, r.store.Counts().Watches)

		batch, err := r.Poll(t.Context(), "op/", first+1, time.Second)
		require.NoError(t, err)
		require.Empty(t, batch.Changes)
		_, err = r.Poll(t.Context(), "op/", 0, time.Second)
		require.ErrorIs(t, err, ErrRevisionTooOld)
	})
}

func TestSilentStoreIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		_, err := r.Poll(t.Context(), "op/", 0, 100*time.Millisecond)
		require.NoError(t, err)
		r.store.SetFaults(emulator.StoreFaults{HoldEvents: true})
		time.Sleep(feedStale + time.Second)
		_, err = r.Poll(t.Context(), "op/", 0, 100*time.Millisecond)
		require.ErrorIs(t, err, persister.ErrUnavailable)
	})
}

func TestFeedForgetsOldChanges(t *testing.T) {
	f := &feed{news: make(chan struct{})}
	for i := range 5 {
		change := persister.Change{Entry: persister.Entry{Key: "op/config", Value: make([]byte, feedBytes/2), Revision: contractor.Revision(i + 1)}}
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
