package archivist

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/apportioner"
	"laburnumline/emulator"
	"laburnumline/persister"
	"laburnumline/pinner"
)

// countingStore counts reads, which take 10 ms.
type countingStore struct {
	*emulator.Store
	reads atomic.Int64
	fails atomic.Bool
}

var errTest = errors.New("the store does not answer")

func (s *countingStore) Range(ctx context.Context, prefix, after string, limit int) (persister.Page, error) {
	s.reads.Add(1)
	time.Sleep(10 * time.Millisecond)
	if s.fails.Load() {
		return persister.Page{}, errTest
	}
	return s.Store.Range(ctx, prefix, after, limit)
}

func newStore() *countingStore {
	return &countingStore{Store: emulator.NewStore(emulator.StoreConfig{})}
}

func streamOf(i int) pinner.Stream { return pinner.StreamOf(fmt.Sprint(i)) }

// add records streams that have begun.
func add(t *testing.T, a *Archivist, software string, streams ...int) {
	t.Helper()
	for _, i := range streams {
		require.NoError(t, a.Assign(t.Context(), streamOf(i), software))
		a.Begin(streamOf(i))
	}
}

// commit writes a batch, as a round does.
func commit(t *testing.T, s *countingStore, batch apportioner.Attachment) {
	t.Helper()
	if len(batch.Puts)+len(batch.Deletes) > 0 {
		_, err := s.Commit(t.Context(), persister.Txn{Puts: batch.Puts, Deletes: batch.Deletes})
		require.NoError(t, err)
	}
	batch.Written()
}

func keys(t *testing.T, s *countingStore) int {
	t.Helper()
	page, err := s.Store.Range(t.Context(), Prefix, "", 1000)
	require.NoError(t, err)
	return len(page.Entries)
}

// A daemon dies, and another one that starts afterwards has to find all that was written, and no more.
func TestRecordsOutliveTheirDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, b := New(Config{Store: s, Name: "a", Incarnation: "1"}), New(Config{Store: s, Name: "a", Incarnation: "2"})
		const streams = 3 * maxBlockRecords / 2
		for i := range streams {
			add(t, a, []string{"v1", "v2", ""}[i%3], i)
		}
		add(t, a, strings.Repeat("v", maxNameBytes+1), -2)
		commit(t, s, a.Pending())
		add(t, a, "v1", -1)
		for i := range streams {
			software, ok, err := b.Find(t.Context(), streamOf(i))
			require.NoError(t, err)
			require.True(t, ok)
			require.Equal(t, []string{"v1", "v2", ""}[i%3], software)
		}
		for _, unknown := range []int{-1, -2} {
			_, ok, err := b.Find(t.Context(), streamOf(unknown))
			require.NoError(t, err)
			require.False(t, ok)
		}
		require.LessOrEqual(t, s.reads.Load(), int64(3), "requests share reads")
	})
}

// The outcome of a round can be unknown. Its records must be written again until one is known to have succeeded, and
// not once more after that.
func TestRecordsAreWrittenUntilARoundSucceeds(t *testing.T) {
	s := newStore()
	a := New(Config{Store: s, Name: "a", Incarnation: "1"})
	require.Empty(t, a.Pending().Puts)
	add(t, a, "v1", 1)
	require.Len(t, a.Pending().Puts, 1)
	require.Len(t, a.Pending().Puts, 1)
	batch := a.Pending()
	add(t, a, "v1", 2) // while the round is in flight
	commit(t, s, batch)
	commit(t, s, a.Pending())
	require.Empty(t, a.Pending().Puts)
	a.Rewrite()
	require.Len(t, a.Pending().Puts, 1)
}

// The request of a stream was sent to one version, and then to another one, where the stream began. Whatever a reader finds, and
// whenever it has read, it must not be told the first version.
func TestMovedStreamIsNotFoundAtItsFirstVersion(t *testing.T) {
	find := func(t *testing.T, a *Archivist) string {
		software, ok, err := a.Find(t.Context(), streamOf(1))
		require.NoError(t, err)
		require.Equal(t, ok, software != "")
		return software
	}
	// The daemon a has assigned the stream to v1, b reads.
	tests := []struct {
		name string
		run  func(t *testing.T, s *countingStore, a, b *Archivist) string
		want string
	}{
		{"not moved, not begun", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			commit(t, s, a.Pending())
			return find(t, b)
		}, "v1"},
		{"moved before a round", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			require.NoError(t, a.Assign(t.Context(), streamOf(1), "v2"))
			commit(t, s, a.Pending())
			return find(t, b)
		}, "v2"},
		{"moved while a round is in flight", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			batch := a.Pending()
			moved := make(chan error)
			go func() { moved <- a.Assign(t.Context(), streamOf(1), "v2") }()
			time.Sleep(10 * time.Millisecond)
			commit(t, s, batch)
			synctest.Wait()
			require.Empty(t, moved, "the void record is not written yet")
			commit(t, s, a.Pending())
			require.NoError(t, <-moved)
			a.Begin(streamOf(1))
			commit(t, s, a.Pending())
			return find(t, b)
		}, ""},
		{"moved after a read", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			commit(t, s, a.Pending())
			require.Equal(t, "v1", find(t, b))
			time.AfterFunc(time.Millisecond, func() { commit(t, s, a.Pending()) })
			require.NoError(t, a.Assign(t.Context(), streamOf(1), "v2"))
			time.Sleep(time.Millisecond)
			return find(t, b)
		}, ""},
		{"the store does not answer", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			commit(t, s, a.Pending())
			start := time.Now()
			require.ErrorIs(t, a.Assign(t.Context(), streamOf(1), "v2"), errNotWritten)
			require.LessOrEqual(t, time.Since(start), assignTimeout)
			return find(t, b)
		}, "v1"},
		{"moved, then the store is restored from before", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			commit(t, s, a.Pending())
			old := s.Copy()
			time.AfterFunc(time.Millisecond, func() { commit(t, s, a.Pending()) })
			require.NoError(t, a.Assign(t.Context(), streamOf(1), "v2"))
			s.Restore(old)
			return find(t, b)
		}, ""},
		{"begun, then the store is restored from before", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			a.Begin(streamOf(1))
			commit(t, s, a.Pending())
			s.Restore(s.Copy())
			return find(t, b)
		}, "v1"},
		{"begun later", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			commit(t, s, a.Pending())
			a.Begin(streamOf(1))
			commit(t, s, a.Pending())
			return find(t, b)
		}, "v1"},
		{"resumed at a third daemon", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			a.Begin(streamOf(1))
			commit(t, s, a.Pending())
			third := New(Config{Store: s, Name: "c", Incarnation: "1", Era: s.Era})
			add(t, third, "v1", 1)
			commit(t, s, third.Pending())
			return find(t, b)
		}, "v1"},
		{"sent by another daemon, withdrawn before a round", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			require.NoError(t, a.Withdraw(t.Context(), streamOf(1), true))
			third := New(Config{Store: s, Name: "c", Incarnation: "1", Era: s.Era})
			require.NoError(t, third.Assign(t.Context(), streamOf(1), "v2"))
			commit(t, s, a.Pending())
			commit(t, s, third.Pending())
			return find(t, b)
		}, "v2"},
		{"sent by another daemon that records nothing", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			commit(t, s, a.Pending())
			time.AfterFunc(time.Millisecond, func() { commit(t, s, a.Pending()) })
			require.NoError(t, a.Withdraw(t.Context(), streamOf(1), true))
			return find(t, b)
		}, ""},
		{"sent by another daemon, where it has begun", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			commit(t, s, a.Pending())
			require.NoError(t, a.Withdraw(t.Context(), streamOf(1), false))
			third := New(Config{Store: s, Name: "c", Incarnation: "1", Era: s.Era})
			add(t, third, "v2", 1)
			commit(t, s, third.Pending())
			commit(t, s, a.Pending())
			return find(t, b)
		}, "v2"},
		{"assigned again after a long time, then moved", func(t *testing.T, s *countingStore, a, b *Archivist) string {
			commit(t, s, a.Pending())
			time.Sleep(maxBlockAge)
			require.NoError(t, a.Assign(t.Context(), streamOf(1), "v1"))
			time.AfterFunc(time.Millisecond, func() { commit(t, s, a.Pending()) })
			require.NoError(t, a.Assign(t.Context(), streamOf(1), "v2"))
			return find(t, b)
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				a, b := New(Config{Store: s, Name: "a", Incarnation: "1", Era: s.Era}), New(Config{Store: s, Name: "b", Incarnation: "1", Era: s.Era})
				require.NoError(t, a.Assign(t.Context(), streamOf(1), "v1"))
				require.Equal(t, tt.want, tt.run(t, s, a, b))
			})
		})
	}
}

// Blocks must not stay in the store, nor fill the memory of a daemon whose rounds fail.
func TestBlocksExpire(t *testing.T) {
	tests := []struct {
		name   string
		rounds bool
	}{{"rounds succeed", true}, {"no round succeeds", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now, s := time.Unix(1000, 0), newStore()
			a := New(Config{Store: s, Name: "a", Incarnation: "1", Now: func() time.Time { return now }})
			most, i := 0, 0
			for range 600 {
				for range 20 {
					add(t, a, "v1", i)
					i++
				}
				batch := a.Pending()
				require.LessOrEqual(t, len(batch.Puts)+len(batch.Deletes), maxBatch)
				for _, p := range batch.Puts {
					require.LessOrEqual(t, len(p.Value), maxBlockRecords*16+100)
				}
				if tt.rounds {
					commit(t, s, batch)
					most = max(most, keys(t, s))
				}
				now = now.Add(time.Second)
			}
			require.LessOrEqual(t, len(a.blocks), 16)
			require.LessOrEqual(t, most, 16)
			now = now.Add(retention)
			for range 10 {
				commit(t, s, a.Pending())
			}
			if tt.rounds {
				require.Empty(t, a.blocks)
				require.Zero(t, keys(t, s))
			}
		})
	}
}

// Many callers resume streams of a fleet that has died. Their requests share few reads, and one that cannot be answered in time
// fails at once.
func TestReadsAreLimited(t *testing.T) {
	for _, members := range []int{7, 300} {
		t.Run(fmt.Sprint(members), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				a := New(Config{Store: s, Name: "a", Incarnation: "1", Members: func() int { return members }})
				var tooSoon, slow atomic.Int64
				const requests = 1000
				for i := range requests {
					go func() {
						start := time.Now()
						_, _, err := a.Find(t.Context(), streamOf(i))
						if errors.Is(err, errTooSoon) {
							tooSoon.Add(1)
						}
						if time.Since(start) > findTimeout {
							slow.Add(1)
						}
					}()
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				synctest.Wait()
				require.LessOrEqual(t, s.reads.Load(), int64(requests*5*time.Millisecond/readInterval)*16/int64(max(members, 16))+2)
				require.Zero(t, slow.Load())
				if members == 7 {
					require.Zero(t, tooSoon.Load())
				}
			})
		})
	}
}

// A stream that is not found in a read that began before the request may have been written since.
func TestFindReadsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		a, b := New(Config{Store: s, Name: "a", Incarnation: "1"}), New(Config{Store: s, Name: "b", Incarnation: "1"})
		_, ok, err := b.Find(t.Context(), streamOf(1))
		require.NoError(t, err)
		require.False(t, ok)
		add(t, a, "v1", 1)
		commit(t, s, a.Pending())
		time.Sleep(time.Millisecond)
		_, ok, err = b.Find(t.Context(), streamOf(1))
		require.NoError(t, err)
		require.True(t, ok)
		s.fails.Store(true)
		_, ok, err = b.Find(t.Context(), streamOf(1))
		require.NoError(t, err, "known without a read")
		require.True(t, ok)
		_, _, err = b.Find(t.Context(), streamOf(2))
		require.ErrorIs(t, err, errTest)
		time.Sleep(time.Second)
		s.fails.Store(false)
		_, ok, err = b.Find(t.Context(), streamOf(2))
		require.NoError(t, err)
		require.False(t, ok)
	})
}

// Daemons that are gone delete nothing. Keys that do not change between two sweeps are deleted, those that do are kept, and a
// damaged one hides no other.
func TestKeysOfLostDaemonsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		lost, alive, sweeper := New(Config{Store: s, Name: "a", Incarnation: "1"}), New(Config{Store: s, Name: "b", Incarnation: "1"}), New(Config{Store: s, Name: "c"})
		for i := range 20 * maxBlockRecords {
			add(t, lost, "v1", i)
		}
		for range 3 {
			commit(t, s, lost.Pending())
		}
		_, err := s.Commit(t.Context(), persister.Txn{Puts: []persister.Put{{Key: Prefix + "0", Value: []byte("damaged")}}})
		require.NoError(t, err)
		_, ok, err := sweeper.Find(t.Context(), streamOf(1))
		require.NoError(t, err)
		require.True(t, ok)
		for i := range 3 {
			add(t, alive, "v1", 1000+i)
			commit(t, s, alive.Pending())
			require.NoError(t, sweeper.RemoveUnused(t.Context()))
			if i == 0 {
				require.Equal(t, 22, keys(t, s))
			}
		}
		require.Equal(t, 1, keys(t, s))
	})
}

// The index must not fill the memory, whatever the store holds.
func TestIndexIsLimited(t *testing.T) {
	x := newIndex(time.Time{})
	full := false
	for i := 0; i < maxIndexRecords+maxBlockRecords && !full; i += maxBlockRecords {
		var streams []byte
		for j := range maxBlockRecords {
			s := streamOf(i + j)
			streams = append(streams, s[:]...)
		}
		full = !x.add(&encodedBlock{Begun: map[string][]byte{"v1": streams}})
	}
	require.True(t, full)
	require.LessOrEqual(t, len(x.streams), maxIndexRecords)
}

func ExampleArchivist() {
	store := emulator.NewStore(emulator.StoreConfig{})
	first := New(Config{Store: store, Name: "edge-1", Incarnation: "7f3a"})
	stream := pinner.StreamOf("9c41d07be2a35f68")
	if err := first.Assign(context.Background(), stream, "v1.2"); err != nil {
		return
	}
	first.Begin(stream)
	batch := first.Pending()
	_, err := store.Commit(context.Background(), persister.Txn{Puts: batch.Puts, Deletes: batch.Deletes})
	if err == nil {
		batch.Written()
	}

	other := New(Config{Store: store, Name: "edge-2", Incarnation: "91bd"})
	fmt.Println(other.Find(context.Background(), stream))
	// Output: v1.2 true <nil>
}

// Members was called under the lock and took that of the Apportioner, which called the Archivist under its own: a daemon hung
// for good.
func TestMembersIsCalledWithoutTheLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var a *Archivist
		calls := 0
		a = New(Config{Store: newStore(), Name: "edge-1", Incarnation: "1", Members: func() int {
			calls++
			require.True(t, a.mu.TryLock(), "nothing else runs")
			a.mu.Unlock()
			return 7
		}})
		for range 2 {
			_, ok, err := a.Find(t.Context(), streamOf(1))
			require.NoError(t, err)
			require.False(t, ok)
		}
		require.Positive(t, calls)
	})
}
