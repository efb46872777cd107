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

func run(t *testing.T, c watcher.Config, perZone []int, body func(t *testing.T, f *fleet)) {
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
		Members: members{&registry{peers: []messenger.Peer{self}, changed: make(chan struct{})}, self},
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

func TestChangesReachEveryDaemon(t *testing.T) {
	run(t, watcher.Config{}, []int{4, 3, 1}, func(t *testing.T, f *fleet) {
		f.put(contractOf("loft-7", 1))
		require.Equal(t, []int{1, 1, 1, 1, 1, 1, 1, 1}, f.weights("loft-7"))
		before := f.store.Counts()
		revision := f.put(contractOf("loft-7", 2))
		require.Less(t, f.waitInForce(watcher.Contracts, revision), 100*time.Millisecond)
		require.Equal(t, []int{2, 2, 2, 2, 2, 2, 2, 2}, f.weights("loft-7"))
		// Five relays read for themselves and for the other three daemons.
		require.LessOrEqual(t, f.store.Counts().Reads-before.Reads, int64(5))
		require.Equal(t, int64(15), f.store.Counts().WatchesOpen)
	})
}

func TestUpstreamsAreAnnounced(t *testing.T) {
	run(t, watcher.Config{}, []int{3}, func(t *testing.T, f *fleet) {
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
		f.waitInForce(watcher.Upstreams, f.putUpstream(contractor.Upstream{Name: "e1"}))
		f.waitInForce(watcher.Upstreams, f.putUpstream(contractor.Upstream{Name: "e1", Leaving: true}))
		revision, err := f.store.Commit(t.Context(), persister.Txn{Deletes: []string{"upstream/e1"}})
		require.NoError(t, err)
		f.waitInForce(watcher.Upstreams, revision)
		synctest.Wait()
		for i := range f.daemons {
			require.Equal(t, []string{"", "e1:false ", "e1:true ", ""}, seen[i])
		}
	})
}

func TestLateAndMissingEvents(t *testing.T) {
	run(t, watcher.Config{}, []int{2, 2}, func(t *testing.T, f *fleet) {
		f.put(contractOf("loft-7", 1))
		f.weights("loft-7")
		f.store.SetFaults(emulator.StoreFaults{EventDelay: 3 * time.Second})
		late := f.waitInForce(watcher.Contracts, f.put(contractOf("loft-7", 2)))
		require.InDelta(t, 3.0, late.Seconds(), 0.1)
		require.Equal(t, []int{2, 2, 2, 2}, f.weights("loft-7"))
		// The watches miss changes that are compacted before they are told.
		f.store.SetFaults(emulator.StoreFaults{HoldEvents: true})
		revision := f.put(contractOf("loft-7", 3))
		f.putUpstream(contractor.Upstream{Name: "e1"})
		f.store.Compact(f.store.Revision())
		f.store.SetFaults(emulator.StoreFaults{})
		require.Less(t, f.waitInForce(watcher.Contracts, revision), 5*time.Second)
		require.Equal(t, []int{3, 3, 3, 3}, f.weights("loft-7"))
		require.Len(t, f.daemons[0].Upstreams(), 1)
	})
}

func TestRelaysOfOtherZonesHelpAZoneWithoutTheStore(t *testing.T) {
	run(t, watcher.Config{}, []int{3, 3}, func(t *testing.T, f *fleet) {
		for _, d := range f.daemons[:3] {
			d.storeLink.set(true)
		}
		time.Sleep(time.Minute)
		f.put(contractOf("loft-7", 1))
		revision := f.put(contractOf("loft-7", 2))
		require.Less(t, f.waitInForce(watcher.Contracts, revision), 13*time.Second)
		require.Equal(t, []int{2, 2, 2, 2, 2, 2}, f.weights("loft-7"))
	})
}

func TestADaemonWithoutRelaysReadsTheStore(t *testing.T) {
	run(t, watcher.Config{}, []int{4, 2}, func(t *testing.T, f *fleet) {
		last := f.daemons[3]
		for _, d := range f.daemons {
			f.loopback.SetPartitioned(last.peer.VM, d.peer.VM, true)
		}
		f.put(contractOf("loft-7", 1))
		time.Sleep(time.Minute)
		revision := f.put(contractOf("loft-7", 2))
		require.Less(t, f.waitInForce(watcher.Contracts, revision), 13*time.Second)
		require.Equal(t, []int{2, 2, 2, 2, 2, 2}, f.weights("loft-7"))
	})
}

func TestAZoneCutOffForAnHour(t *testing.T) {
	tests := []struct {
		policy watcher.StalePolicy
		served int
	}{
		{watcher.Refuse, 20},
		{watcher.Serve, 120},
	}
	for _, tt := range tests {
		run(t, watcher.Config{StalePolicy: tt.policy}, []int{2, 3}, func(t *testing.T, f *fleet) {
			f.put(contractOf("loft-7", 1))
			f.weights("loft-7")
			f.cutZone("zone-1", true)
			// Polls that were open before end without news.
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
			f.cutZone("zone-1", false)
			require.Less(t, f.waitInForce(watcher.Contracts, revision), 13*time.Second)
			for _, d := range f.daemons {
				c, _, err := d.Contract(t.Context(), "loft-7")
				require.NoError(t, err)
				require.True(t, c.Retired)
			}
		})
	}
}

func TestARestartedDaemonNeverServesAnOlderCopy(t *testing.T) {
	run(t, watcher.Config{}, []int{3}, func(t *testing.T, f *fleet) {
		f.put(contractOf("loft-7", 1))
		f.weights("loft-7")
		// One relay gets no events any more and keeps its older copy.
		f.store.SetFaults(emulator.StoreFaults{HoldEvents: true})
		revision := f.put(contractOf("loft-7", 2))
		f.daemons[0].Learn("loft-7", revision)
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

func TestAnotherDaemonBecomesRelay(t *testing.T) {
	run(t, watcher.Config{}, []int{4}, func(t *testing.T, f *fleet) {
		for len(f.daemons) > 1 {
			first := f.daemons[0]
			first.stop()
			f.loopback.Attach(first.peer.VM, nil)
			f.daemons = f.daemons[1:]
			f.registry.change(func() { f.registry.peers = f.registry.peers[1:] })
			revision := f.put(contractOf("loft-7", len(f.daemons)))
			require.Less(t, f.waitInForce(watcher.Contracts, revision), 5*time.Second)
			require.Equal(t, len(f.daemons), f.weights("loft-7")[0])
		}
		require.Equal(t, int64(3), f.store.Counts().WatchesOpen)
	})
}

func TestRelaysThatFreezeAreLeft(t *testing.T) {
	run(t, watcher.Config{}, []int{4, 4}, func(t *testing.T, f *fleet) {
		frozen := slices.DeleteFunc(slices.Clone(f.daemons[:4]), func(d *daemon) bool { return !d.IsRelay() })
		require.Len(t, frozen, 2)
		for _, d := range frozen {
			f.frozen.Store(d.peer.VM, true)
			d.storeLink.set(true)
		}
		others := slices.DeleteFunc(slices.Clone(f.daemons), func(d *daemon) bool { return slices.Contains(frozen, d) })
		// Nobody has noticed yet: the polls that are open have to time out.
		require.Less(t, f.waitInForceOn(others, f.put(contractOf("loft-7", 1))), 11*time.Second)
		// From then on relays of the other zone are polled for most of the time.
		slow := 0
		for i := range 40 {
			time.Sleep(5 * time.Second)
			if f.waitInForceOn(others, f.put(contractOf("loft-7", i))) > time.Second {
				slow++
			}
		}
		require.LessOrEqual(t, slow, 4, slow)
		// Once they are known to be gone others are relays at once.
		f.registry.change(func() {
			f.registry.peers = slices.DeleteFunc(f.registry.peers, func(p messenger.Peer) bool { return p == frozen[0].peer || p == frozen[1].peer })
		})
		time.Sleep(time.Second)
		require.Less(t, f.waitInForceOn(others, f.put(contractOf("loft-7", 1))), time.Second)
	})
}

func TestAStoppingRelayLetsItsPollsGo(t *testing.T) {
	run(t, watcher.Config{RelaysPerZone: 1}, []int{2}, func(t *testing.T, f *fleet) {
		for i, d := range f.daemons {
			if i == 0 {
				d.Drain()
			} else {
				d.stop()
			}
			synctest.Wait()
			start := time.Now()
			news, err := messenger.Call[watcher.Poll, watcher.News](t.Context(), f.loopback.Caller(d.peer), d.peer,
				watcher.MethodPoll, &watcher.Poll{After: watcher.Revisions{99, 99, 99}, Hold: time.Minute})
			require.NoError(t, err)
			require.False(t, news.Current)
			require.Zero(t, time.Since(start))
		}
	})
}

func TestContractsStayWithinTheirMemory(t *testing.T) {
	const limit, accounts = 96 << 10, 800
	run(t, watcher.Config{MaxBytes: limit, MaxPacked: limit}, []int{1}, func(t *testing.T, f *fleet) {
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

func TestAllContractsOfTheFleetFit(t *testing.T) {
	const ready = 1 << 20
	run(t, watcher.Config{MaxBytes: ready}, []int{1}, func(t *testing.T, f *fleet) {
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
		// Each is read once; with 2,100 of this size the compressed ones fit.
		require.LessOrEqual(t, f.store.Counts().Reads, int64(accounts+20))
		require.Greater(t, d.ContractBytes(), ready)
		require.LessOrEqual(t, 2100/accounts*(d.ContractBytes()-ready*15/16), 8<<20)
	})
}

func TestAccountsOfBearerKeys(t *testing.T) {
	run(t, watcher.Config{}, []int{1, 1}, func(t *testing.T, f *fleet) {
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
		// A key that moves to another account is known there as soon as the change is in force.
		f.put(contractOf("loft-7", 1, "b"))
		f.waitInForce(watcher.Contracts, f.put(contractOf("loft-8", 1, "a", "c")))
		for _, bearer := range []string{"a", "c"} {
			account, err = d.AccountOf(t.Context(), contractor.HashKey(bearer))
			require.NoError(t, err)
			require.Equal(t, contractor.Account("loft-8"), account)
		}
		f.waitInForce(watcher.Contracts, f.put(contractOf("loft-8", 1, "c")))
		_, err = d.AccountOf(t.Context(), contractor.HashKey("a"))
		requireReason(t, err, refuser.Unauthorized)
	})
}

func TestUnknownKeysAreLookedUpAtABoundedRate(t *testing.T) {
	run(t, watcher.Config{LookupsPerSecond: 5}, []int{1}, func(t *testing.T, f *fleet) {
		start := time.Now()
		for i := range 1000 {
			_, err := f.daemons[0].AccountOf(t.Context(), contractor.HashKey(fmt.Sprint(i)))
			requireReason(t, err, refuser.Unauthorized)
		}
		require.GreaterOrEqual(t, time.Since(start), 199*time.Second)
	})
}

func TestInForceOnTellsWhichDaemonsAreBehind(t *testing.T) {
	run(t, watcher.Config{}, []int{2, 2}, func(t *testing.T, f *fleet) {
		f.cutZone("zone-1", true)
		f.waitInForceOn(f.daemons[:2], f.put(contractOf("loft-7", 1)))
		all := f.daemons[0].InForceOn(t.Context())
		require.Len(t, all, 4)
		for _, d := range all {
			require.Equal(t, d.Peer.Zone == "zone-0", d.Reached)
		}
		f.cutZone("zone-1", false)
		f.waitInForce(watcher.Contracts, f.store.Revision())
		for _, d := range f.daemons[0].InForceOn(t.Context(), "zone-1") {
			require.Equal(t, f.store.Revision(), d.Applied[watcher.Contracts])
		}
	})
}

func (f *fleet) waitInForceOn(daemons []*daemon, revision contractor.Revision) time.Duration {
	all := f.daemons
	defer func() { f.daemons = all }()
	f.daemons = daemons
	return f.waitInForce(watcher.Contracts, revision)
}

// A relay that has just started knows no earlier changes, so its answer resets
// the daemons that poll it. A cut afterwards must not refuse their accounts.
func TestACutAfterAResetRefusesNobody(t *testing.T) {
	run(t, watcher.Config{}, []int{1, 1}, func(t *testing.T, f *fleet) {
		f.put(contractOf("loft-7", 1))
		f.weights("loft-7")
		f.daemons[1].storeLink.set(true)
		f.daemons[0].stop()
		f.put(contractOf("loft-8", 1))
		f.daemons[0] = f.start(f.daemons[0].peer)
		time.Sleep(20 * time.Second)
		f.cutZone("zone-1", true)
		_, _, err := f.daemons[1].Contract(t.Context(), "loft-7")
		require.NoError(t, err)
	})
}
