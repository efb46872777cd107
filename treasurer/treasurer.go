// Package treasurer connects reservations with the store and with other daemons.
//
// A Treasurer runs both roles of budgets in one daemon. As an entry it asks the
// keeper of an account for reservations and keeps settlements until the ledger
// holds them (package reserver). As a keeper it answers the entries of its zone,
// writes the ledger, and takes over from keepers that are gone (package
// allocator). All decisions are made by those packages; this one does the I/O.
//
//	t := treasurer.New(treasurer.Config{Store: store, Caller: caller, Mux: mux, Members: members})
//	if err := t.Register(ctx); err != nil {
//		return err
//	}
//	go t.Run(ctx)
//	reservation, err := t.Reserve(ctx, reserver.Request{Key: key, Budget: budget, Want: 900})
//	if err != nil {
//		return err // a *refuser.Refusal; nothing ran
//	}
//	if err := t.BeginDispatch(reservation); err != nil {
//		return err // nothing ran
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

	// tickInterval is the time between two looks at what is due.
	tickInterval = 100 * time.Millisecond
	// retryBackoff is the time before a keeper is asked again.
	retryBackoff = 50 * time.Millisecond
	// storeBackoff is the time for which a store that is away is not asked for
	// the sake of one request.
	storeBackoff = time.Second
	// maxBatch is the number of settlements in one message.
	maxBatch = 512
	// flushWorkers is the number of ledgers that are written at the same time.
	flushWorkers = 8
)

// Members is the view that a daemon has of the fleet.
type Members interface {
	// Self returns this run of the daemon.
	Self() messenger.Peer
	// Keeper returns the live daemon of a zone that keeps an account.
	Keeper(zone contractor.Zone, account contractor.Account) (messenger.Peer, bool)
	// Zone returns the live daemons of a zone, self included.
	Zone(zone contractor.Zone) []messenger.Peer
	// Zones returns the zones with live daemons, nearest first, own first.
	Zones() []contractor.Zone
	// Gone reports whether the VM list says that a run has ended.
	Gone(vm contractor.VM, incarnation contractor.Incarnation) bool
	// Changed is closed at the next change of the view.
	Changed() <-chan struct{}
}

// Config holds the ports and limits of a Treasurer. Zero limits have defaults.
type Config struct {
	Store    persister.Store
	Caller   messenger.Caller
	Mux      *messenger.Mux
	Members  Members
	Recorder *recorder.Recorder
	// Keeper holds the limits of the keeper. Zone and Self are set from Members.
	Keeper allocator.Config
	// CallTimeout bounds one call to another daemon.
	CallTimeout time.Duration
	// StoreTimeout bounds one write of a ledger with its reads.
	StoreTimeout time.Duration
	// KeeperTimeout is how long a request waits for a keeper that can answer.
	KeeperTimeout time.Duration
	// ReleaseTimeout is how long a request waits for reservations to come back.
	ReleaseTimeout time.Duration
	// ResendAfter is the time after which a settlement without an
	// acknowledgement is sent again.
	ResendAfter time.Duration
	// FleetWritesPerSecond is the number of flushes per second of all daemons together.
	FleetWritesPerSecond float64
	// Now returns the time. It is time.Now by default.
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

// Treasurer runs the budgets' entry and keeper of one daemon.
type Treasurer struct {
	config Config
	self   reserver.Holder
	zone   contractor.Zone
	entry  *reserver.Reserver
	keeper *allocator.Allocator

	// taskContext ends when Run ends; work that outlives one request runs under it.
	taskContext context.Context
	cancelTasks context.CancelFunc
	tasks       sync.WaitGroup

	flushes       singleflight.Group
	takeovers     singleflight.Group
	witnessLocks  keyedMutex[contractor.Account]
	transferLocks keyedMutex[contractor.BudgetID]

	registeredRevision atomic.Int64 // revision of the daemon's registration
	storeRetryAt       atomic.Int64 // Unix nanoseconds until which the store is left alone
	draining           atomic.Bool
	wake               chan struct{}

	mu          sync.Mutex
	windows     map[contractor.Account]*biller.Window
	sending     map[contractor.Account]bool
	lastKeepers map[contractor.Account]messenger.Peer
	seenDaemons map[reserver.Holder]bool
	// endedAt is when the daemon first saw that a registered run has endedAt.
	endedAt map[reserver.Holder]time.Time
	// deposits are copies that the daemon keeps for daemons of other zones.
	deposits deposits
	// depositTarget keeps copies for this daemon.
	depositTarget messenger.Peer
}

// New returns a Treasurer and adds its handlers to the Mux.
func New(c Config) *Treasurer {
	c.setDefaults()
	self := c.Members.Self()
	id := reserver.Holder{VM: self.VM, Incarnation: self.Incarnation}
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
		seenDaemons: make(map[reserver.Holder]bool),
		endedAt:     make(map[reserver.Holder]time.Time),
		deposits: deposits{
			records:     make(map[depositor]map[uint64]reserver.Record),
			forwardedAt: make(map[depositor]time.Time),
		},
	}
	t.registerHandlers(c.Mux)
	return t
}

func (t *Treasurer) now() time.Time { return t.config.Now() }

// BeginDispatch allows one dispatch of a reservation. It refuses when the
// reservation is too old or its keeper was replaced.
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

// Status is what a daemon knows of budgets.
type Status struct {
	// KeeperAccounts are the accounts that the daemon keeps.
	KeeperAccounts []allocator.Status
	// EntryAccounts are the accounts with reservations of the daemon's callers.
	EntryAccounts map[contractor.Account]reserver.Load
	// FlushInterval is the present time between two flushes of an account.
	FlushInterval time.Duration
	// StoreUnavailable is true while the store does not answer.
	StoreUnavailable bool
	Draining         bool
}

// Status returns the state of both roles.
func (t *Treasurer) Status() Status {
	s := Status{
		EntryAccounts:    t.entry.Accounts(),
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

// recordStoreResult remembers whether the store answers.
func (t *Treasurer) recordStoreResult(err error) {
	if err == nil {
		t.storeRetryAt.Store(0)
		return
	}
	t.storeRetryAt.Store(t.now().Add(storeBackoff).UnixNano())
	t.config.Recorder.Count("budget.store_errors", 1)
}

func (t *Treasurer) newRefusal(reason refuser.Reason, retryAfter time.Duration, detail string) *refuser.Refusal {
	return refuser.New(reason, "reserve").After(retryAfter).Explain("%s", detail)
}
