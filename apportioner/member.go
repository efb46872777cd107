package apportioner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/persister"
)

// maxRelays is how many relays are named: one and those that are tried after it.
const maxRelays = 3

// Relays returns the addresses of the daemons that make calls for the others, the same on
// every daemon that knows the same members: first those with the widest links, because a
// narrow one is filled by callers' prompts. A small fleet has none: its calls are few, and
// after a cut a relay is one more that has to notice its end.
func (a *Apportioner) Relays() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := a.rounds.pool.Members
	if len(members) <= smallFleet {
		return nil
	}
	ranked := rank(relayRank, members)
	slices.SortStableFunc(ranked, func(x, y string) int { return cmp.Compare(members[y].Link, members[x].Link) })
	var relays []netip.AddrPort
	for _, vm := range ranked[:min(len(ranked), maxRelays)] {
		if address, err := netip.ParseAddrPort(members[vm].Address); err == nil {
			relays = append(relays, address)
		}
	}
	return relays
}

// relayRank orders the members as relays.
const relayRank = "relay"

// forgetSilent takes daemons out of the pool that have made no round for long. One daemon
// does so for each of them, so that a large fleet does not try at once.
func (a *Apportioner) forgetSilent(ctx context.Context) error {
	for _, name := range a.silentHere() {
		if err := a.forget(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// silentHere returns the silent daemons that this one takes out: it is the first that is
// not silent in their rank.
func (a *Apportioner) silentHere() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	names := silent(a.rounds.members, a.config.Now(), a.paced(memberTimeout))
	names = slices.DeleteFunc(names, func(name string) bool { return name == a.config.Name })
	return slices.DeleteFunc(names, func(name string) bool {
		for _, vm := range rank(name, a.rounds.pool.Members) {
			if !slices.Contains(names, vm) {
				return vm != a.config.Name
			}
		}
		return true
	})
}

// forget takes one daemon out, as of what the pool is now: the round's own copy may be
// some seconds old.
func (a *Apportioner) forget(ctx context.Context, name string) error {
	if err := a.reread(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := a.config.Store.Get(ctx, rowPrefix+name)
	if err != nil {
		return err
	}
	theirs, err := decode[row](entry.Key, entry.Value)
	if err != nil {
		return err
	}
	a.mu.Lock()
	p := a.rounds.pool.clone()
	revision := a.rounds.poolRevision
	a.mu.Unlock()
	theirs = theirs.clone()
	p.forget(name, &theirs)
	shared, err := cbor.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode pool: %w", err)
	}
	own, err := cbor.Marshal(theirs)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	_, err = a.config.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{{Key: poolKey, Revision: revision}, {Key: rowPrefix + name, Revision: entry.Revision}},
		Puts:     []persister.Put{{Key: poolKey, Value: shared}, {Key: rowPrefix + name, Value: own}},
	})
	if err != nil && !errors.Is(err, persister.ErrConflict) {
		return err
	}
	return a.reread(ctx)
}

// reread reads pool and row anew.
func (a *Apportioner) reread(ctx context.Context) error {
	a.mu.Lock()
	a.rounds.known = false
	a.mu.Unlock()
	return a.refresh(ctx)
}
