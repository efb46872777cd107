package apportioner

import (
	"context"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/persister"
)

// forgetSilent takes daemons out of the pool that have made no round for long.
func (a *Apportioner) forgetSilent(ctx context.Context) error {
	a.mu.Lock()
	names := silent(a.rounds.members, a.config.Now())
	a.mu.Unlock()
	for _, name := range names {
		if name == a.config.Name {
			continue
		}
		if err := a.forget(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

func (a *Apportioner) forget(ctx context.Context, name string) error {
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
	a.mu.Lock()
	a.rounds.known = false
	a.mu.Unlock()
	_, err = a.config.Store.Commit(ctx, persister.Txn{
		Compares: []persister.Compare{{Key: poolKey, Revision: revision}, {Key: rowPrefix + name, Revision: entry.Revision}},
		Puts:     []persister.Put{{Key: poolKey, Value: shared}, {Key: rowPrefix + name, Value: own}},
	})
	if err != nil && !errors.Is(err, persister.ErrConflict) {
		return err
	}
	return a.refresh(ctx)
}
