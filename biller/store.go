package biller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"laburnumline/contractor"
	"laburnumline/persister"
)

const (
	// maxAttempts is the maximum number of attempts to write a ledger when writes conflict.
	maxAttempts = 16
	// pagesPerRead is the maximum number of pages that one call to the store reads.
	pagesPerRead = 64
)

var encoding = mustEncoding()

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Page is one immutable page of an account's bill, written by one flush.
type Page struct {
	Account contractor.Account `cbor:"1,keyasint"`
	// Number counts the pages of the account from 1.
	Number    uint64           `cbor:"2,keyasint"`
	Zone      contractor.Zone  `cbor:"3,keyasint"`
	Epoch     contractor.Epoch `cbor:"4,keyasint"`
	Operation OperationID      `cbor:"5,keyasint"`
	// At is the time of the flush on the clock of the zone's keeper.
	At    time.Time `cbor:"6,keyasint"`
	Lines []Line    `cbor:"7,keyasint"`
}

// LedgerKey returns the key of an account's ledger in the store.
func LedgerKey(account contractor.Account) string { return "ledger/" + string(account) }

// PageKey returns the key of one page of an account's bill.
func PageKey(account contractor.Account, number uint64) string {
	return fmt.Sprintf("%s%016x", pagePrefix(account), number)
}

func pagePrefix(account contractor.Account) string { return "bill/" + string(account) + "/" }

// EncodeLedger returns a ledger as it is stored.
func EncodeLedger(l *Ledger) ([]byte, error) { return encoding.Marshal(l) }

// DecodeLedger decodes a stored ledger.
func DecodeLedger(value []byte) (Ledger, error) {
	var l Ledger
	err := cbor.Unmarshal(value, &l)
	return l, err
}

// EncodePage returns a page as it is stored.
func EncodePage(p *Page) ([]byte, error) { return encoding.Marshal(p) }

// DecodePage decodes a stored page.
func DecodePage(value []byte) (Page, error) {
	var p Page
	err := cbor.Unmarshal(value, &p)
	p.At = p.At.UTC()
	for i := range p.Lines {
		p.Lines[i].At = p.Lines[i].At.UTC()
	}
	return p, err
}

// LoadLedger reads the ledger of an account. It returns ErrNoLedger when there is none.
func LoadLedger(ctx context.Context, store persister.Store, account contractor.Account) (Ledger, contractor.Revision, error) {
	entry, err := store.Get(ctx, LedgerKey(account))
	if err != nil {
		return Ledger{}, 0, fmt.Errorf("read ledger of %q: %w", account, err)
	}
	if entry.Revision == 0 {
		return Ledger{}, 0, fmt.Errorf("read ledger of %q: %w", account, ErrNoLedger)
	}
	ledger, err := DecodeLedger(entry.Value)
	if err != nil {
		return Ledger{}, 0, fmt.Errorf("decode ledger of %q: %w", account, err)
	}
	return ledger, entry.Revision, nil
}

// ReadPages reads up to limit pages whose numbers are greater than after. A limit of
// zero means no limit.
func ReadPages(ctx context.Context, store persister.Store, account contractor.Account, after uint64, limit int) ([]Page, error) {
	var pages []Page
	lastKey := PageKey(account, after)
	for {
		batchLimit := pagesPerRead
		if limit > 0 {
			batchLimit = min(batchLimit, limit-len(pages))
		}
		result, err := store.Range(ctx, pagePrefix(account), lastKey, batchLimit)
		if err != nil {
			return nil, fmt.Errorf("read bill of %q: %w", account, err)
		}
		for _, e := range result.Entries {
			page, err := DecodePage(e.Value)
			if err != nil {
				return nil, fmt.Errorf("decode %s: %w", e.Key, err)
			}
			pages = append(pages, page)
			lastKey = e.Key
		}
		if !result.More || len(result.Entries) == 0 || (limit > 0 && len(pages) >= limit) {
			return pages, nil
		}
	}
}

// ReadLines returns the lines of an account's bill from from until before to, in the
// order of billing. It omits unconfirmed lines that were replaced by the actual use.
func ReadLines(ctx context.Context, store persister.Store, account contractor.Account, from, to time.Time) ([]Line, error) {
	pages, err := ReadPages(ctx, store, account, 0, 0)
	if err != nil {
		return nil, err
	}
	replaced := make(map[contractor.RequestKey]bool)
	for _, p := range pages {
		for _, line := range p.Lines {
			if line.Replaces {
				replaced[line.Key] = true
			}
		}
	}
	var lines []Line
	for _, p := range pages {
		for _, line := range p.Lines {
			outside := line.At.Before(from) || !line.At.Before(to)
			if outside || (line.Unconfirmed && replaced[line.Key]) {
				continue
			}
			lines = append(lines, line)
		}
	}
	return lines, nil
}

// OpenLedger creates the ledger of a contract's account or adds missing budgets to it.
func OpenLedger(ctx context.Context, store persister.Store, c *contractor.Contract) (Ledger, error) {
	return updateLedger(ctx, store, c.Account, "open ledger", func(l *Ledger) (Ledger, error) {
		next, _, err := l.AddBudgets(c)
		return next, err
	})
}

// ReleaseUnaccounted moves an unaccounted amount of a budget to its free balance.
func ReleaseUnaccounted(ctx context.Context, store persister.Store, account contractor.Account, budget contractor.BudgetName, amount contractor.Tokens) (Ledger, error) {
	return updateLedger(ctx, store, account, "release unaccounted", func(l *Ledger) (Ledger, error) {
		if l.Account == "" {
			return *l, ErrNoLedger
		}
		return l.ReleaseUnaccounted(budget, amount)
	})
}

// updateLedger changes a ledger by compare-and-swap and retries after conflicts. When it
// returns an unknown outcome, its caller may repeat it only with a change that has no
// effect the second time or that may safely fail.
func updateLedger(ctx context.Context, store persister.Store, account contractor.Account, step string, change func(l *Ledger) (Ledger, error)) (Ledger, error) {
	var lastErr error
	for range maxAttempts {
		ledger, revision, err := LoadLedger(ctx, store, account)
		if err != nil && !errors.Is(err, ErrNoLedger) {
			return Ledger{}, fmt.Errorf("%s: %w", step, err)
		}
		next, err := change(&ledger)
		if err != nil {
			return Ledger{}, fmt.Errorf("%s of %q: %w", step, account, err)
		}
		value, err := EncodeLedger(&next)
		if err != nil {
			return Ledger{}, fmt.Errorf("%s of %q: %w", step, account, err)
		}
		key := LedgerKey(account)
		_, lastErr = store.Commit(ctx, persister.Txn{
			Compares: []persister.Compare{{Key: key, Revision: revision}},
			Puts:     []persister.Put{{Key: key, Value: value}},
		})
		if lastErr == nil {
			return next, nil
		}
		if !errors.Is(lastErr, persister.ErrConflict) {
			break
		}
	}
	return Ledger{}, fmt.Errorf("%s of %q: %w", step, account, lastErr)
}
