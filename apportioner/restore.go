package apportioner

import (
	"maps"
	"math"
	"slices"
	"time"

	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
)

// A store that is restored from an older copy begins a new era. The rows and the pool of the copy
// are consistent with each other, but they lack what was granted, returned and spent since. The
// daemons that were running know it: their grants together never exceeded what was prepaid. In a new
// era each daemon therefore confirms its row: it writes what it holds over what the copy says, and
// changes the sums of the pool by the difference.
//
// As long as a daemon has not confirmed its row, it may hold any part of what the copy shows as
// unallocated. That part is withheld from all others. When a daemon confirms more than its row in
// the copy, the difference was a part of what is withheld, so granted plus withheld stays as it was.
// The rest is released when the last daemon that is known has confirmed, and some time for those
// that are not known has passed. A daemon that died after the copy never confirms, nor does one whose orderly
// departure the copy lacks: what it has spent is known to nobody. An
// incarnation that starts from a row of an earlier era counts all of it as spent.

// eraStore is a store that tells the era that it has seen last.
type eraStore interface {
	Era() int64
}

// storeEra returns the era of entries that were just read.
func (a *Apportioner) storeEra(entries []persister.Entry) int64 {
	era := a.state.storeEra
	if s, ok := a.config.Store.(eraStore); ok {
		era = max(era, s.Era())
	}
	for _, e := range entries {
		era = max(era, persister.EraOf(e.Revision))
	}
	return era
}

// observeEra records the era of entries that are about to replace the known row and pool. The lock
// is held.
func (a *Apportioner) observeEra(entries []persister.Entry) {
	state, era := &a.state, a.storeEra(entries)
	if era == state.storeEra {
		return
	}
	state.storeEra, state.storeEraSince = era, a.config.Now()
	a.rememberPool()
	for id, d := range state.departures {
		a.rememberLineage(id.key(), d.number)
		d.number = math.MaxInt64 // later copies have other numbers
		state.departures[id] = d
	}
	if !state.joined && state.row.Incarnation != 0 {
		a.rememberLineage(lineageID{a.config.Name, state.row.Lineage}.key(), math.MaxInt64) // read before the restore
	}
}

// rememberPool records the lineages that the known pool shows, of an era that has ended. The lock is held.
func (a *Apportioner) rememberPool() {
	for vm, m := range a.state.pool.Members {
		a.rememberLineage(lineageID{vm, m.Lineage}.key(), math.MaxInt64)
	}
	for key := range a.state.pool.Unconfirmed {
		a.rememberLineage(key, math.MaxInt64)
	}
}

// ofEarlierEra reports whether an entry was read before the store was restored.
func (a *Apportioner) ofEarlierEra(r contractor.Revision) bool {
	return r != 0 && persister.EraOf(r) < a.state.storeEra
}

// rememberLineage records a lineage of an earlier era. The number is that of the pool's revision from which on it shows that
// the lineage has left. The lock is held.
func (a *Apportioner) rememberLineage(key string, number int64) {
	if a.state.earlierLineages == nil {
		a.state.earlierLineages = make(map[string]int64)
	}
	a.state.earlierLineages[key] = max(a.state.earlierLineages[key], number)
}

// departureRetention is how long a daemon remembers others that have left. Copies from which a store is restored are
// some seconds old.
const departureRetention = time.Minute

// departure records that a daemon has left the pool. The number is that of the pool's revision in which it was first seen to have.
type departure struct {
	seenAt time.Time
	number int64
}

// trackDepartures records which lineages have left since the previous pool. The pool of a copy may lack members that have
// not left. The lock is held.
func (a *Apportioner) trackDepartures(previous map[string]member, previousRevision contractor.Revision) {
	state, now := &a.state, a.config.Now()
	maps.DeleteFunc(state.departures, func(id lineageID, d departure) bool {
		return state.pool.hasMember(id) || now.Sub(d.seenAt) > departureRetention
	})
	if persister.EraOf(previousRevision) != persister.EraOf(state.poolRevision) {
		return
	}
	for vm, m := range previous {
		if id := (lineageID{vm, m.Lineage}); !state.pool.hasMember(id) {
			state.departures[id] = departure{seenAt: now, number: persister.NumberOf(state.poolRevision)}
		}
	}
}

// unconfirmed reports whether this daemon has yet to write its row in the current era. The lock is
// held.
func (a *Apportioner) unconfirmed() bool { return a.state.joined && a.state.era < a.state.storeEra }

// planConfirmation plans the row as this daemon knows it, with the grants and limits it has.
func (a *Apportioner) planConfirmation(p *proposal) {
	state := &a.state
	p.rebalances, p.confirms = true, true
	p.pool = state.pool.clone()
	settled := p.pool.Era == state.storeEra && p.pool.Settled // without this daemon
	a.updateEra(&p.pool)
	a.planMembership(p)
	if since, ok := p.pool.Unconfirmed[a.config.Name]; ok && state.era < since && !state.predecessorLost {
		delete(p.pool.Unconfirmed, a.config.Name)
	}
	p.row.Incarnation, p.row.Lineage, p.row.Era = a.config.Incarnation, state.lineage, state.storeEra
	for name, s := range a.accounts {
		h := p.row.Accounts[name]
		h.Granted, h.Limits, h.Spent = s.granted, s.limits, s.spent
		p.pool.confirm(&p.row, name, h, s.spent+s.reserved, a.prepaid[name], settled || p.pool.Settled)
	}
}

// updateEra makes the pool one of the current era, adds the lineages that may hold more than their
// rows in the copy say, and settles the pool when there are none. The lock is held.
func (a *Apportioner) updateEra(p *pool) {
	state := &a.state
	p.enterEra(state.storeEra, a.prepaid, persister.NumberOf(state.poolRevision))
	confirmed := p.confirmedKeys(len(state.earlierLineages))
	for key, number := range state.earlierLineages {
		if number > p.Copied && !confirmed[key] {
			p.addUnconfirmed(key)
		}
	}
	delete(p.Unconfirmed, a.ownLineage().key())
	if state.predecessorLost {
		p.addUnconfirmed(a.config.Name)
	}
	if len(p.Unconfirmed) == 0 && a.config.Now().Sub(state.storeEraSince) >= settleTime {
		p.Settled = true
	}
}

// addUnconfirmed adds a lineage, unless it is known to be unconfirmed since an earlier era. If the pool had been settled
// without it, all that is unallocated is withheld again.
func (p *pool) addUnconfirmed(key string) {
	if _, ok := p.Unconfirmed[key]; ok {
		return
	}
	p.Unconfirmed[key] = p.Era
	if p.Settled {
		p.Settled = false
		p.withholdUnallocated()
	}
}

// withholdUnallocated withholds all that is not allocated.
func (p *pool) withholdUnallocated() {
	for name, s := range p.Accounts {
		s.Withheld = s.Prepaid - s.Granted
		p.Accounts[name] = s
	}
}

// enterEra withholds all that is not allocated. It does nothing if the pool is of that era already. copied is the
// number of the pool's revision in the copy.
func (p *pool) enterEra(era int64, prepaid map[contractor.Account]contractor.Tokens, copied int64) {
	if p.Era >= era {
		return
	}
	p.Era, p.Settled, p.Copied = era, false, copied
	for vm, m := range p.Members {
		p.addUnconfirmed(lineageID{vm, m.Lineage}.key())
	}
	for name := range prepaid {
		if _, ok := p.Accounts[name]; !ok {
			p.Accounts[name] = sums{} // a new account may have been granted since the copy
		}
	}
	for name, s := range p.Accounts {
		s.Prepaid = max(s.Prepaid, prepaid[name])
		p.Accounts[name] = s
	}
	p.withholdUnallocated()
}

// confirm replaces a holding of the copy by what its daemon holds. An account may have been topped
// up since the copy, and the others may not know it yet: that is withheld, too. If the pool was
// settled before, the daemon keeps no more than is unallocated, but at least what is committed: spent or
// reserved.
func (p *pool) confirm(r *row, name contractor.Account, h holding, committed, prepaid contractor.Tokens, settled bool) {
	s, copied := p.Accounts[name], r.Accounts[name].Granted
	if prepaid > s.Prepaid {
		s.Withheld += prepaid - s.Prepaid
		s.Prepaid = prepaid
	}
	if excess := s.Granted + h.Granted - copied - s.Prepaid; settled && excess > 0 {
		h.Granted = max(h.Granted-excess, min(committed, h.Granted))
	}
	s.Withheld -= h.Granted - copied
	p.Accounts[name] = s
	p.apply(r, name, h)
}

// withheld returns the tokens of an account that daemons without a confirmed row may hold.
func (p *pool) withheld(name contractor.Account) contractor.Tokens {
	if p.Settled {
		return 0
	}
	return p.Accounts[name].Withheld
}

// recordConfirmation ends the confirmation after its acknowledged write. The lock is held.
func (a *Apportioner) recordConfirmation() {
	state := &a.state
	state.era, state.earlierLineages = state.row.Era, nil
	a.config.Recorder.Event(recorder.SharesConfirmed, "vm", a.config.Name, "era", state.era, "unconfirmed", len(state.pool.Unconfirmed))
}

// mergeEra applies the change from base to mine of what is unconfirmed. The members are
// merged afterwards.
func (p *pool) mergeEra(base, mine *pool) {
	added := slices.DeleteFunc(slices.Collect(maps.Keys(mine.Unconfirmed)), func(key string) bool {
		_, ok := base.Unconfirmed[key]
		return ok
	})
	confirmed := p.confirmedKeys(len(added))
	for _, key := range added {
		if !confirmed[key] {
			p.addUnconfirmed(key)
		}
	}
	for key := range base.Unconfirmed {
		if _, ok := mine.Unconfirmed[key]; !ok {
			delete(p.Unconfirmed, key)
		}
	}
	p.Settled = (p.Settled || mine.Settled) && len(p.Unconfirmed) == 0
}
