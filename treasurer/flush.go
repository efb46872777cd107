package treasurer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"laburnumline/allocator"
	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
	"laburnumline/sleeper"
)

const (
	// maxFlushAttempts limits the attempts of one flush whose writes conflict
	// with other writers of the ledger.
	maxFlushAttempts = 24
	// windowSearchPages is the step, in pages of the bill, of the search for the
	// first page of the key window.
	windowSearchPages = 64
	// maxConflictBackoff is the maximum random backoff after a conflict.
	maxConflictBackoff = 20 * time.Millisecond
)

// flush writes the section of an account. Concurrent calls share one write.
func (t *Treasurer) flush(ctx context.Context, account contractor.Account) error {
	result := t.flushes.DoChan(string(account), func() (any, error) {
		ctx, cancel := context.WithTimeout(t.taskContext, t.config.StoreTimeout)
		defer cancel()
		plan, ok := t.keeper.Plan(t.now(), account, newOperation())
		if !ok {
			return nil, errNotKeeper
		}
		return nil, t.writePlan(ctx, plan)
	})
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func newOperation() biller.OperationID {
	for {
		if id := biller.OperationID(rand.Uint64()); id != 0 {
			return id
		}
	}
}

// writePlan applies a plan to the ledger. If the outcome of the write is unknown
// at the end, the plan stays pending and the next flush determines the outcome.
func (t *Treasurer) writePlan(ctx context.Context, plan *allocator.Plan) error {
	var err error
	for range maxFlushAttempts {
		var done bool
		done, err = t.tryWrite(ctx, plan)
		if done {
			break
		}
		if sleeper.Sleep(ctx, rand.N(maxConflictBackoff)) != nil {
			break
		}
	}
	if err == nil {
		return nil
	}
	if !plan.Uncertain() {
		t.keeper.Abandon(t.now(), plan, nil, 0)
	}
	return fmt.Errorf("flush of %q: %w", plan.Account, err)
}

// tryWrite makes one attempt. It reports whether the attempts have to end.
func (t *Treasurer) tryWrite(ctx context.Context, plan *allocator.Plan) (bool, error) {
	ledger, revision, err := biller.LoadLedger(ctx, t.config.Store, plan.Account)
	t.recordStoreResult(ignoreAbsent(err))
	if err != nil {
		return true, err
	}
	section, _ := ledger.Section(plan.Section.Zone)
	switch {
	case section.Operation == plan.Section.Operation:
		t.completeFlush(plan, &ledger, revision)
		return true, nil
	case section.Epoch != plan.Section.Epoch:
		t.recordReplaced(plan.Account, plan.Section.Epoch)
		return true, biller.ErrReplaced
	case !plan.Uncertain() && !t.keeper.RenewalDue(t.now(), plan.Account) && plan.Empty(&ledger):
		t.keeper.Abandon(t.now(), plan, &ledger, revision)
		return true, nil
	}
	billed, err := t.lineLookup(ctx, plan, ledger.Pages)
	if err != nil {
		t.recordStoreResult(err)
		return true, err
	}
	next, page, err := plan.Apply(t.now(), ledger, billed)
	if err != nil {
		return true, err
	}
	written, err := t.commit(ctx, plan, &next, page, revision)
	if err != nil {
		return !errors.Is(err, persister.ErrConflict) && !errors.Is(err, persister.ErrUnknown), err
	}
	t.recordStoreResult(nil)
	t.completeFlush(plan, &next, written)
	t.addToWindow(plan.Account, page)
	return true, nil
}

func ignoreAbsent(err error) error {
	if errors.Is(err, biller.ErrNoLedger) {
		return nil
	}
	return err
}

func (t *Treasurer) commit(ctx context.Context, plan *allocator.Plan, l *biller.Ledger, page *biller.Page, revision contractor.Revision) (contractor.Revision, error) {
	key := biller.LedgerKey(plan.Account)
	value, err := biller.EncodeLedger(l)
	if err != nil {
		return 0, err
	}
	txn := persister.Txn{
		Compares: []persister.Compare{{Key: key, Revision: revision}},
		Puts:     []persister.Put{{Key: key, Value: value}},
	}
	if page != nil {
		value, err := biller.EncodePage(page)
		if err != nil {
			return 0, err
		}
		txn.Puts = append(txn.Puts, persister.Put{Key: biller.PageKey(plan.Account, page.Number), Value: value})
	}
	plan.MarkStarted(t.now())
	written, err := t.config.Store.Commit(ctx, txn)
	t.config.Recorder.Count("budget.ledger_writes", 1)
	switch {
	case err == nil, errors.Is(err, persister.ErrConflict):
	case errors.Is(err, persister.ErrUnavailable), errors.Is(err, persister.ErrThrottled):
		t.recordStoreResult(err)
	default:
		t.recordStoreResult(err)
		plan.MarkUncertain()
	}
	return written, err
}

// completeFlush acknowledges to the entries the settlements that the ledger
// contains now.
func (t *Treasurer) completeFlush(plan *allocator.Plan, l *biller.Ledger, revision contractor.Revision) {
	acks := t.keeper.Flushed(plan.Started(), t.now(), plan, l, revision)
	for _, ack := range acks {
		if ack.Entry == t.self {
			t.entry.Acknowledge(plan.Account, ack.IDs)
			t.dropDeposit(plan.Account, ack.IDs)
			continue
		}
		peer, ok := t.livePeer(ack.Entry)
		if !ok {
			continue
		}
		notification := &FlushedNotification{Account: plan.Account, IDs: ack.IDs}
		t.background(func(ctx context.Context) {
			_, _ = call[FlushedNotification, EmptyResponse](ctx, t, peer, MethodFlushed, notification)
		})
	}
}

// recordReplaced ends the role of keeper for an account that another keeper has
// taken over.
func (t *Treasurer) recordReplaced(account contractor.Account, epoch contractor.Epoch) {
	if t.keeper.Replaced(t.now(), account, epoch) {
		t.config.Recorder.Event(recorder.KeeperReplaced, "account", account, "zone", t.zone, "epoch", epoch)
	}
	t.dropWindow(account)
}

// lineLookup returns the function with which a flush finds the bill lines of
// request keys.
func (t *Treasurer) lineLookup(ctx context.Context, plan *allocator.Plan, pageCount uint64) (biller.LineLookup, error) {
	if !plan.NeedsKeyLookup() {
		return func(contractor.RequestKey) (biller.Line, bool) { return biller.Line{}, false }, nil
	}
	window, err := t.keyWindow(ctx, plan.Account, pageCount)
	if err != nil {
		return nil, err
	}
	if !plan.Recheck {
		return window.Lookup, nil
	}
	olderPages, err := biller.ReadPages(ctx, t.config.Store, plan.Account, plan.RecheckAfter, 0)
	if err != nil {
		return nil, err
	}
	olderLines := make(map[contractor.RequestKey]biller.Line)
	for _, p := range olderPages {
		for _, line := range p.Lines {
			olderLines[line.Key] = line
		}
	}
	return func(key contractor.RequestKey) (biller.Line, bool) {
		if line, ok := olderLines[key]; ok {
			return line, true
		}
		return window.Lookup(key)
	}, nil
}

// keyWindow returns the recent bill pages of an account, up to a page count. Only
// the account's flush in flight uses it.
func (t *Treasurer) keyWindow(ctx context.Context, account contractor.Account, pageCount uint64) (*biller.Window, error) {
	t.mu.Lock()
	window, ok := t.windows[account]
	t.mu.Unlock()
	since := t.now().Add(-t.keeper.KeyRetention())
	if !ok {
		lastPage, err := t.pageBeforeWindow(ctx, account, pageCount, since)
		if err != nil {
			return nil, err
		}
		window = &biller.Window{LastPage: lastPage}
	}
	if window.LastPage < pageCount {
		pages, err := biller.ReadPages(ctx, t.config.Store, account, window.LastPage, 0)
		if err != nil {
			return nil, err
		}
		window.Add(pages...)
	}
	window.Forget(since)
	t.mu.Lock()
	t.windows[account] = window
	t.mu.Unlock()
	return window, nil
}

// pageBeforeWindow returns the number of a page before the first one of the window, or 0.
func (t *Treasurer) pageBeforeWindow(ctx context.Context, account contractor.Account, pageCount uint64, since time.Time) (uint64, error) {
	number := pageCount
	for number > 0 {
		number -= min(number, windowSearchPages)
		pages, err := biller.ReadPages(ctx, t.config.Store, account, number, 1)
		if err != nil {
			return 0, err
		}
		if len(pages) > 0 && pages[0].At.Before(since) {
			return number, nil
		}
	}
	return 0, nil
}

// addToWindow adds a page that this daemon has written.
func (t *Treasurer) addToWindow(account contractor.Account, page *biller.Page) {
	t.mu.Lock()
	defer t.mu.Unlock()
	window, ok := t.windows[account]
	if ok && page != nil && page.Number == window.LastPage+1 {
		window.Add(*page)
	}
}
