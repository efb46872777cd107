package treasurer

import (
	"context"
	"time"

	"laburnumline/contractor"
)

// Run does the background work until ctx ends.
func (t *Treasurer) Run(ctx context.Context) error {
	t.setWriteRate()
	loops := []func(context.Context){t.flushLoop, t.sendLoop, t.witnessLoop, t.memberLoop, t.depositLoop}
	for _, loop := range loops {
		t.tasks.Add(1)
		go func() {
			defer t.tasks.Done()
			loop(ctx)
		}()
	}
	<-ctx.Done()
	t.cancelTasks()
	t.tasks.Wait()
	return context.Cause(ctx)
}

// background runs a task in a goroutine. The task's context ends with Run.
func (t *Treasurer) background(task func(ctx context.Context)) {
	if t.taskContext.Err() != nil {
		return
	}
	t.tasks.Add(1)
	go func() {
		defer t.tasks.Done()
		task(t.taskContext)
	}()
}

// runPeriodically calls a task once per interval until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, task func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			task()
		}
	}
}

// flushLoop flushes the accounts that are due, and only one per tick while the
// store is unavailable.
func (t *Treasurer) flushLoop(ctx context.Context) {
	workers := make(chan struct{}, flushWorkers)
	runPeriodically(ctx, tickInterval, func() {
		if n := t.entry.SettleExpired(t.now()); n > 0 {
			t.config.Recorder.Count("budget.expired_reservations", int64(n))
			t.wakeSender()
		}
		due := t.keeper.Due(t.now())
		if t.storeUnavailable() && len(due) > 1 {
			due = due[:1]
		}
		for _, account := range due {
			select {
			case workers <- struct{}{}:
			default:
				return
			}
			t.background(func(ctx context.Context) {
				defer func() { <-workers }()
				if t.flush(ctx, account) != nil {
					t.config.Recorder.Count("budget.flush_failed", 1)
				}
			})
		}
	})
}

func (t *Treasurer) witnessLoop(ctx context.Context) {
	runPeriodically(ctx, 2*tickInterval, func() {
		t.sendWitnessUpdates(t.taskContext)
		t.markGone(t.taskContext)
	})
}

// sendLoop reports settlements to the keepers.
func (t *Treasurer) sendLoop(ctx context.Context) {
	ticker := time.NewTicker(2 * tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.wake:
		}
		for account, counts := range t.entry.CountsByAccount() {
			if counts.Unacknowledged > 0 {
				t.sendSettlements(account)
			}
		}
	}
}

// sendSettlements reports the settlements of one account in the background.
func (t *Treasurer) sendSettlements(account contractor.Account) {
	t.mu.Lock()
	busy := t.sending[account]
	t.sending[account] = true
	t.mu.Unlock()
	if busy {
		return
	}
	t.background(func(ctx context.Context) {
		more := t.sendBatch(ctx, account)
		t.mu.Lock()
		delete(t.sending, account)
		t.mu.Unlock()
		if more {
			t.wakeSender()
		}
	})
}

// sendBatch reports one batch and reports whether more settlements may be waiting.
func (t *Treasurer) sendBatch(ctx context.Context, account contractor.Account) bool {
	keeper, ok := t.keeperOf(account)
	if !ok {
		return false
	}
	now := t.now()
	since := now.Add(-t.config.ResendAfter)
	t.mu.Lock()
	if t.lastKeepers[account] != keeper {
		// A new keeper gets all settlements, also those reported recently.
		since = now
		t.lastKeepers[account] = keeper
	}
	t.mu.Unlock()
	records := t.entry.TakeUnreported(now, since, account, maxBatch)
	if len(records) == 0 {
		return false
	}
	t.depositIfAlone(account, records)
	request := &SettleRequest{Account: account, Records: records}
	var response SettleResponse
	if daemonIDOf(keeper) == t.self {
		response = t.serveSettle(ctx, request)
	} else {
		received, err := call[SettleRequest, SettleResponse](ctx, t, keeper, MethodSettle, request)
		if err != nil {
			t.entry.MarkUnreported(account, records)
			t.config.Recorder.CountRetry("settle_keeper_silent")
			return false
		}
		response = *received
	}
	if response.NotKeeper || !t.entry.AcknowledgeReleases(account, response.Epoch, response.ReleasedIDs) {
		t.entry.MarkUnreported(account, records)
		t.config.Recorder.CountRetry("settle_not_keeper")
		return false
	}
	return len(records) == maxBatch
}

// memberLoop reacts to changes of the view of the fleet.
func (t *Treasurer) memberLoop(ctx context.Context) {
	for {
		changed := t.config.Members.Changed()
		t.setWriteRate()
		t.takeOverOwnAccounts(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// setWriteRate sets this daemon's share of the fleet's write rate.
func (t *Treasurer) setWriteRate() {
	daemons := 0
	for _, zone := range t.config.Members.Zones() {
		daemons += len(t.config.Members.Zone(zone))
	}
	t.keeper.SetWritesPerSecond(t.config.FleetWritesPerSecond / float64(max(1, daemons)))
}

// takeOverOwnAccounts takes over the accounts that the daemon uses, as an entry
// or a witness, and whose keeper it has become.
func (t *Treasurer) takeOverOwnAccounts(ctx context.Context) {
	accounts := make(map[contractor.Account]bool)
	for account := range t.entry.CountsByAccount() {
		accounts[account] = true
	}
	for _, witnessed := range t.entry.WitnessedKeepers() {
		accounts[witnessed.Account] = true
	}
	for account := range accounts {
		keeper, ok := t.config.Members.Keeper(t.zone, account)
		if _, keeps := t.keeper.Keeps(account); keeps || !ok || daemonIDOf(keeper) != t.self || ctx.Err() != nil {
			continue
		}
		t.background(func(ctx context.Context) { _ = t.ensureKeeper(ctx, account) })
	}
}
