package allocator

import (
	"slices"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/reserver"
)

// maxPlanLines limits the size of one page of the bill.
const maxPlanLines = 4096

// Plan is one write of a keeper's section. It stays the same until its outcome is
// known, because a write whose response was lost may have taken effect.
type Plan struct {
	Account   contractor.Account
	Section   biller.SectionWrite
	Lines     []biller.Line
	Returns   []biller.BudgetAmount
	Needs     []Need
	Transfers []biller.Transfer
	// Recheck is true when the pages after RecheckAfter have to be searched for the
	// lines.
	Recheck      bool
	RecheckAfter uint64
	// Close makes this the last write of the keeper.
	Close bool
	// Reclaim are sections whose grants nobody can use any more, as they were observed.
	Reclaim []biller.Section

	maxGrantFraction float64
	settled          []*reservation
	// alreadyResolved is true when an earlier write has resolved the former keepers'
	// grants.
	alreadyResolved bool
	// appliedTransfers are the transfers that the ledger contains after the last
	// attempt.
	appliedTransfers []biller.TransferID
	started          time.Time
	uncertain        bool
}

// Plan starts the next write of an account, or returns the one in progress.
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
	acc.updateRates(now)
	p := &Plan{Account: name, maxGrantFraction: a.config.MaxGrantFraction, Needs: a.needs(acc), alreadyResolved: acc.resolved}
	p.Section = biller.SectionWrite{
		Zone:        a.config.Zone,
		Epoch:       acc.section.Epoch,
		Operation:   operation,
		Unwitnessed: acc.wantUnwitnessed || (acc.section.Unwitnessed && acc.witness.peer.VM == ""),
		Resolved:    acc.resolvable(a.config.Self),
		Accounted:   acc.accounted,
	}
	a.planLines(acc, p)
	a.planReturns(acc, p)
	for _, sent := range acc.sent {
		if sent.recovered && !acc.withinGrant(sent.transfer.Budget) {
			continue
		}
		p.Transfers = append(p.Transfers, sent.transfer)
	}
	for _, t := range acc.received {
		p.Transfers = append(p.Transfers, t)
	}
	p.Reclaim = a.reclaimable(now, acc)
	acc.plan = p
	acc.flushedAt = now
	return p, true
}

// Close starts the last write of an account at a planned stop, which returns everything
// that is free to the ledger. It reports false while the keeper has state that neither
// the ledger nor an entry knows.
func (a *Allocator) Close(now time.Time, name contractor.Account, operation biller.OperationID) (*Plan, bool) {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.plan != nil || acc.sealing != nil || !acc.closable(a.config.Self) {
		return nil, false
	}
	p := &Plan{Account: name, Close: true}
	p.Section = biller.SectionWrite{Zone: a.config.Zone, Epoch: acc.section.Epoch, Operation: operation, Resolved: true, Accounted: acc.accounted}
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

// closable reports whether the ledger and the entries know the keeper's whole state.
func (a *account) closable(self reserver.DaemonID) bool {
	if len(a.settled)+len(a.sent)+len(a.received) > 0 {
		return false
	}
	for ref := range a.reservations {
		if a.witnessed(ref, self) {
			return false
		}
	}
	return true
}

// withinGrant reports whether a budget's totals are within its grant. A transfer of a
// former keeper then cannot take what is reserved.
func (a *account) withinGrant(name contractor.BudgetName) bool {
	b := a.budget(name)
	return b != nil && b.free() >= 0
}

func (a *Allocator) planLines(acc *account, p *Plan) {
	count := min(len(acc.settled), maxPlanLines)
	p.settled = slices.Clone(acc.settled[:count])
	for _, r := range p.settled {
		line := r.billLine(a.config.Zone)
		line.FromHeld = r.fromUnaccounted || (acc.accounted && !line.Late)
		p.Lines = append(p.Lines, line)
		if !r.recheck {
			continue
		}
		if !p.Recheck || r.record.PagesBefore < p.RecheckAfter {
			p.RecheckAfter = r.record.PagesBefore
		}
		p.Recheck = true
	}
}

func (r *reservation) billLine(zone contractor.Zone) biller.Line {
	return biller.Line{
		Key:           r.record.Key,
		Budget:        r.record.Budget,
		Tokens:        r.record.Used,
		At:            r.record.At,
		Zone:          zone,
		Entry:         r.record.Ref.Entry.VM,
		Unconfirmed:   r.unconfirmed,
		Late:          r.late,
		KeyFromCaller: r.record.KeyFromCaller,
	}
}

func (a *Allocator) planReturns(acc *account, p *Plan) {
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

// Apply returns the ledger after the write, and the page that it creates, if any.
func (p *Plan) Apply(now time.Time, l biller.Ledger, billed biller.LineLookup) (biller.Ledger, *biller.Page, error) {
	zone := p.Section.Zone
	next, err := p.writeSection(l)
	if err != nil {
		return l, nil, err
	}
	p.appliedTransfers = nil
	if p.Section.Resolved {
		next, p.appliedTransfers = next.AcknowledgeTransfers(zone)
	}
	next = p.applyTransfers(next)
	next, lines, err := next.Flush(zone, p.Lines, billed)
	if err != nil {
		return l, nil, err
	}
	if next, err = next.ReturnGrants(zone, limitToGrant(&next, zone, p.Returns)); err != nil {
		return l, nil, err
	}
	if next, err = p.reclaimSections(next); err != nil {
		return l, nil, err
	}
	if next, err = next.AddGrants(zone, grantsFor(&next, p.Needs, p.maxGrantFraction)); err != nil {
		return l, nil, err
	}
	if len(lines) == 0 {
		return next, nil, next.Check()
	}
	page := &biller.Page{
		Account:   p.Account,
		Number:    next.Pages,
		Zone:      zone,
		Epoch:     p.Section.Epoch,
		Operation: p.Section.Operation,
		At:        now,
		Lines:     lines,
	}
	return next, page, next.Check()
}

func (p *Plan) writeSection(l biller.Ledger) (biller.Ledger, error) {
	if p.Close {
		return l.CloseSection(p.Section)
	}
	return l.RecordWrite(p.Section)
}

// applyTransfers skips the transfers that the ledger cannot apply yet.
func (p *Plan) applyTransfers(l biller.Ledger) biller.Ledger {
	for _, t := range p.Transfers {
		if slices.Contains(p.appliedTransfers, t.ID) {
			continue
		}
		next, err := l.ApplyTransfer(p.Section.Zone, t)
		if err != nil {
			continue
		}
		l = next
		p.appliedTransfers = append(p.appliedTransfers, t.ID)
	}
	return l
}

// reclaimSections ends those of the planned sections that have not changed since they
// were observed.
func (p *Plan) reclaimSections(l biller.Ledger) (biller.Ledger, error) {
	for _, observed := range p.Reclaim {
		section, ok := l.Section(observed.Zone)
		if !ok || section.Operation != observed.Operation || section.Epoch != observed.Epoch {
			continue
		}
		next, err := l.Reclaim(observed.Zone)
		if err != nil {
			return l, err
		}
		l = next
	}
	return l, nil
}

// limitToGrant limits the amounts to the zone's grants.
func limitToGrant(l *biller.Ledger, zone contractor.Zone, changes []biller.BudgetAmount) []biller.BudgetAmount {
	limited := slices.Clone(changes)
	for i := range limited {
		limited[i].Amount = min(limited[i].Amount, max(0, l.Grant(zone, limited[i].Budget)))
	}
	return limited
}

// Empty reports whether the write would change nothing in a ledger but the section's
// operation.
func (p *Plan) Empty(l *biller.Ledger) bool {
	if len(p.Lines)+len(p.Returns)+len(p.Transfers)+len(p.Reclaim) > 0 || p.Close {
		return false
	}
	if p.Section.Resolved && len(l.UnseenTransfers(p.Section.Zone)) > 0 {
		return false
	}
	section, _ := l.Section(p.Section.Zone)
	if section.Unwitnessed != p.Section.Unwitnessed || (p.Section.Resolved && !p.alreadyResolved) {
		return false
	}
	return len(grantsFor(l, p.Needs, p.maxGrantFraction)) == 0
}

// Acknowledgement tells an entry which of its settlements the ledger contains.
type Acknowledgement struct {
	Entry reserver.DaemonID
	IDs   []uint64
}

// Flushed updates the keeper after a write that has taken effect. started is the time
// before the write, now the time after it.
func (a *Allocator) Flushed(started, now time.Time, p *Plan, l *biller.Ledger, revision contractor.Revision) []Acknowledgement {
	s := a.shard(p.Account)
	defer s.mu.Unlock()
	acc, ok := s.accounts[p.Account]
	if !ok || acc.plan != p {
		return nil
	}
	acc.plan = nil
	acc.resolved = acc.resolved || p.Section.Resolved
	if p.Close {
		delete(s.accounts, p.Account)
	}
	acc.adopt(a.config.Zone, l)
	acc.revision = max(acc.revision, revision)
	acc.writtenAt, acc.flushedAt = started, started
	for _, id := range p.appliedTransfers {
		acc.endTransfer(id)
	}
	acc.endReturns(now)
	acc.observeSections(now, l)
	return acc.acknowledge(now, p.settled)
}

// acknowledge forgets settlements that the ledger contains.
func (a *account) acknowledge(now time.Time, settled []*reservation) []Acknowledgement {
	var acks []Acknowledgement
	index := make(map[reserver.DaemonID]int)
	for _, r := range settled {
		if !r.late {
			a.budget(r.record.Budget).unflushed -= r.record.Used
		}
		a.forget(r)
		if r.unconfirmed {
			a.noteUnconfirmed(now, r)
			continue
		}
		entry := r.record.Ref.Entry
		i, ok := index[entry]
		if !ok {
			i = len(acks)
			index[entry] = i
			acks = append(acks, Acknowledgement{Entry: entry})
		}
		acks[i].IDs = append(acks[i].IDs, r.record.Ref.ID)
	}
	a.settled = slices.Clone(a.settled[len(settled):])
	return acks
}

// noteUnconfirmed remembers an unconfirmed line, because its entry can still report
// that nothing was used. With a key that the caller chose, the request may have been
// executed elsewhere; then the line stays until an actual use replaces it.
func (a *account) noteUnconfirmed(now time.Time, r *reservation) {
	if !r.record.KeyFromCaller {
		a.unconfirmed[r.record.Ref] = now
	}
}

// endReturns frees what the write did not return, and notes which budgets have no free
// balance in the ledger.
func (a *account) endReturns(now time.Time) {
	for i := range a.budgets {
		b := &a.budgets[i]
		b.returning = 0
		b.ledgerExhaustedNanos = 0
		if b.ledgerFree <= 0 {
			b.ledgerExhaustedNanos = now.UnixNano()
		}
	}
}

// Abandon ends a write that certainly took no effect. When the ledger was read and
// nothing had to be written, l is that ledger and revision its revision.
func (a *Allocator) Abandon(now time.Time, p *Plan, l *biller.Ledger, revision contractor.Revision) {
	s := a.shard(p.Account)
	defer s.mu.Unlock()
	acc, ok := s.accounts[p.Account]
	if !ok || acc.plan != p {
		return
	}
	acc.plan = nil
	if l != nil {
		acc.readFreeBalances(a.config.Zone, l)
		acc.endReturns(now)
		acc.revision = max(acc.revision, revision)
	}
	for i := range acc.budgets {
		acc.budgets[i].returning = 0
	}
}

// Replaced ends the keeper's duty for an account, unless it has a later epoch by now.
// Its state is kept for its successor. It reports whether the daemon was the keeper.
func (a *Allocator) Replaced(now time.Time, name contractor.Account, epoch contractor.Epoch) bool {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	if !ok || acc.section.Epoch > epoch {
		return false
	}
	s.stepDown(now, acc)
	return true
}

// observeSections notes since when the sections of other zones have been unchanged.
func (a *account) observeSections(now time.Time, l *biller.Ledger) {
	for _, section := range l.Sections {
		if section.Zone == a.section.Zone || section.VM == "" {
			delete(a.otherSections, section.Zone)
			continue
		}
		old, ok := a.otherSections[section.Zone]
		if ok && old.operation == section.Operation && old.epoch == section.Epoch {
			continue
		}
		a.otherSections[section.Zone] = observedSection{section.Operation, section.Epoch, now}
	}
}

// reclaimable returns the sections of other zones whose grants nobody can use any more.
func (a *Allocator) reclaimable(now time.Time, acc *account) []biller.Section {
	limit := a.withDrift(a.config.Term) + a.withDrift(a.config.DispatchWindow+a.config.LongestRequest)
	var sections []biller.Section
	for zone, observed := range acc.otherSections {
		if now.Sub(observed.since) > limit {
			sections = append(sections, biller.Section{Zone: zone, Operation: observed.operation, Epoch: observed.epoch})
		}
	}
	return sections
}

// MarkStarted notes that the plan is being written. The time of the first attempt
// counts, because any attempt may turn out to have taken effect.
func (p *Plan) MarkStarted(now time.Time) {
	if p.started.IsZero() {
		p.started = now
	}
}

// MarkUncertain notes that an attempt may have taken effect.
func (p *Plan) MarkUncertain() { p.uncertain = true }

// Uncertain reports whether an attempt may have taken effect.
func (p *Plan) Uncertain() bool { return p.uncertain }

// Started returns the time before the first attempt.
func (p *Plan) Started() time.Time { return p.started }

// NeedsKeyLookup reports whether a line's request key may be billed already.
func (p *Plan) NeedsKeyLookup() bool {
	return p.Recheck || slices.ContainsFunc(p.Lines, func(l biller.Line) bool { return l.KeyFromCaller || l.Unconfirmed })
}

// RenewalDue reports whether a write has to renew the term of an account's grants.
func (a *Allocator) RenewalDue(now time.Time, name contractor.Account) bool {
	s := a.shard(name)
	defer s.mu.Unlock()
	acc, ok := s.accounts[name]
	return ok && now.Sub(acc.writtenAt) >= a.config.Term/writesPerTerm
}

// KeyRetention returns how long request keys are remembered.
func (a *Allocator) KeyRetention() time.Duration { return a.config.KeyRetention }
