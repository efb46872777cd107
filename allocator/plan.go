package allocator

import (
	"slices"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// maxPlanLines bounds the size of one page.
const maxPlanLines = 4096

// Plan is one write of a keeper's section. It stays the same until its outcome
// is known, so that a write whose answer was lost is not repeated.
type Plan struct {
	Account   contractor.Account
	Stamp     biller.SectionWrite
	Lines     []biller.Line
	Returns   []biller.BudgetAmount
	Needs     []Need
	Transfers []biller.Transfer
	// Recheck is true when pages after Since have to be searched for the lines.
	Recheck bool
	Since   uint64
	// Close ends the keeper's duty.
	Close bool
	// Reclaim are sections that have been silent for longer than their term.
	Reclaim []biller.Section

	share float64
	items []*item
	// wasResolved is true when an earlier write has ended the seal.
	wasResolved bool
	// ended are the transfers that the ledger holds after the last attempt.
	ended    []biller.TransferID
	started  time.Time
	doubtful bool
}

// Plan starts the next write of an account, or returns the one under way.
func (a *Allocator) Plan(now time.Time, name contractor.Account, operation biller.OperationID) (*Plan, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok {
		return nil, false
	}
	if acc.plan != nil {
		return acc.plan, true
	}
	acc.measure(now)
	p := &Plan{Account: name, share: a.config.Share, Needs: a.needs(acc), wasResolved: acc.resolved}
	p.Stamp = biller.SectionWrite{
		Zone:        a.config.Zone,
		Epoch:       acc.section.Epoch,
		Operation:   operation,
		Unwitnessed: acc.wantAlone || (acc.section.Unwitnessed && acc.witness.peer.VM == ""),
		Resolved:    acc.resolvable(a.config.Self),
		Accounted:   acc.trusted,
	}
	a.planLines(acc, p)
	a.planAmounts(acc, p)
	for _, o := range acc.out {
		if o.recovered && !acc.covers(o.transfer.Budget) {
			continue
		}
		p.Transfers = append(p.Transfers, o.transfer)
	}
	for _, t := range acc.in {
		p.Transfers = append(p.Transfers, t)
	}
	p.Reclaim = a.overdue(now, acc)
	acc.plan = p
	acc.flushedAt = now
	return p, true
}

// Close starts the last write of an account at a planned stop, which gives
// everything back that is free. It reports false while the keeper alone knows
// something that the ledger does not hold.
func (a *Allocator) Close(now time.Time, name contractor.Account, operation biller.OperationID) (*Plan, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.plan != nil || acc.sealing != nil || !acc.closable(a.config.Self) {
		return nil, false
	}
	p := &Plan{Account: name, Close: true}
	p.Stamp = biller.SectionWrite{Zone: a.config.Zone, Epoch: acc.section.Epoch, Operation: operation, Resolved: true, Accounted: acc.trusted}
	for i := range acc.budgets {
		b := &acc.budgets[i]
		if amount := b.free(); amount > 0 {
			b.returning = amount
			p.Returns = append(p.Returns, biller.BudgetAmount{Budget: b.name, Amount: amount})
		}
	}
	acc.plan, acc.closing, acc.flushedAt = p, true, now
	return p, true
}

// closable reports whether the entries and the ledger know everything.
func (a *account) closable(self reserver.DaemonID) bool {
	if len(a.lines)+len(a.out)+len(a.in) > 0 {
		return false
	}
	for ref := range a.items {
		if a.witnesses(ref, self) {
			return false
		}
	}
	return true
}

// covers reports whether a budget's totals are within its grant, so that a
// predecessor's transfer cannot take what is reserved.
func (a *account) covers(name contractor.BudgetName) bool {
	b := a.budget(name)
	return b != nil && b.free() >= 0
}

func (a *Allocator) planLines(acc *account, p *Plan) {
	n := min(len(acc.lines), maxPlanLines)
	p.items = slices.Clone(acc.lines[:n])
	for _, it := range p.items {
		line := it.line(a.config.Zone)
		line.FromHeld = it.old || (acc.trusted && !line.Late)
		p.Lines = append(p.Lines, line)
		if !it.recheck {
			continue
		}
		if !p.Recheck || it.record.PagesBefore < p.Since {
			p.Since = it.record.PagesBefore
		}
		p.Recheck = true
	}
}

func (it *item) line(zone contractor.Zone) biller.Line {
	return biller.Line{
		Key:           it.record.Key,
		Budget:        it.record.Budget,
		Tokens:        it.record.Used,
		At:            it.record.At,
		Zone:          zone,
		Entry:         it.record.Ref.Entry.VM,
		Unconfirmed:   it.unconfirmed,
		Late:          it.late,
		KeyFromCaller: it.record.KeyFromCaller,
	}
}

func (a *Allocator) planAmounts(acc *account, p *Plan) {
	for i := range acc.budgets {
		b := &acc.budgets[i]
		if b.demand == 0 {
			if amount := a.surplus(b); amount > 0 {
				b.returning = amount
				p.Returns = append(p.Returns, biller.BudgetAmount{Budget: b.name, Amount: amount})
			}
		}
	}
}

// Apply returns the ledger after the plan and the page that it creates, if any.
func (p *Plan) Apply(now time.Time, l biller.Ledger, billed biller.LineLookup) (biller.Ledger, *biller.Page, error) {
	zone := p.Stamp.Zone
	next, err := p.stamp(l)
	if err != nil {
		return l, nil, err
	}
	p.ended = nil
	if p.Stamp.Resolved {
		next, p.ended = next.AcknowledgeTransfers(zone)
	}
	next = p.applyTransfers(next)
	next, lines, err := next.Flush(zone, p.Lines, billed)
	if err != nil {
		return l, nil, err
	}
	if next, err = next.ReturnGrants(zone, within(&next, zone, p.Returns)); err != nil {
		return l, nil, err
	}
	if next, err = p.reclaim(next); err != nil {
		return l, nil, err
	}
	if next, err = next.AddGrants(zone, grants(&next, p.Needs, p.share)); err != nil {
		return l, nil, err
	}
	if len(lines) == 0 {
		return next, nil, next.Check()
	}
	page := &biller.Page{
		Account:   p.Account,
		Number:    next.Pages,
		Zone:      zone,
		Epoch:     p.Stamp.Epoch,
		Operation: p.Stamp.Operation,
		At:        now,
		Lines:     lines,
	}
	return next, page, next.Check()
}

func (p *Plan) stamp(l biller.Ledger) (biller.Ledger, error) {
	if p.Close {
		return l.CloseSection(p.Stamp)
	}
	return l.RecordWrite(p.Stamp)
}

// applyTransfers leaves out the transfers that the ledger cannot take yet.
func (p *Plan) applyTransfers(l biller.Ledger) biller.Ledger {
	for _, t := range p.Transfers {
		if slices.Contains(p.ended, t.ID) {
			continue
		}
		next, err := l.ApplyTransfer(p.Stamp.Zone, t)
		if err != nil {
			continue
		}
		l = next
		p.ended = append(p.ended, t.ID)
	}
	return l
}

// reclaim ends the silent sections that are still as they were observed.
func (p *Plan) reclaim(l biller.Ledger) (biller.Ledger, error) {
	for _, silent := range p.Reclaim {
		section, ok := l.Section(silent.Zone)
		if !ok || section.Operation != silent.Operation || section.Epoch != silent.Epoch {
			continue
		}
		next, err := l.Reclaim(silent.Zone)
		if err != nil {
			return l, err
		}
		l = next
	}
	return l, nil
}

// within limits changes to what a zone is granted.
func within(l *biller.Ledger, zone contractor.Zone, changes []biller.BudgetAmount) []biller.BudgetAmount {
	limited := slices.Clone(changes)
	for i := range limited {
		limited[i].Amount = min(limited[i].Amount, max(0, l.Grant(zone, limited[i].Budget)))
	}
	return limited
}

// Empty reports whether the plan would change nothing in a ledger but the
// section's operation.
func (p *Plan) Empty(l *biller.Ledger) bool {
	if len(p.Lines)+len(p.Returns)+len(p.Transfers)+len(p.Reclaim) > 0 || p.Close {
		return false
	}
	if p.Stamp.Resolved && len(l.UnseenTransfers(p.Stamp.Zone)) > 0 {
		return false
	}
	section, _ := l.Section(p.Stamp.Zone)
	if section.Unwitnessed != p.Stamp.Unwitnessed || (p.Stamp.Resolved && !p.wasResolved) {
		return false
	}
	return len(grants(l, p.Needs, p.share)) == 0
}

// Acknowledgement tells an entry which of its settlements the ledger holds.
type Acknowledgement struct {
	Entry reserver.DaemonID
	IDs   []uint64
}

// Flushed takes the outcome of a plan that has taken effect. started is the
// time before the write, now the time after it.
func (a *Allocator) Flushed(started, now time.Time, p *Plan, l *biller.Ledger, revision contractor.Revision) []Acknowledgement {
	s := a.shard(p.Account)
	defer s.mu.Unlock()
	acc, ok := s.accounts[p.Account]
	if !ok || acc.plan != p {
		return nil
	}
	acc.plan = nil
	acc.resolved = acc.resolved || p.Stamp.Resolved
	if p.Close {
		delete(s.accounts, p.Account)
	}
	acc.adopt(a.config.Zone, l)
	acc.revision = max(acc.revision, revision)
	acc.writtenAt, acc.flushedAt = started, started
	for _, id := range p.ended {
		acc.endTransfer(id)
	}
	acc.markExhausted(now)
	acc.observe(now, l)
	return acc.acknowledge(now, p.items)
}

func (a *account) acknowledge(now time.Time, items []*item) []Acknowledgement {
	var acks []Acknowledgement
	index := make(map[reserver.DaemonID]int)
	for _, it := range items {
		if !it.late {
			a.budget(it.record.Budget).unflushed -= it.record.Used
		}
		a.drop(it)
		if it.unconfirmed {
			a.noteCharged(now, it)
			continue
		}
		entry := it.record.Ref.Entry
		i, ok := index[entry]
		if !ok {
			i = len(acks)
			index[entry] = i
			acks = append(acks, Acknowledgement{Entry: entry})
		}
		acks[i].IDs = append(acks[i].IDs, it.record.Ref.ID)
	}
	a.lines = slices.Clone(a.lines[len(items):])
	return acks
}

// noteCharged remembers an unconfirmed line, so that the entry can still say
// that nothing was used. A key that a caller chose may have run elsewhere, so
// its line stays until an actual use replaces it.
func (a *account) noteCharged(now time.Time, it *item) {
	if !it.record.KeyFromCaller {
		a.charged[it.record.Ref] = now
	}
}

// markExhausted ends the plan's holds and notes which budgets have no free balance.
func (a *account) markExhausted(now time.Time) {
	for i := range a.budgets {
		b := &a.budgets[i]
		b.returning = 0
		b.exhausted = 0
		if b.left <= 0 {
			b.exhausted = now.UnixNano()
		}
	}
}

// Abandon ends a plan that certainly took no effect. When the ledger was read
// and nothing had to be written, l is that ledger and revision its revision.
func (a *Allocator) Abandon(now time.Time, p *Plan, l *biller.Ledger, revision contractor.Revision) {
	s := a.shard(p.Account)
	defer s.mu.Unlock()
	acc, ok := s.accounts[p.Account]
	if !ok || acc.plan != p {
		return
	}
	acc.plan = nil
	if l != nil {
		acc.notice(a.config.Zone, l)
		acc.markExhausted(now)
		acc.revision = max(acc.revision, revision)
	}
	for i := range acc.budgets {
		acc.budgets[i].returning = 0
	}
}

// Replaced ends the keeper's duty for an account, unless it has a higher epoch
// by now. What the keeper knows is kept for its successor. It reports whether
// the account was kept.
func (a *Allocator) Replaced(now time.Time, name contractor.Account, epoch contractor.Epoch) bool {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.section.Epoch > epoch {
		return false
	}
	s.surrender(now, acc)
	return true
}

// observe notes since when the sections of other zones have been unchanged.
func (a *account) observe(now time.Time, l *biller.Ledger) {
	for _, section := range l.Sections {
		if section.Zone == a.section.Zone || section.VM == "" {
			delete(a.silent, section.Zone)
			continue
		}
		old, ok := a.silent[section.Zone]
		if ok && old.operation == section.Operation && old.epoch == section.Epoch {
			continue
		}
		a.silent[section.Zone] = observed{section.Operation, section.Epoch, now}
	}
}

// overdue returns the zones whose grants nobody can use any more.
func (a *Allocator) overdue(now time.Time, acc *account) []biller.Section {
	limit := a.stretch(a.config.Term) + a.stretch(a.config.DispatchWindow+a.config.LongestRequest)
	var sections []biller.Section
	for zone, o := range acc.silent {
		if now.Sub(o.at) > limit {
			sections = append(sections, biller.Section{Zone: zone, Operation: o.operation, Epoch: o.epoch})
		}
	}
	return sections
}

// Begin notes that the plan is being written. The first time counts, because
// any attempt may turn out to have taken effect.
func (p *Plan) Begin(now time.Time) {
	if p.started.IsZero() {
		p.started = now
	}
}

// Doubt notes that an attempt may have taken effect.
func (p *Plan) Doubt() { p.doubtful = true }

// Uncertain reports whether an attempt may have taken effect.
func (p *Plan) Uncertain() bool { return p.doubtful }

// Started returns the time before the first attempt.
func (p *Plan) Started() time.Time { return p.started }

// NeedsWindow reports whether a line's key may be billed already.
func (p *Plan) NeedsWindow() bool {
	return p.Recheck || slices.ContainsFunc(p.Lines, func(l biller.Line) bool { return l.KeyFromCaller || l.Unconfirmed })
}

// RenewalDue reports whether the term of an account's grants has to be renewed.
func (a *Allocator) RenewalDue(now time.Time, name contractor.Account) bool {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	return ok && now.Sub(acc.writtenAt) >= a.config.Term/renewals
}

// Window returns the time for which request keys are remembered.
func (a *Allocator) Window() time.Duration { return a.config.Window }
