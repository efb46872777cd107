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

// maxRelays is the number of relays in the list: one and those that are tried after it.
const maxRelays = 3

// Relays returns the addresses of the daemons that make store calls for the others, the same
// on every daemon that knows the same members. Those with the most link bandwidth come first,
// because callers' prompts fill a slow link. A small fleet has no relays: it makes few calls,
// and after a partition a relay is one more daemon that has to notice its end.
func (a *Apportioner) Relays() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := a.state.pool.Members
	if len(members) <= smallFleetSize {
		return nil
	}
	ranked := rankMembers(relayRank, members)
	slices.SortStableFunc(ranked, func(x, y string) int { return cmp.Compare(members[y].LinkBandwidth, members[x].LinkBandwidth) })
	var relays []netip.AddrPort
	for _, vm := range ranked[:min(len(ranked), maxRelays)] {
		if address, err := netip.ParseAddrPort(members[vm].Address); err == nil {
			relays = append(relays, address)
		}
	}
	return relays
}

// relayRank is the key for the order of the members as relays.
const relayRank = "relay"

// removeSilentMembers removes daemons from the pool that have made no round for memberTimeout.
// One daemon does so for each of them, because in a large fleet simultaneous attempts conflict.
func (a *Apportioner) removeSilentMembers(ctx context.Context) error {
	for _, name := range a.silentMembersToRemove() {
		if err := a.removeMember(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// silentMembersToRemove returns the silent daemons that this one removes: those for which it is
// the first daemon that is not silent in the order of members for their name.
func (a *Apportioner) silentMembersToRemove() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	names := silentMembers(a.state.memberRounds, a.config.Now(), a.scaleToFleet(memberTimeout))
	names = slices.DeleteFunc(names, func(name string) bool { return name == a.config.Name })
	return slices.DeleteFunc(names, func(name string) bool {
		for _, vm := range rankMembers(name, a.state.pool.Members) {
			if !slices.Contains(names, vm) {
				return vm != a.config.Name
			}
		}
		return true
	})
}

// removeMember removes one daemon from the pool. It reads the pool first, because the copy of
// the round may be some seconds old.
func (a *Apportioner) removeMember(ctx context.Context, name string) error {
	if err := a.reload(ctx); err != nil {
		return err
	}
	if a.poolIsOutdated() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := a.config.Store.Get(ctx, rowPrefix+name)
	if err != nil {
		return err
	}
	theirRow, err := decode[row](entry.Key, entry.Value)
	if err != nil {
		return err
	}
	a.mu.Lock()
	p := a.state.pool.clone()
	revision := a.state.poolRevision
	a.mu.Unlock()
	theirRow = theirRow.clone()
	p.removeMember(name, &theirRow)
	encodedPool, err := cbor.Marshal(p)
	if err != nil {
		return fmt.Errorf("encode pool: %w", err)
	}
	encodedRow, err := cbor.Marshal(theirRow)
	if err != nil {
		return fmt.Errorf("encode row: %w", err)
	}
	_, err = a.config.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{{Key: poolKey, Revision: revision}, {Key: rowPrefix + name, Revision: entry.Revision}},
		Puts:     []persister.Put{{Key: poolKey, Value: encodedPool}, {Key: rowPrefix + name, Value: encodedRow}},
	})
	if err != nil && !errors.Is(err, persister.ErrConflict) {
		return err
	}
	return a.reload(ctx)
}

// poolIsOutdated reports whether the pool is that of a copy from which the store was restored.
func (a *Apportioner) poolIsOutdated() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.pool.Era < a.state.storeEra
}

// reload reads the row and the pool from the store.
func (a *Apportioner) reload(ctx context.Context) error {
	a.mu.Lock()
	a.state.current = false
	a.mu.Unlock()
	return a.refresh(ctx)
}
