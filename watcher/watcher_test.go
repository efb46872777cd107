package watcher_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/emulator"
	"laburnumline/messenger"
	"laburnumline/persister"
	"laburnumline/refuser"
	"laburnumline/watcher"
)

// testFleet runs body on a fleet in synthetic time, one second after its start.
func testFleet(t *testing.T, c watcher.Config, perZone []int, body func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, c, perZone...)
		defer f.stop()
		time.Sleep(time.Second)
		body(t, f)
	})
}

func requireReason(t testing.TB, err error, reason refuser.Reason) {
	var refusal *refuser.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, reason.String(), refusal.Reason.String(), err)
	require.Equal(t, refuser.NotExecuted, refusal.Execution)
}

func ExampleWatcher() {
	store := emulator.NewStore(emulator.StoreConfig{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hash := contractor.HashKey("secret")
	_, err := store.Commit(ctx, persister.Txn{Puts: []persister.Put{
		{Key: "contract/loft-7", Value: []byte(`{"account":"loft-7","keys":[{"hash":"` + string(hash) + `"}],"budgets":[{"name":"main"}]}`)},
		{Key: "keyhash/" + string(hash), Value: []byte("loft-7")},
	}})
	if err != nil {
		panic(err)
	}
	var loopback messenger.Loopback
	self := messenger.Peer{VM: "entry-1", Zone: "gulf-south-1", Incarnation: 1}
	w, err := watcher.New(watcher.Config{
		Store:   store,
		Caller:  loopback.Caller(self),
		Mux:     &messenger.Mux{},
		Members: memberView{&memberList{peers: []messenger.Peer{self}, changed: make(chan struct{})}, self},
	})
	if err != nil {
		panic(err)
	}
	account, err := w.AccountOf(ctx, hash)
	if err != nil {
		panic(err)
	}
	contract, _, err := w.Contract(ctx, account)
	if err != nil {
		panic(err)
	}
	fmt.Println(contract.Account, contract.Budgets[0].Name)
	// Output: loft-7 main
}

// Guards against slow changes, and against daemons that read or watch the store
// themselves instead of asking the relays of their zone.
func TestChangesReachEveryDaemon(t *testing.T) {
	testFleet(t, watcher.Config{}, []int{4, 3, 1}, func(t *testing.T, f *fleet) {
		f.put(contractOf("loft-7", 1))
		require.Equal(t, []int{1, 1, 1, 1, 1, 1, 1, 1}, f.weights("loft-7"))
		before := f.store.Counts()
		revision := f.put(contractOf("loft-7", 2))
		require.Less(t, f.waitApplied(watcher.Contracts, revision), 100*time.Millisecond)
		require.Equal(t, []int{2, 2, 2, 2, 2, 2, 2, 2}, f.weights("loft-7"))
		// Five relays read the contract for themselves and for the other three daemons.
		require.LessOrEqual(t, f.store.Counts().Reads-before.Reads, int64(5))
		require.Equal(t, int64(15), f.store.Counts().WatchesOpen)
	})
}

// Guards against callbacks that miss an added, changed or deleted upstream.
func TestOnUpstreamsReportsEachChange(t *testing.T) {
	testFleet(t, watcher.Config{}, []int{3}, func(t *testing.T, f *fleet) {
		seen := make([][]string, len(f.daemons))
		for i, d := range f.daemons {
			d.OnUpstreams(func(all []contractor.Upstream) {
				state := ""
				for _, u := range all {
					state += fmt.Sprintf("%s:%t ", u.Name, u.Leaving)
				}
				seen[i] = append(seen[i], state)
			})
		}
		f.waitApplied(watcher.Upstreams, f.putUpstream(contractor.Upstream{Name: "e1"}))
		f.waitApplied(watcher.Upstreams, f.putUpstream(contractor.Upstream{Name: "e1", Leaving: true}))
		revision, err := f.store.Commit(t.Context(), persister.Txn{Deletes: []string{"upstream/e1"}})
		require.NoError(t, err)
		f.waitApplied(watcher.Upstreams, revision)
		synctest.Wait()
		for i := range f.daemons {
			require.Equal(t, []string{"", "e1:false ", "e1:true ", ""}, seen[i])
		}
	})
}

// Guards against changes that are lost when the store sends them late, or when it
// compacts them before a watch has received them.
func TestDelayedAndCompactedChangesAreApplied(t *testing.T) {
	testFleet(t, watcher.Config{}, []int{2, 2}, func(t *testing.T, f *fleet) {
		f.put(contractOf("loft-7", 1))
		f.weights("loft-7")
		f.store.SetFaults(emulator.StoreFaults{EventDelay: 3 * time.Second})
		late := f.waitApplied(watcher.Contracts, f.put(contractOf("loft-7", 2)))
		require.InDelta(t, 3.0, late.Seconds(), 0.1)
		require.Equal(t, []int{2, 2, 2, 2}, f.weights("loft-7"))
		// The watches miss changes that are compacted before they are sent.
		f.store.SetFaults(emulator.StoreFaults{HoldEvents: true})
		revision := f.put(contractOf("loft-7", 3))
		f.putUpstream(contractor.Upstream{Name: "e1"})
		f.store.Compact(f.store.Revision())
		f.store.SetFaults(emulator.StoreFaults{})
		require.Less(t, f.waitApplied(watcher.Contracts, revision), 5*time.Second)
		require.Equal(t, []int{3, 3, 3, 3}, f.weights("loft-7"))
		require.Len(t, f.daemons[0].Upstreams(), 1)
	})
}

// Guards against a zone that misses changes when all of its daemons, relays too,
// have lost the store.
func TestZoneWithoutStoreFollowsRelaysOfOtherZones(t *testing.T) {
	testFleet(t, watcher.Config{}, []int{3, 3}, func(t *testing.T, f *fleet) {
		for _, d := range f.daemons[:3] {
			d.store.setPartitioned(true)
		}
		time.Sleep(time.Minute)
		f.put(contractOf("loft-7", 1))
		revision := f.put(contractOf("loft-7", 2))
		require.Less(t, f.waitApplied(watcher.Contracts, revision), 13*time.Second)
		require.Equal(t, []int{2, 2, 2, 2, 2, 2}, f.weights("loft-7"))
	})
}

// Guards against a daemon that misses changes when it reaches the store but no
// other daemon.
func TestDaemonWithoutRelaysReadsTheStore(t *testing.T) {
	testFleet(t, watcher.Config{}, []int{4, 2}, func(t *testing.T, f *fleet) {
		last := f.daemons[3]
		for _, d := range f.daemons {
			f.loopback.SetPartitioned(last.peer.VM, d.peer.VM, true)
		}
		f.put(contractOf("loft-7", 1))
		time.Sleep(time.Minute)
		revision := f.put(contractOf("loft-7", 2))
		require.Less(t, f.waitApplied(watcher.Contracts, revision), 13*time.Second)
		require.Equal(t, []int{2, 2, 2, 2, 2, 2}, f.weights("loft-7"))
	})
}

// Guards against a daemon that refuses too early or serves too long during a
// partition of an hour, and against a retired contract that it serves afterwards.
func TestPartitionedZoneFollowsItsStalePolicy(t *testing.T) {
	tests := []struct {
		policy watcher.StalePolicy
		served int
	}{
		{watcher.Refuse, 20},
		{watcher.Serve, 120},
	}
	for _, tt := range tests {
		testFleet(t, watcher.Config{StalePolicy: tt.policy}, []int{2, 3}, func(t *testing.T, f *fleet) {
			f.put(contractOf("loft-7", 1))
			f.weights("loft-7")
			f.partitionZone("zone-1", true)
			// Polls that were open before the partition end without updates.
			time.Sleep(10 * time.Second)
			retired := contractOf("loft-7", 1)
			retired.Retired = true
			revision := f.put(retired)
			served := 0
			for range 120 {
				time.Sleep(30 * time.Second)
				c, _, err := f.daemons[4].Contract(t.Context(), "loft-7")
				if err != nil {
					requireReason(t, err, refuser.ContractStale)
					continue
				}
				served++
				require.False(t, c.Retired)
			}
			require.InDelta(t, tt.served, served, 1, tt.policy)
			_, _, err := f.daemons[4].Contract(t.Context(), "unseen")
			requireReason(t, err, refuser.ContractUnavailable)
			f.partitionZone("zone-1", false)
			require.Less(t, f.waitApplied(watcher.Contracts, revision), 13*time.Second)
			for _, d := range f.daemons {
				c, _, err := d.Contract(t.Context(), "loft-7")
				require.NoError(t, err)
				require.True(t, c.Retired)
			}
		})
	}
}

// Guards against a restarted daemon that loads an older copy from a relay which
// has missed a change.
func TestRestartedDaemonServesNoOlderContract(t *testing.T) {
	testFleet(t, watcher.Config{}, []int{3}, func(t *testing.T, f *fleet) {
		f.put(contractOf("loft-7", 1))
		f.weights("loft-7")
		// The store holds its events back, so relays keep their older copies.
		f.store.SetFaults(emulator.StoreFaults{HoldEvents: true})
		revision := f.put(contractOf("loft-7", 2))
		f.daemons[0].InvalidateContract("loft-7", revision)
		c, _, err := f.daemons[0].Contract(t.Context(), "loft-7")
		require.NoError(t, err)
		require.Equal(t, 2, c.Weight)
		for i, d := range f.daemons {
			d.stop()
			synctest.Wait()
			f.daemons[i] = f.start(d.peer)
			time.Sleep(2 * time.Second)
			c, at, err := f.daemons[i].Contract(t.Context(), "loft-7")
			require.NoError(t, err)
			require.Equal(t, 2, c.Weight)
			require.Equal(t, revision, at)
		}
	})
}

// Guards against missed changes while relays stop one after the other and other
// daemons take the role.
func TestLostRelayIsReplaced(t *testing.T) {
	testFleet(t, watcher.Config{}, []int{4}, func(t *testing.T, f *fleet) {
		for len(f.daemons) > 1 {
			first := f.daemons[0]
			first.stop()
			f.loopback.Attach(first.peer.VM, nil)
			f.daemons = f.daemons[1:]
			f.members.change(func() { f.members.peers = f.members.peers[1:] })
			revision := f.put(contractOf("loft-7", len(f.daemons)))
			require.Less(t, f.waitApplied(watcher.Contracts, revision), 5*time.Second)
			require.Equal(t, len(f.daemons), f.weights("loft-7")[0])
		}
		require.Equal(t, int64(3), f.store.Counts().WatchesOpen)
	})
}

// Guards against daemons that wait for relays which are still members but do not
// respond, and against slow changes once these relays are members no more.
func TestUnresponsiveRelaysAreReplaced(t *testing.T) {
	testFleet(t, watcher.Config{}, []int{4, 4}, func(t *testing.T, f *fleet) {
		frozen := slices.DeleteFunc(slices.Clone(f.daemons[:4]), func(d *daemon) bool { return !d.IsRelay() })
		require.Len(t, frozen, 2)
		for _, d := range frozen {
			f.frozen.Store(d.peer.VM, true)
			d.store.setPartitioned(true)
		}
		others := slices.DeleteFunc(slices.Clone(f.daemons), func(d *daemon) bool { return slices.Contains(frozen, d) })
		// The failure is not detected yet: the open polls have to time out.
		require.Less(t, f.waitAppliedOn(others, f.put(contractOf("loft-7", 1))), 11*time.Second)
		// From now on relays of the other zone are polled most of the time.
		slow := 0
		for i := range 40 {
			time.Sleep(5 * time.Second)
			if f.waitAppliedOn(others, f.put(contractOf("loft-7", i))) > time.Second {
				slow++
			}
		}
		require.LessOrEqual(t, slow, 4, slow)
		// When the frozen daemons are no longer members, others become relays at once.
		f.members.change(func() {
			f.members.peers = slices.DeleteFunc(f.members.peers, func(p messenger.Peer) bool { return p == frozen[0].peer || p == frozen[1].peer })
		})
		time.Sleep(time.Second)
		require.Less(t, f.waitAppliedOn(others, f.put(contractOf("loft-7", 1))), time.Second)
	})
}

// Guards against a planned stop that waits for open polls, with Drain and with the
// end of Run.
func TestStoppingRelayEndsPollsAtOnce(t *testing.T) {
	testFleet(t, watcher.Config{RelaysPerZone: 1}, []int{2}, func(t *testing.T, f *fleet) {
		for i, d := range f.daemons {
			if i == 0 {
				d.Drain()
			} else {
				d.stop()
			}
			synctest.Wait()
			start := time.Now()
			response, err := messenger.Call[watcher.PollRequest, watcher.PollResponse](t.Context(), f.loopback.Caller(d.peer), d.peer,
				watcher.MethodPoll, &watcher.PollRequest{After: watcher.Revisions{99, 99, 99}, MaxWait: time.Minute})
			require.NoError(t, err)
			require.False(t, response.Synced)
			require.Zero(t, time.Since(start))
		}
	})
}

// Guards against a cache that exceeds its memory limits, or evicts recently used
// contracts before others.
func TestContractCacheStaysWithinItsLimits(t *testing.T) {
	const limit, accounts = 96 << 10, 800
	testFleet(t, watcher.Config{MaxDecodedBytes: limit, MaxCompressedBytes: limit}, []int{1}, func(t *testing.T, f *fleet) {
		d := f.daemons[0]
		for i := range accounts {
			account := contractor.Account(fmt.Sprintf("account-%d", i))
			f.put(contractOf(account, i+1, fmt.Sprint("key-", i)))
			_, _, err := d.Contract(t.Context(), account)
			require.NoError(t, err)
			require.LessOrEqual(t, d.ContractBytes(), 2*limit)
		}
		require.Greater(t, d.ContractBytes(), limit)
		before := f.store.Counts().Reads
		read := func(i int) int64 {
			c, _, err := d.Contract(t.Context(), contractor.Account(fmt.Sprintf("account-%d", i)))
			require.NoError(t, err)
			require.Equal(t, i+1, c.Weight)
			return f.store.Counts().Reads - before
		}
		require.Zero(t, read(accounts-1))
		require.Equal(t, int64(1), read(0))
	})
}

// Guards against repeated loads: a daemon has to hold the compressed contracts of
// all 2,100 accounts with 157 budgets each within the default limit of 8 MiB.
func TestCompressedContractsOfAllAccountsFit(t *testing.T) {
	const maxDecodedBytes = 1 << 20
	testFleet(t, watcher.Config{MaxDecodedBytes: maxDecodedBytes}, []int{1}, func(t *testing.T, f *fleet) {
		d := f.daemons[0]
		account := func(i int) contractor.Account { return contractor.Account(fmt.Sprint("account-", i)) }
		const accounts = 100
		for i := range accounts {
			f.put(largeContract(account(i), 157))
		}
		for range 2 {
			for i := range accounts {
				c, _, err := d.Contract(t.Context(), account(i))
				require.NoError(t, err)
				require.Len(t, c.Budgets, 157)
			}
		}
		// Each contract is read once, and 2,100 compressed ones of this size fit.
		require.LessOrEqual(t, f.store.Counts().Reads, int64(accounts+20))
		require.Greater(t, d.ContractBytes(), maxDecodedBytes)
		require.LessOrEqual(t, 2100/accounts*(d.ContractBytes()-maxDecodedBytes*15/16), 8<<20)
	})
}

// Guards against a cached bearer key that is accepted after its removal, or for
// the former account after it has moved, and against a store read per request
// with an unknown key.
func TestAccountOfFollowsKeyChanges(t *testing.T) {
	testFleet(t, watcher.Config{}, []int{1, 1}, func(t *testing.T, f *fleet) {
		d := f.daemons[0]
		f.put(contractOf("loft-7", 1, "a", "b"))
		account, err := d.AccountOf(t.Context(), contractor.HashKey("a"))
		require.NoError(t, err)
		require.Equal(t, contractor.Account("loft-7"), account)
		reads := f.store.Counts().Reads
		_, err = d.AccountOf(t.Context(), contractor.HashKey("a"))
		require.NoError(t, err)
		for range 10 {
			_, err = d.AccountOf(t.Context(), contractor.HashKey("c"))
			requireReason(t, err, refuser.Unauthorized)
		}
		require.Equal(t, reads+1, f.store.Counts().Reads)
		// A key that has moved to another account is accepted there once the change is applied.
		f.put(contractOf("loft-7", 1, "b"))
		f.waitApplied(watcher.Contracts, f.put(contractOf("loft-8", 1, "a", "c")))
		for _, bearer := range []string{"a", "c"} {
			account, err = d.AccountOf(t.Context(), contractor.HashKey(bearer))
			require.NoError(t, err)
			require.Equal(t, contractor.Account("loft-8"), account)
		}
		f.waitApplied(watcher.Contracts, f.put(contractOf("loft-8", 1, "c")))
		_, err = d.AccountOf(t.Context(), contractor.HashKey("a"))
		requireReason(t, err, refuser.Unauthorized)
	})
}

// Guards against a caller that loads the store with requests with random keys.
func TestKeyLookupsAreRateLimited(t *testing.T) {
	testFleet(t, watcher.Config{LookupsPerSecond: 5}, []int{1}, func(t *testing.T, f *fleet) {
		start := time.Now()
		for i := range 1000 {
			_, err := f.daemons[0].AccountOf(t.Context(), contractor.HashKey(fmt.Sprint(i)))
			requireReason(t, err, refuser.Unauthorized)
		}
		require.GreaterOrEqual(t, time.Since(start), 199*time.Second)
	})
}

// Guards against a report that shows a change in force on daemons that did not
// respond, or leaves daemons out.
func TestDaemonRevisionsReportsUnreachableDaemons(t *testing.T) {
	testFleet(t, watcher.Config{}, []int{2, 2}, func(t *testing.T, f *fleet) {
		f.partitionZone("zone-1", true)
		f.waitAppliedOn(f.daemons[:2], f.put(contractOf("loft-7", 1)))
		all := f.daemons[0].DaemonRevisions(t.Context())
		require.Len(t, all, 4)
		for _, d := range all {
			require.Equal(t, d.Peer.Zone == "zone-0", d.Reached)
		}
		f.partitionZone("zone-1", false)
		f.waitApplied(watcher.Contracts, f.store.Revision())
		for _, d := range f.daemons[0].DaemonRevisions(t.Context(), "zone-1") {
			require.Equal(t, f.store.Revision(), d.Applied[watcher.Contracts])
		}
	})
}

func (f *fleet) waitAppliedOn(daemons []*daemon, revision contractor.Revision) time.Duration {
	all := f.daemons
	defer func() { f.daemons = all }()
	f.daemons = daemons
	return f.waitApplied(watcher.Contracts, revision)
}

// Guards against refusals of cached accounts after a reset. A relay that has just
// started has no log of earlier changes, so its response resets the daemons that
// poll it. They have to reload their contracts before a partition.
func TestPartitionAfterResetRefusesNoCachedAccount(t *testing.T) {
	testFleet(t, watcher.Config{}, []int{1, 1}, func(t *testing.T, f *fleet) {
		f.put(contractOf("loft-7", 1))
		f.weights("loft-7")
		f.daemons[1].store.setPartitioned(true)
		f.daemons[0].stop()
		f.put(contractOf("loft-8", 1))
		f.daemons[0] = f.start(f.daemons[0].peer)
		time.Sleep(20 * time.Second)
		f.partitionZone("zone-1", true)
		_, _, err := f.daemons[1].Contract(t.Context(), "loft-7")
		require.NoError(t, err)
	})
}
