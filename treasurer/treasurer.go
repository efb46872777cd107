// Package treasurer reserves and settles the prepaid tokens of requests.
//
// Each client account has a ledger in the store. The ledger has one section per
// availability zone, and grants each zone a part of every budget. Two roles work
// on it, and a Treasurer runs both of them in one daemon:
//
//   - The entry is the daemon that received a request from its caller. It
//     requests a reservation for the request's maximum cost, and keeps the
//     settlement (the actual use) until the ledger contains it (package reserver).
//   - The keeper is the one daemon of a zone that may write the zone's section of
//     an account. It reserves from the zone's grant for the entries of its zone
//     and flushes their settlements to the ledger (package allocator).
//
// A keeper is replaced without a lock service:
//
//   - The epoch is a fencing token. It grows each time a daemon takes over a
//     section, and the responses of keepers with a lower epoch are rejected.
//   - The seal is the recovery step of a takeover. The new keeper collects what
//     the daemons registered in its zone know of the earlier epochs, and each of
//     them rejects those epochs from then on.
//   - The witness is a second daemon of the zone that holds a copy of the records
//     that would be lost with the keeper.
//   - A deposit is a copy of settlements at a daemon of another zone. A daemon
//     that is alone in its zone makes it.
//   - What may have been spent, but is known by no surviving daemon, becomes
//     unaccounted. It counts as spent until an operator releases it.
//
// Package allocator and package reserver are state machines that make all
// decisions. This package performs their I/O:
//
//	t := treasurer.New(treasurer.Config{Store: store, Caller: caller, Mux: mux, Members: members})
//	if err := t.Register(ctx); err != nil {
//		return err
//	}
//	go t.Run(ctx)
//	reservation, err := t.Reserve(ctx, reserver.Request{Key: key, Budget: budget, Amount: 900})
//	if err != nil {
//		return err // a *refuser.Refusal; the request was not executed
//	}
//	if err := t.BeginDispatch(reservation); err != nil {
//		return err // not executed
//	}
//	...
//	t.Settle(reservation, used)
package treasurer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"laburnumline/allocator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/refuser"
	"laburnumline/reserver"
)

// Defaults of Config.
const (
	DefaultCallTimeout          = 500 * time.Millisecond
	DefaultStoreTimeout         = 2 * time.Second
	DefaultKeeperTimeout        = 4 * time.Second
	DefaultReleaseTimeout       = 250 * time.Millisecond
	DefaultResendAfter          = 30 * time.Second
	DefaultFleetWritesPerSecond = 100.0

	// tickInterval is the interval of the flush loop. Updates of witnesses and
	// unreported settlements are sent every second tick.
	tickInterval = 100 * time.Millisecond
	// retryBackoff is the time between two attempts to reach a keeper.
	retryBackoff = 50 * time.Millisecond
	// storeBackoff is the time after a store error during which requests do not
	// wait for the store.
	storeBackoff = time.Second
	// maxBatch is the maximum number of settlements in one message.
	maxBatch = 512
	// flushWorkers is the maximum number of concurrent flushes.
	flushWorkers = 8
)

// Members is a daemon's view of the fleet.
type Members interface {
	// Self returns this incarnation of the daemon.
	Self() messenger.Peer
	// Keeper returns the live daemon that is the keeper of an account in a zone.
	Keeper(zone contractor.Zone, account contractor.Account) (messenger.Peer, bool)
	// Zone returns the live daemons of a zone, including this one.
	Zone(zone contractor.Zone) []messenger.Peer
	// Zones returns the zones with live daemons: the own zone first, then the
	// others, nearest first.
	Zones() []contractor.Zone
	// Gone reports whether the VM list says that an incarnation has ended.
	Gone(vm contractor.VM, incarnation contractor.Incarnation) bool
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}

// Config holds the dependencies and limits of a Treasurer. Zero limits have defaults.
type Config struct {
	Store    persister.Store
	Caller   messenger.Caller
	Mux      *messenger.Mux
	Members  Members
	Recorder *recorder.Recorder
	// Keeper configures the keeper. Its Zone and Self are set from Members.
	Keeper allocator.Config
	// CallTimeout limits one call to another daemon.
	CallTimeout time.Duration
	// StoreTimeout limits one flush or takeover, with its reads.
	StoreTimeout time.Duration
	// KeeperTimeout limits how long a request waits for a keeper to respond.
	KeeperTimeout time.Duration
	// ReleaseTimeout limits how long a request that the budget does not cover
	// waits for open reservations to be released.
	ReleaseTimeout time.Duration
	// ResendAfter is the time after which an unacknowledged settlement is
	// reported again.
	ResendAfter time.Duration
	// FleetWritesPerSecond limits the flushes of all daemons together.
	FleetWritesPerSecond float64
	// Now returns the time. The default is time.Now.
	Now func() time.Time
}

func (c *Config) setDefaults() {
	durations := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.CallTimeout, DefaultCallTimeout},
		{&c.StoreTimeout, DefaultStoreTimeout},
		{&c.KeeperTimeout, DefaultKeeperTimeout},
		{&c.ReleaseTimeout, DefaultReleaseTimeout},
		{&c.ResendAfter, DefaultResendAfter},
	}
	for _, d := range durations {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	if c.FleetWritesPerSecond == 0 {
		c.FleetWritesPerSecond = DefaultFleetWritesPerSecond
	}
	if c.Now == nil {
		c.Now = time.Now
	}
}

// Treasurer runs the entry and the keeper of one daemon.
type Treasurer struct {
	config Config
	self   reserver.DaemonID
	zone   contractor.Zone
	entry  *reserver.Reserver
	keeper *allocator.Allocator

	// taskContext ends with Run. Work that outlives one request uses it.
	taskContext context.Context
	cancelTasks context.CancelFunc
	tasks       sync.WaitGroup

	flushes       singleflight.Group
	takeovers     singleflight.Group
	witnessLocks  keyedMutex[contractor.Account]
	transferLocks keyedMutex[contractor.BudgetID]

	registeredRevision atomic.Int64 // revision of the daemon's registration
	storeRetryAt       atomic.Int64 // end of the store's backoff in Unix nanoseconds
	draining           atomic.Bool
	wake               chan struct{}

	mu sync.Mutex
	// windows are the cached bill pages of the accounts; see keyWindow.
	windows map[contractor.Account]*biller.Window
	// sending contains the accounts whose settlements are being reported.
	sending map[contractor.Account]bool
	// lastKeepers are the keepers to which settlements were last reported.
	lastKeepers map[contractor.Account]messenger.Peer
	// seenDaemons are the daemons of the zone that were live, until they are marked
	// as gone.
	seenDaemons map[reserver.DaemonID]bool
	// endedAt is when this daemon first saw that a registered incarnation had
	// ended.
	endedAt map[reserver.DaemonID]time.Time
	// deposits holds copies of settlements for daemons of other zones.
	deposits deposits
	// depositTarget holds the copies of this daemon's settlements.
	depositTarget messenger.Peer
}

// New returns a Treasurer and registers its handlers with the Mux.
func New(c Config) *Treasurer {
	c.setDefaults()
	self := c.Members.Self()
	id := reserver.DaemonID{VM: self.VM, Incarnation: self.Incarnation}
	c.Keeper.Zone, c.Keeper.Self = self.Zone, id
	taskContext, cancelTasks := context.WithCancel(context.Background())
	t := &Treasurer{
		config: c,
		self:   id,
		zone:   self.Zone,
		entry: reserver.New(reserver.Config{
			Self:           id,
			DispatchWindow: c.Keeper.DispatchWindow,
			LongestRequest: c.Keeper.LongestRequest,
		}),
		keeper:      allocator.New(c.Keeper),
		taskContext: taskContext,
		cancelTasks: cancelTasks,
		wake:        make(chan struct{}, 1),
		windows:     make(map[contractor.Account]*biller.Window),
		sending:     make(map[contractor.Account]bool),
		lastKeepers: make(map[contractor.Account]messenger.Peer),
		seenDaemons: make(map[reserver.DaemonID]bool),
		endedAt:     make(map[reserver.DaemonID]time.Time),
		deposits: deposits{
			records:     make(map[depositor]map[uint64]reserver.Record),
			forwardedAt: make(map[depositor]time.Time),
		},
	}
	t.registerHandlers(c.Mux)
	return t
}

func (t *Treasurer) now() time.Time { return t.config.Now() }

// BeginDispatch permits one dispatch of a reservation. It fails when the
// reservation has expired, or was given up because its keeper was replaced.
func (t *Treasurer) BeginDispatch(r reserver.Reservation) error {
	err := t.entry.BeginDispatch(t.now(), r)
	if err != nil {
		t.config.Recorder.Count("budget.dispatch_refused", 1)
	}
	return err
}

// Settle records the actual use of a reservation, once. It never blocks.
func (t *Treasurer) Settle(r reserver.Reservation, used contractor.Tokens) {
	t.entry.Settle(t.now(), r, used)
	t.wakeSender()
}

func (t *Treasurer) wakeSender() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Status is the state of both roles of a daemon.
type Status struct {
	// KeeperAccounts are the accounts whose keeper the daemon is.
	KeeperAccounts []allocator.Status
	// EntryAccounts are the accounts with reservations of the daemon's callers.
	EntryAccounts map[contractor.Account]reserver.Counts
	// FlushInterval is the current time between two flushes of an account.
	FlushInterval time.Duration
	// StoreUnavailable is true for storeBackoff after a store error.
	StoreUnavailable bool
	Draining         bool
}

// Status returns the state of both roles.
func (t *Treasurer) Status() Status {
	s := Status{
		EntryAccounts:    t.entry.CountsByAccount(),
		FlushInterval:    t.keeper.Interval(),
		StoreUnavailable: t.storeUnavailable(),
		Draining:         t.draining.Load(),
	}
	for _, name := range t.keeper.Accounts() {
		if status, ok := t.keeper.Status(name); ok {
			s.KeeperAccounts = append(s.KeeperAccounts, status)
		}
	}
	return s
}

func (t *Treasurer) storeUnavailable() bool { return t.now().UnixNano() < t.storeRetryAt.Load() }

// recordStoreResult starts the backoff of the store after an error, and ends it
// after a success.
func (t *Treasurer) recordStoreResult(err error) {
	if err == nil {
		t.storeRetryAt.Store(0)
		return
	}
	t.storeRetryAt.Store(t.now().Add(storeBackoff).UnixNano())
	t.config.Recorder.Count("budget.store_errors", 1)
}

func (t *Treasurer) newRefusal(reason refuser.Reason, retryAfter time.Duration, detail string) *refuser.Refusal {
	return refuser.New(reason, "reserve").WithRetryAfter(retryAfter).WithDetail("%s", detail)
}
