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

// platform is a VM list whose readers see what the test sets.
type platform struct {
	mu   sync.Mutex
	list map[contractor.VM]Listed
	away bool
}

func (p *platform) List(context.Context) ([]Listed, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.away {
		return nil, errors.New("list is away")
	}
	var list []Listed
	for _, x := range p.list {
		list = append(list, x)
	}
	return list, nil
}

func (p *platform) set(x Listed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list[x.VM] = x
}

func (p *platform) setAway(away bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = away
}

func (p *platform) remove(vm contractor.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.list, vm)
}

// slowCaller delays each call. Calls to peers that cannot be reached wait for
// their deadline.
type slowCaller struct {
	messenger.Caller
}

func (c slowCaller) Call(ctx context.Context, to messenger.Peer, method messenger.Method, request []byte) ([]byte, error) {
	time.Sleep(time.Millisecond + rand.N(2*time.Millisecond))
	answer, err := c.Caller.Call(ctx, to, method, request)
	if errors.Is(err, messenger.ErrUnreachable) {
		<-ctx.Done()
	}
	return answer, err
}

// cluster runs trackers within one process.
type cluster struct {
	t        *testing.T
	platform *platform
	loopback *messenger.Loopback
	trackers map[contractor.VM]*Tracker
	stops    map[contractor.VM]func()
	// period is the ProbePeriod of daemons that are started. Zero is the default.
	period time.Duration
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t:        t,
		platform: &platform{list: make(map[contractor.VM]Listed)},
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

func peerOf(zone contractor.Zone, number int, incarnation contractor.Incarnation) messenger.Peer {
	return messenger.Peer{
		VM:          contractor.VM(fmt.Sprintf("%s-%02d", zone, number)),
		Zone:        zone,
		Incarnation: incarnation,
		Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, zone[0], 0, byte(number)}), 7443),
	}
}

// start runs a daemon and lists its VM.
func (c *cluster) start(p messenger.Peer) *Tracker {
	mux := &messenger.Mux{}
	t := New(Config{
		Self:        p,
		Lister:      c.platform,
		Caller:      slowCaller{c.loopback.Caller(p)},
		Mux:         mux,
		ProbePeriod: c.period,
		Recorder:    recorder.New(),
	})
	c.loopback.Attach(p.VM, mux)
	c.platform.set(Listed{VM: p.VM, Zone: p.Zone, Address: p.Address})
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
		c.start(peerOf(zone, i, 1))
	}
}

// kill ends a daemon without notice.
func (c *cluster) kill(vm contractor.VM) {
	c.loopback.Attach(vm, nil)
	c.stops[vm]()
	delete(c.stops, vm)
	delete(c.trackers, vm)
}

// cutZone cuts all links between the members that inside tells apart.
func (c *cluster) cutZone(inside func(contractor.VM) bool, cut bool) {
	for a := range c.trackers {
		for b := range c.trackers {
			if inside(a) && !inside(b) {
				c.loopback.SetPartitioned(a, b, cut)
			}
		}
	}
}

// requireLive checks what all daemons believe of the members of a zone.
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
		late := c.start(peerOf("b", 9, 1))
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

func TestDeadDaemonKeepsNoAccount(t *testing.T) {
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
				for vm, x := range c.trackers {
					if vm == "b-00" {
						continue
					}
					for i := range 100 {
						keeper, ok := x.Keeper("a", contractor.Account(fmt.Sprint(i)))
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

func TestCutLinkRemovesNobody(t *testing.T) {
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

func TestZoneCutOffForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.period = time.Second
		c.startZone("a", 3)
		c.startZone("b", 3)
		c.startZone("c", 3)
		time.Sleep(8 * time.Second)
		inB := func(vm contractor.VM) bool { return vm[0] == 'b' }
		c.cutZone(inB, true)
		time.Sleep(time.Hour)
		for vm, x := range c.trackers {
			require.Len(t, x.Zone(x.Self().Zone), 3, "own zone of %s", vm)
			if !inB(vm) {
				require.Empty(t, x.Zone("b"), "as %s sees it", vm)
				require.False(t, x.Gone("b-00", 1))
			}
		}
		c.cutZone(inB, false)
		time.Sleep(15 * time.Second)
		for _, zone := range []contractor.Zone{"a", "b", "c"} {
			c.requireLive(zone, 3)
		}
	})
}

func TestSplitZoneHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 8)
		time.Sleep(5 * time.Second)
		even := func(vm contractor.VM) bool { return (vm[3]-'0')%2 == 0 }
		c.cutZone(even, true)
		time.Sleep(time.Minute)
		c.requireLive("a", 4)
		c.cutZone(even, false)
		time.Sleep(20 * time.Second)
		c.requireLive("a", 8)
	})
}

func TestFlappingMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 4)
		time.Sleep(5 * time.Second)
		for i := range 5 {
			c.kill("a-01")
			time.Sleep(time.Duration(i) * 400 * time.Millisecond)
			c.start(peerOf("a", 1, contractor.Incarnation(2+i)))
			time.Sleep(2 * time.Second)
			c.requireLive("a", 4)
			require.True(t, c.trackers["a-00"].Gone("a-01", contractor.Incarnation(1+i)))
			require.False(t, c.trackers["a-00"].Gone("a-01", contractor.Incarnation(2+i)))
		}
	})
}

func TestPausedDaemonComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 4)
		time.Sleep(5 * time.Second)
		paused := func(vm contractor.VM) bool { return vm == "a-02" }
		c.cutZone(paused, true)
		time.Sleep(3 * time.Second)
		require.Equal(t, Unreachable, c.stateOf("a-00", "a-02"))
		c.cutZone(paused, false)
		time.Sleep(6 * time.Second)
		c.requireLive("a", 4)
		require.Equal(t, Alive, c.stateOf("a-00", "a-02"))
	})
}

func TestLaggingListPromisesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 3)
		time.Sleep(6 * time.Second)
		observer := c.trackers["a-00"]
		c.platform.remove("a-01")
		time.Sleep(time.Minute)
		c.requireLive("a", 3)
		require.False(t, observer.Gone("a-01", 1), "it still answers")
		require.Equal(t, VMRemoved, observer.VMState("a-01"))

		c.kill("a-02")
		time.Sleep(time.Minute)
		require.False(t, observer.Gone("a-02", 1), "the list still has it")
		require.Equal(t, Unreachable, c.stateOf("a-00", "a-02"))
		c.platform.remove("a-02")
		time.Sleep(20 * time.Second)
		require.False(t, observer.Gone("a-02", 1), "the list may lag")
		time.Sleep(20 * time.Second)
		require.True(t, observer.Gone("a-02", 1))
		require.Equal(t, Gone, c.stateOf("a-00", "a-02"))

		c.platform.setAway(true)
		c.kill("a-01")
		time.Sleep(time.Minute)
		require.True(t, observer.Gone("a-01", 1))
		require.False(t, observer.Gone("a-00", 1))
	})
}

func TestDeadDaemonOfAnotherZoneIsGoneAfterTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 1)
		c.startZone("b", 1)
		time.Sleep(5 * time.Second)
		c.kill("b-00")
		time.Sleep(time.Minute)
		require.Equal(t, Suspect, c.stateOf("a-00", "b-00"))
		require.Empty(t, c.trackers["a-00"].Zone("b"))
		c.platform.remove("b-00")
		time.Sleep(time.Minute)
		require.True(t, c.trackers["a-00"].Gone("b-00", 1))
		require.Equal(t, []contractor.Zone{"a"}, c.trackers["a-00"].Zones())
	})
}

func TestLeavingDaemonKeepsNoAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startZone("a", 3)
		time.Sleep(5 * time.Second)
		c.trackers["a-01"].Leave(t.Context())
		c.platform.set(Listed{VM: "a-02", Zone: "a", Leaving: true})
		time.Sleep(6 * time.Second)
		c.requireLive("a", 3)
		for _, x := range c.trackers {
			for i := range 50 {
				keeper, _ := x.Keeper("a", contractor.Account(fmt.Sprint(i)))
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

func TestIntroducedDaemonsReplaceTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.platform.setAway(true)
		first := c.start(peerOf("a", 0, 1))
		second := c.start(peerOf("a", 1, 1))
		changed := first.Changed()
		second.Introduce(first.Self())
		<-changed
		time.Sleep(time.Second)
		c.requireLive("a", 2)
	})
}
