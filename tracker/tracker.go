// Package tracker maintains the membership of the fleet: which daemons are alive,
// and which daemon of each availability zone is the keeper of a client account.
// The keeper manages the budget of the account in its zone.
//
// The platform's list of VMs says where daemons may run, but it lags behind.
// Daemons therefore also probe each other with a protocol in the manner of SWIM:
//
//   - Failure detection within a zone: the members form a ring. Each daemon pings
//     the next two members in turn and, less often, a few members further along
//     the ring. A member that answers neither directly nor through helpers becomes
//     suspect. The suspicion is pushed to every daemon of the zone. The suspect
//     receives it too and refutes it by raising its sequence number. A suspicion
//     that is not refuted in time makes the member unreachable.
//   - Polls of other zones: a daemon polls two members of each other zone in turn.
//     Only its own zone decides whether a daemon is alive. Other zones merely
//     exclude members that do not answer polls.
//   - Anti-entropy: each ping carries a digest of all records. Two daemons with
//     different digests exchange the records of the zones that differ. The result
//     of merging records does not depend on their order, so views converge.
//
// Views may differ for a while without harm: Keeper only selects the daemon that
// receives the requests for an account's budget, and epochs in the ledger decide
// who may spend. Only Gone is definite. It requires the VM list or a newer
// incarnation of the daemon.
//
//	t := tracker.New(tracker.Config{Self: self, Lister: lister, Caller: caller, Mux: mux})
//	go t.Run(ctx)
//	<-t.Ready()
//	keeper, ok := t.Keeper("zone-a", "loft-7")
package tracker

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/recorder"
)

// Defaults of Config.
const (
	defaultProbePeriod      = 250 * time.Millisecond
	defaultProbeTimeout     = 150 * time.Millisecond
	defaultSuspicionTimeout = 400 * time.Millisecond
	defaultPollPeriod       = 5 * time.Second
	defaultListPeriod       = 5 * time.Second
	defaultGoneAfter        = 30 * time.Second
)

// Config configures a Tracker. Durations of zero select the defaults.
type Config struct {
	Self   messenger.Peer
	Lister Lister
	Caller messenger.Caller
	Mux    *messenger.Mux
	// ProbePeriod is the time between two probes of members of the own zone.
	ProbePeriod time.Duration
	// ProbeTimeout limits a direct probe within the zone.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time that a suspect has to refute a suspicion.
	SuspicionTimeout time.Duration
	// PollPeriod is the time between two polls of the same other zone.
	PollPeriod time.Duration
	// ListPeriod is the time between two reads of the VM list.
	ListPeriod time.Duration
	// GoneAfter is the time for which the VM list must lack a VM before its
	// daemon is gone. It has to exceed the lag of the list.
	GoneAfter time.Duration
	Recorder  *recorder.Recorder
}

func (c *Config) setDefaults() {
	c.ProbePeriod = cmp.Or(c.ProbePeriod, defaultProbePeriod)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, defaultProbeTimeout)
	c.SuspicionTimeout = cmp.Or(c.SuspicionTimeout, defaultSuspicionTimeout)
	c.PollPeriod = cmp.Or(c.PollPeriod, defaultPollPeriod)
	c.ListPeriod = cmp.Or(c.ListPeriod, defaultListPeriod)
	c.GoneAfter = cmp.Or(c.GoneAfter, defaultGoneAfter)
}

// Member is one daemon as this one sees it.
type Member struct {
	Peer  messenger.Peer
	State State
	// RoundTrip is the moving average of the round trip time of pings. It is zero
	// for members that this daemon does not ping.
	RoundTrip time.Duration
	// Changed is the time of the last change of the state.
	Changed time.Time
}

// Tracker runs the membership protocol of one daemon and answers queries about the
// members.
type Tracker struct {
	config     Config
	counters   counters
	ready      chan struct{}
	background sync.WaitGroup

	published atomic.Pointer[directory]

	mu             sync.Mutex
	view           *view
	changed        chan struct{}
	suspicionTimer *time.Timer
	lastSync       time.Time
	syncing        bool
	// ctx is the context of Run, or nil if Run is not in progress.
	ctx context.Context
}

type counters struct {
	probes, probesFailed, indirectProbes, syncs, pushes, listFailures, suppressedSuspicions metrics.Counter
}

// New returns a tracker whose only member is its own daemon, and registers its
// handlers with c.Mux.
func New(c Config) *Tracker {
	c.setDefaults()
	t := &Tracker{
		config:  c,
		ready:   make(chan struct{}),
		changed: make(chan struct{}),
		counters: counters{
			probes:               c.Recorder.Counter("tracker.probes"),
			probesFailed:         c.Recorder.Counter("tracker.probes_failed"),
			indirectProbes:       c.Recorder.Counter("tracker.probes_relayed"),
			syncs:                c.Recorder.Counter("tracker.syncs"),
			pushes:               c.Recorder.Counter("tracker.told"),
			suppressedSuspicions: c.Recorder.Counter("tracker.starved"),
			listFailures:         c.Recorder.Counter("tracker.list_failed"),
		},
	}
	t.view = newView(&t.config, time.Now())
	t.published.Store(t.view.directory())
	t.registerHandlers(c.Mux)
	return t
}

// Self returns the own daemon.
func (t *Tracker) Self() messenger.Peer { return t.config.Self }

// Keeper returns the daemon that is the keeper of an account in a zone. It returns
// false if no live daemon is known in the zone.
func (t *Tracker) Keeper(zone contractor.Zone, account contractor.Account) (messenger.Peer, bool) {
	return t.published.Load().zones[zone].keeper(account)
}

// Zone returns the live daemons of a zone sorted by VM, including leaving ones
// and this one.
func (t *Tracker) Zone(zone contractor.Zone) []messenger.Peer {
	z := t.published.Load().zones[zone]
	if z == nil {
		return nil
	}
	return slices.Clone(z.live)
}

// Zones returns the zones with live daemons: the own zone first, the others by
// round trip time.
func (t *Tracker) Zones() []contractor.Zone {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.zonesByRoundTrip()
}

// Gone reports whether an incarnation of a daemon has definitely ended: a newer
// incarnation runs on the VM, or the VM list has lacked the VM for GoneAfter and
// the daemon does not answer.
func (t *Tracker) Gone(vm contractor.VM, incarnation contractor.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.isGone(vm, incarnation)
}

// VMState returns the state of a VM in the platform's list. The VM need not run a
// daemon.
func (t *Tracker) VMState(vm contractor.VM) VMState {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view.vmList.state(vm)
}

// Changed returns a channel that is closed at the next change of the members or
// read of the VM list.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Ready returns a channel that is closed once the first search for other daemons
// is complete.
func (t *Tracker) Ready() <-chan struct{} { return t.ready }

// Snapshot returns all members, sorted by VM.
func (t *Tracker) Snapshot() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]Member, 0, len(t.view.members))
	for _, m := range t.view.members {
		members = append(members, Member{
			Peer:      m.Peer,
			State:     t.view.state(m),
			RoundTrip: m.roundTrip,
			Changed:   m.changed,
		})
	}
	slices.SortFunc(members, func(a, b Member) int { return byVM(a.Peer, b.Peer) })
	return members
}

// AddCandidates adds daemons that are known from elsewhere, such as registrations
// in the store, to the VMs that are probed for daemons. They are probed before the
// VMs of the list.
func (t *Tracker) AddCandidates(peers ...messenger.Peer) {
	t.update(func(v *view, now time.Time) {
		for _, p := range peers {
			v.prioritizeCandidate(p, now)
		}
	})
}

// Leave announces the planned stop of this daemon to its zone. From then on it is
// the keeper of no account, unless all daemons of the zone leave.
func (t *Tracker) Leave(ctx context.Context) {
	var r Record
	t.update(func(v *view, now time.Time) { r = v.leave(now) })
	t.broadcast(ctx, []Record{r})
}

// update applies a change to the view. It then publishes the new directory,
// broadcasts the records that the change produced and logs its events.
func (t *Tracker) update(change func(v *view, now time.Time)) {
	t.mu.Lock()
	change(t.view, time.Now())
	records, events := t.view.toBroadcast, t.view.events
	t.view.toBroadcast, t.view.events = nil, nil
	if t.view.dirty {
		t.view.dirty = false
		t.published.Store(t.view.directory())
		close(t.changed)
		t.changed = make(chan struct{})
		t.scheduleExpiry()
	}
	ctx := t.ctx
	if ctx != nil && len(records) > 0 {
		t.background.Go(func() { t.broadcast(ctx, records) })
	}
	t.mu.Unlock()
	for _, e := range events {
		t.config.Recorder.Event(e.code, "vm", e.peer.VM, "zone", e.peer.Zone, "incarnation", e.peer.Incarnation)
	}
}
