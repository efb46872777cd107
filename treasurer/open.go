package treasurer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/allocator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/messenger"
	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/reserver"
	"laburnumline/sleeper"
)

const (
	// sealBackoff is the time between two attempts to complete a seal.
	sealBackoff = 100 * time.Millisecond
	// registrationRetention is how long a registration remains after this daemon
	// has seen that its incarnation ended. All reservations of that incarnation
	// have been charged by then.
	registrationRetention = time.Hour
	registrationPageSize  = 512
)

// registration is the stored record of a running daemon.
type registration struct {
	Peer messenger.Peer `cbor:"1,keyasint"`
	At   time.Time      `cbor:"2,keyasint"`
}

func memberPrefix(zone contractor.Zone) string { return "member/" + string(zone) + "/" }

func memberKey(p messenger.Peer) string {
	return fmt.Sprintf("%s%s/%016x", memberPrefix(p.Zone), p.VM, uint64(p.Incarnation))
}

// Register stores the daemon's registration. Keepers that take over send their
// seals to the registered daemons, so Register has to succeed before the daemon
// serves requests.
func (t *Treasurer) Register(ctx context.Context) error {
	self := t.config.Members.Self()
	value, err := cbor.Marshal(registration{Peer: self, At: t.now()})
	if err != nil {
		return fmt.Errorf("encode registration of %s: %w", self, err)
	}
	key := memberKey(self)
	for {
		revision, err := t.config.Store.Commit(ctx, persister.Txn{Puts: []persister.Put{{Key: key, Value: value}}})
		if err == nil {
			t.registeredRevision.Store(int64(revision))
			return nil
		}
		if !errors.Is(err, persister.ErrUnknown) {
			return fmt.Errorf("register %s: %w", self, err)
		}
		if err := sleeper.Sleep(ctx, retryBackoff); err != nil {
			return fmt.Errorf("register %s: %w", self, err)
		}
	}
}

// registrations returns the daemons that are registered in the zone. It deletes
// expired registrations.
func (t *Treasurer) registrations(ctx context.Context) ([]messenger.Peer, error) {
	var peers []messenger.Peer
	prefix, after := memberPrefix(t.zone), ""
	for {
		page, err := t.config.Store.Range(ctx, prefix, after, registrationPageSize)
		if err != nil {
			return nil, fmt.Errorf("read registrations of zone %q: %w", t.zone, err)
		}
		for _, e := range page.Entries {
			after = e.Key
			var r registration
			if err := cbor.Unmarshal(e.Value, &r); err != nil {
				return nil, fmt.Errorf("decode %s: %w", e.Key, err)
			}
			if t.registrationExpired(r) {
				t.deleteRegistration(ctx, e)
				continue
			}
			peers = append(peers, r.Peer)
		}
		if !page.More || len(page.Entries) == 0 {
			return peers, nil
		}
	}
}

// registrationExpired reports whether an incarnation ended so long ago that no
// keeper of the zone can still hold reservations of it.
func (t *Treasurer) registrationExpired(r registration) bool {
	id := daemonIDOf(r.Peer)
	ended := id != t.self && t.config.Members.Gone(id.VM, id.Incarnation)
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ended {
		delete(t.endedAt, id)
		return false
	}
	endedAt, ok := t.endedAt[id]
	if !ok {
		t.endedAt[id] = t.now()
		return false
	}
	return t.now().Sub(endedAt) > registrationRetention
}

func (t *Treasurer) deleteRegistration(ctx context.Context, e persister.Entry) {
	_, _ = t.config.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{{Key: e.Key, Revision: e.Revision}},
		Deletes:  []string{e.Key},
	})
}

// takeOver makes the daemon the keeper of an account: it raises the epoch of the
// zone's section and starts the seal. Concurrent calls share one takeover.
func (t *Treasurer) takeOver(ctx context.Context, account contractor.Account) error {
	result := t.takeovers.DoChan(string(account), func() (any, error) {
		if _, ok := t.keeper.Keeps(account); ok {
			return nil, nil
		}
		ctx, cancel := context.WithTimeout(t.taskContext, t.config.StoreTimeout)
		defer cancel()
		return nil, t.openSection(ctx, account)
	})
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (t *Treasurer) openSection(ctx context.Context, account contractor.Account) error {
	wanted := biller.Section{
		Zone:        t.zone,
		VM:          t.self.VM,
		Incarnation: t.self.Incarnation,
		Operation:   newOperation(),
		Unwitnessed: len(t.config.Members.Zone(t.zone)) <= 1,
	}
	started := t.now()
	for {
		ledger, revision, err := biller.LoadLedger(ctx, t.config.Store, account)
		t.recordStoreResult(ignoreAbsent(err))
		if err != nil {
			return err
		}
		if section, ok := ledger.Section(t.zone); ok && section.Operation == wanted.Operation {
			t.sectionOpened(started, &ledger, revision)
			return nil
		}
		next, _, err := ledger.OpenSection(wanted)
		if err != nil {
			return err
		}
		value, err := biller.EncodeLedger(&next)
		if err != nil {
			return err
		}
		key := biller.LedgerKey(account)
		written, err := t.config.Store.Commit(ctx, persister.Txn{
			Compares: []persister.Compare{{Key: key, Revision: revision}},
			Puts:     []persister.Put{{Key: key, Value: value}},
		})
		t.config.Recorder.Count("budget.ledger_writes", 1)
		switch {
		case err == nil:
			t.sectionOpened(started, &next, written)
			return nil
		case errors.Is(err, persister.ErrConflict), errors.Is(err, persister.ErrUnknown):
			if sleeper.Sleep(ctx, rand.N(maxConflictBackoff)) != nil {
				return err
			}
		default:
			t.recordStoreResult(err)
			return err
		}
	}
}

// sectionOpened starts the work of a new keeper. A section with epoch 1 had no
// keeper before and needs no seal.
func (t *Treasurer) sectionOpened(started time.Time, l *biller.Ledger, revision contractor.Revision) {
	section, _ := l.Section(t.zone)
	t.keeper.Open(started, l, revision)
	t.entry.RaiseMinEpoch(l.Account, section.Epoch)
	t.dropWindow(l.Account)
	if section.Epoch == 1 {
		t.background(func(ctx context.Context) { t.markRegisteredGone(ctx, l.Account) })
		return
	}
	t.config.Recorder.Event(recorder.KeeperTakeover, "account", l.Account, "zone", t.zone, "epoch", section.Epoch)
	t.background(func(ctx context.Context) { t.seal(ctx, l.Account, section.Epoch) })
}

// seal sends the seal to the registered daemons of the zone until the grants of
// the previous keepers are accounted for.
func (t *Treasurer) seal(ctx context.Context, account contractor.Account, epoch contractor.Epoch) {
	started := t.now()
	var peers []messenger.Peer
	for {
		var err error
		peers, err = t.registrations(ctx)
		if err == nil {
			break
		}
		if sleeper.Sleep(ctx, sealBackoff) != nil {
			return
		}
	}
	responded := make(map[reserver.DaemonID]bool)
	registered := make([]reserver.DaemonID, 0, len(peers))
	for _, p := range peers {
		registered = append(registered, daemonIDOf(p))
	}
	ended := func(id reserver.DaemonID) bool { return t.hasEnded(id, registered) }
	for {
		t.requestSeals(ctx, account, epoch, peers, responded)
		outcome := t.keeper.FinishSeal(t.now(), account, epoch, registered, ended)
		switch outcome.State {
		case allocator.SealReplaced:
			return
		case allocator.SealDone:
			t.markEndedGone(ctx, account, peers)
			t.sealCompleted(ctx, account, outcome, t.now().Sub(started))
			return
		}
		if sleeper.Sleep(ctx, sealBackoff) != nil {
			return
		}
	}
}

// markRegisteredGone records which registered incarnations ended before this
// daemon became the keeper. They cannot have reservations that it does not know.
func (t *Treasurer) markRegisteredGone(ctx context.Context, account contractor.Account) {
	peers, err := t.registrations(ctx)
	if err != nil {
		return
	}
	t.markEndedGone(ctx, account, peers)
}

func (t *Treasurer) markEndedGone(ctx context.Context, account contractor.Account, peers []messenger.Peer) {
	registered := make([]reserver.DaemonID, 0, len(peers))
	for _, p := range peers {
		registered = append(registered, daemonIDOf(p))
	}
	var ended []reserver.DaemonID
	for _, id := range registered {
		if id != t.self && t.hasEnded(id, registered) {
			ended = append(ended, id)
		}
	}
	t.keeper.MarkGoneInAccount(account, ended)
	if len(ended) > 0 && len(t.witnessCandidates()) > 0 {
		_ = t.ensureWitness(ctx, account, t.keeper.WitnessGeneration(account))
	}
}

func (t *Treasurer) sealCompleted(ctx context.Context, account contractor.Account, outcome allocator.SealOutcome, duration time.Duration) {
	t.config.Recorder.ObserveDuration("budget.seal", duration)
	if outcome.Unaccounted > 0 {
		t.config.Recorder.Count("budget.unaccounted_tokens", int64(outcome.Unaccounted))
		t.config.Recorder.Event(recorder.BudgetUnaccounted, "account", account, "zone", t.zone, "tokens", outcome.Unaccounted)
	}
	if len(t.witnessCandidates()) > 0 {
		_ = t.ensureWitness(ctx, account, t.keeper.WitnessGeneration(account))
	}
	_ = t.flush(ctx, account)
}

// hasEnded reports whether an incarnation has ended: the VM list says so, or a
// later incarnation of the same VM is registered.
func (t *Treasurer) hasEnded(id reserver.DaemonID, registered []reserver.DaemonID) bool {
	for _, r := range registered {
		if r.VM == id.VM && r.Incarnation > id.Incarnation {
			return true
		}
	}
	return t.config.Members.Gone(id.VM, id.Incarnation)
}

type sealResult struct {
	from   reserver.DaemonID
	report allocator.Report
	err    error
}

// requestSeals sends the seal to every daemon that has not responded yet, and
// waits for the responses.
func (t *Treasurer) requestSeals(ctx context.Context, account contractor.Account, epoch contractor.Epoch, peers []messenger.Peer, responded map[reserver.DaemonID]bool) {
	request := &SealRequest{Account: account, Epoch: epoch}
	results := make(chan sealResult, len(peers)+1)
	pending := 0
	if !responded[t.self] {
		pending++
		results <- sealResult{from: t.self, report: t.serveSeal(request)}
	}
	for _, p := range peers {
		from := daemonIDOf(p)
		if from == t.self || responded[from] {
			continue
		}
		pending++
		go func() {
			report, err := call[SealRequest, allocator.Report](ctx, t, p, MethodSeal, request)
			if err != nil {
				results <- sealResult{from: from, err: err}
				return
			}
			results <- sealResult{from: from, report: *report}
		}()
	}
	for range pending {
		result := <-results
		if result.err != nil {
			continue
		}
		if result.report.Entry.Refused {
			t.recordReplaced(account, epoch)
			continue
		}
		responded[result.from] = true
		t.keeper.Report(account, epoch, result.from, result.report)
	}
}
