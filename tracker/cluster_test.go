package tracker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/recorder"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	goleak.VerifyTestMain(m)
}

// fakeLister is a VM list that the test sets.
type fakeLister struct {
	mu          sync.Mutex
	list        map[contractor.VM]ListedVM
	unavailable bool
}

func (l *fakeLister) List(context.Context) ([]ListedVM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, errors.New("VM list is unavailable")
	}
	var list []ListedVM
	for _, listed := range l.list {
		list = append(list, listed)
	}
	return list, nil
}

func (l *fakeLister) set(listed ListedVM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list[listed.VM] = listed
}

func (l *fakeLister) setUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

func (l *fakeLister) remove(vm contractor.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.list, vm)
}

// delayingCaller delays each call by 1 to 3 ms. Calls to peers that cannot be reached
// last until their deadline.
type delayingCaller struct {
	messenger.Caller
}

func (c delayingCaller) Call(ctx context.Context, to messenger.Peer, method messenger.Method, request []byte) ([]byte, error) {
	time.Sleep(time.Millisecond + rand.N(2*time.Millisecond))
	response, err := c.Caller.Call(ctx, to, method, request)
	if errors.Is(err, messenger.ErrUnreachable) {
		<-ctx.Done()
	}
	return response, err
}

// cluster is a fixture that runs trackers over an in-process transport.
type cluster struct {
	t        *testing.T
	lister   *fakeLister
	loopback *messenger.Loopback
	trackers map[contractor.VM]*Tracker
	stops    map[contractor.VM]func()
	// probePeriod is the ProbePeriod of daemons that are started. Zero selects the default.
	probePeriod time.Duration
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t:        t,
		lister:   &fakeLister{list: make(map[contractor.VM]ListedVM)},
		loopback: &messenger.Loopback{},
		trackers: make(map[contractor.VM]*Tracker),
		stops:    make(map[contractor.VM]func()),
	}
	t.Cleanup(func() {
		for vm := range c.stops {
			c.kill(vm)
		}
	})
	return c
}

func newPeer(zone contractor.Zone, number int, incarnation contractor.Incarnation) messenger.Peer {
	return messenger.Peer{
		VM:          contractor.VM(fmt.Sprintf("%s-%02d", zone, number)),
		Zone:        zone,
		Incarnation: incarnation,
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, zone[0], 0, byte(number)}), 7443),
	}
}

// start starts a daemon and adds its VM to the list.
func (c *cluster) start(p messenger.Peer) *Tracker {
	mux := &messenger.Mux{}
	t := New(Config{
		Self:        p,
		Lister:      c.lister,
		Caller:      delayingCaller{c.loopback.Caller(p)},
		Mux:         mux,
		ProbePeriod: c.probePeriod,
		Recorder:    recorder.New(),
	})
	c.loopback.Attach(p.VM, mux)
	c.lister.set(ListedVM{VM: p.VM, Zone: p.Zone, Address: p.Address})
	c.trackers[p.VM] = t
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = t.Run(ctx)
	}()
	c.stops[p.VM] = func() {
		cancel()
		<-done
	}
	return t
}

func (c *cluster) startZone(zone contractor.Zone, size int) {
	for i := range size {
		c.start(newPeer(zone, i, 1))
	}
}

// kill stops a daemon without an announcement. Its VM stays in the list.
func (c *cluster) kill(vm contractor.VM) {
	c.loopback.Attach(vm, nil)
	c.stops[vm]()
	delete(c.stops, vm)
	delete(c.trackers, vm)
}

// setPartition interrupts or restores all links between the members for which inside
// is true and the others.
func (c *cluster) setPartition(inside func(contractor.VM) bool, partitioned bool) {
	for a := range c.trackers {
		for b := range c.trackers {
			if inside(a) && !inside(b) {
				c.loopback.SetPartitioned(a, b, partitioned)
			}
		}
	}
}

// requireLive checks the number of live members of a zone in the views of all daemons.
func (c *cluster) requireLive(zone contractor.Zone, count int) {
	c.t.Helper()
	for vm, t := range c.trackers {
		require.Len(c.t, t.Zone(zone), count, "zone %s as %s sees it: %v", zone, vm, t.Snapshot())
	}
}

func (c *cluster) stateOf(observer, vm contractor.VM) State {
	for _, m := range c.trackers[observer].Snapshot() {
		if m.Peer.VM == vm {
			return m.State
		}
	}
	return Gone
}

// Guards against daemons that do not find each other, and against a daemon that is
// ready before it knows its zone: its first choice of a keeper would be wrong.
func TestDaemonsFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 4)
		c.startZone("b", 3)
		c.startZone("c", 1)
		time.Sleep(8 * time.Second)
		c.requireLive("a", 4)
		c.requireLive("b", 3)
		c.requireLive("c", 1)
		late := c.start(newPeer("b", 9, 1))
		<-late.Ready()
		require.Len(t, late.Zone("b"), 4)
		time.Sleep(2 * time.Second)
		c.requireLive("b", 4)
		require.Equal(t, contractor.Zone("b"), late.Zones()[0])
		require.Len(t, late.Zones(), 3)
		for _, m := range late.Snapshot() {
			require.Equal(t, Alive, m.State)
		}
	})
}

// Guards against a killed daemon that stays the keeper of accounts, as its zone detects
// the failure late, and against one that counts as gone although the list has its VM.
func TestDeadDaemonIsNoKeeper(t *testing.T) {
	for _, size := range []int{2, 3, 8, 50} {
		t.Run(fmt.Sprintf("zone of %d", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				c.startZone("a", size)
				c.startZone("b", 1)
				time.Sleep(5 * time.Second)
				c.requireLive("a", size)
				c.kill("a-01")
				time.Sleep(1500 * time.Millisecond)
				for vm, tracker := range c.trackers {
					if vm == "b-00" {
						continue
					}
					for i := range 100 {
						keeper, ok := tracker.Keeper("a", contractor.Account(fmt.Sprint(i)))
						require.True(t, ok)
						require.NotEqual(t, contractor.VM("a-01"), keeper.VM, "as %s sees it", vm)
					}
				}
				require.False(t, c.trackers["a-00"].Gone("a-01", 1))
				time.Sleep(2 * defaultPollPeriod)
				c.requireLive("a", size-1)
			})
		})
	}
}

// Guards against the removal of a live member when the link between two daemons fails:
// their pings of each other fail, but helpers reach both.
func TestSingleLinkFailureRemovesNoMember(t *testing.T) {
	for _, size := range []int{2, 3, 6} {
		t.Run(fmt.Sprintf("zone of %d", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				c.startZone("a", size)
				c.startZone("b", 2)
				time.Sleep(5 * time.Second)
				c.loopback.SetPartitioned("a-00", "a-01", true)
				for range 60 {
					time.Sleep(500 * time.Millisecond)
					c.requireLive("a", size)
				}
			})
		})
	}
}

// Guards against a zone that loses its own members during a partition from the other
// zones, or that stays excluded after it, as backoffs have grown for an hour.
func TestZoneRecoversFromHourLongPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.probePeriod = time.Second
		c.startZone("a", 3)
		c.startZone("b", 3)
		c.startZone("c", 3)
		time.Sleep(8 * time.Second)
		inB := func(vm contractor.VM) bool { return vm[0] == 'b' }
		c.setPartition(inB, true)
		time.Sleep(time.Hour)
		for vm, tracker := range c.trackers {
			require.Len(t, tracker.Zone(tracker.Self().Zone), 3, "own zone of %s", vm)
			if !inB(vm) {
				require.Empty(t, tracker.Zone("b"), "as %s sees it", vm)
				require.False(t, tracker.Gone("b-00", 1))
			}
		}
		c.setPartition(inB, false)
		time.Sleep(15 * time.Second)
		for _, zone := range []contractor.Zone{"a", "b", "c"} {
			c.requireLive(zone, 3)
		}
	})
}

// Guards against a zone that stays split after a partition between its members: each
// half considers the other unreachable, and only probes of candidates find it again.
func TestZoneRecoversFromInternalPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 8)
		time.Sleep(5 * time.Second)
		even := func(vm contractor.VM) bool { return (vm[3]-'0')%2 == 0 }
		c.setPartition(even, true)
		time.Sleep(time.Minute)
		c.requireLive("a", 4)
		c.setPartition(even, false)
		time.Sleep(20 * time.Second)
		c.requireLive("a", 8)
	})
}

// Guards against a restarted daemon that inherits the failed state of its previous
// incarnation, or counts as gone itself. It is down for 0 to 1.6 s.
func TestRestartedDaemonRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 4)
		time.Sleep(5 * time.Second)
		for i := range 5 {
			c.kill("a-01")
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			c.start(newPeer("a", 1, contractor.Incarnation(2+i)))
			time.Sleep(2 * time.Second)
			c.requireLive("a", 4)
			require.True(t, c.trackers["a-00"].Gone("a-01", contractor.Incarnation(1+i)))
			require.False(t, c.trackers["a-00"].Gone("a-01", contractor.Incarnation(2+i)))
		}
	})
}

// Guards against a daemon that stays unreachable after a pause of 3 s. A partition
// simulates the pause, as the daemon keeps its incarnation.
func TestPausedDaemonRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 4)
		time.Sleep(5 * time.Second)
		paused := func(vm contractor.VM) bool { return vm == "a-02" }
		c.setPartition(paused, true)
		time.Sleep(3 * time.Second)
		require.Equal(t, Unreachable, c.stateOf("a-00", "a-02"))
		c.setPartition(paused, false)
		time.Sleep(6 * time.Second)
		c.requireLive("a", 4)
		require.Equal(t, Alive, c.stateOf("a-00", "a-02"))
	})
}

// Guards against a daemon that counts as gone too early: it still answers, the list
// still has its VM, or the list has lacked the VM for less than GoneAfter. An
// unavailable list must not delay the result if earlier lists lacked the VM.
func TestDaemonIsGoneOnlyWhenUnlistedAndUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 3)
		time.Sleep(6 * time.Second)
		observer := c.trackers["a-00"]
		c.lister.remove("a-01")
		time.Sleep(time.Minute)
		c.requireLive("a", 3)
		require.False(t, observer.Gone("a-01", 1), "it still answers")
		require.Equal(t, VMRemoved, observer.VMState("a-01"))

		c.kill("a-02")
		time.Sleep(time.Minute)
		require.False(t, observer.Gone("a-02", 1), "the list still has it")
		require.Equal(t, Unreachable, c.stateOf("a-00", "a-02"))
		c.lister.remove("a-02")
		time.Sleep(20 * time.Second)
		require.False(t, observer.Gone("a-02", 1), "the list may lag")
		time.Sleep(20 * time.Second)
		require.True(t, observer.Gone("a-02", 1))
		require.Equal(t, Gone, c.stateOf("a-00", "a-02"))

		c.lister.setUnavailable(true)
		c.kill("a-01")
		time.Sleep(time.Minute)
		require.True(t, observer.Gone("a-01", 1))
		require.False(t, observer.Gone("a-00", 1))
	})
}

// Guards against a dead daemon that stays a member forever: it was the only one of its
// zone, so no daemon can make it unreachable before the list lacks its VM.
func TestDeadDaemonOfAnotherZoneIsGoneOnceUnlisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 1)
		c.startZone("b", 1)
		time.Sleep(5 * time.Second)
		c.kill("b-00")
		time.Sleep(time.Minute)
		require.Equal(t, Suspect, c.stateOf("a-00", "b-00"))
		require.Empty(t, c.trackers["a-00"].Zone("b"))
		c.lister.remove("b-00")
		time.Sleep(time.Minute)
		require.True(t, c.trackers["a-00"].Gone("b-00", 1))
		require.Equal(t, []contractor.Zone{"a"}, c.trackers["a-00"].Zones())
	})
}

// Guards against accounts whose keeper is about to stop: one daemon announces its stop,
// the list marks the VM of another one as leaving. If all leave, one must be keeper.
func TestLeavingDaemonIsNoKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 3)
		time.Sleep(5 * time.Second)
		c.trackers["a-01"].Leave(t.Context())
		c.lister.set(ListedVM{VM: "a-02", Zone: "a", Leaving: true})
		time.Sleep(6 * time.Second)
		c.requireLive("a", 3)
		for _, tracker := range c.trackers {
			for i := range 50 {
				keeper, _ := tracker.Keeper("a", contractor.Account(fmt.Sprint(i)))
				require.Equal(t, contractor.VM("a-00"), keeper.VM)
			}
		}
		require.Equal(t, Leaving, c.stateOf("a-00", "a-01"))
		require.Equal(t, Leaving, c.stateOf("a-01", "a-02"))
		require.Equal(t, VMLeaving, c.trackers["a-00"].VMState("a-02"))
		c.trackers["a-00"].Leave(t.Context())
		time.Sleep(time.Second)
		_, ok := c.trackers["a-00"].Keeper("a", "x")
		require.True(t, ok, "all leave, and requests in progress still need a keeper")
	})
}

// Guards against daemons that do not find each other while the VM list is unavailable,
// although the registrations in the store name them.
func TestAddedCandidatesReplaceUnavailableList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.lister.setUnavailable(true)
		first := c.start(newPeer("a", 0, 1))
		second := c.start(newPeer("a", 1, 1))
		changed := first.Changed()
		second.AddCandidates(first.Self())
		<-changed
		time.Sleep(time.Second)
		c.requireLive("a", 2)
	})
}
