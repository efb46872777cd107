package biller

import (
	"time"

	"laburnumline/contractor"
)

// Window indexes the lines of recent pages by request key. It contains only the keys
// that may be settled again: those derived from a caller's idempotency key, and those of
// unconfirmed lines and their replacements. The zero value is empty.
type Window struct {
	// LastPage is the number of the last page that was added.
	LastPage uint64
	lines    map[contractor.RequestKey]windowLine
	// pages are the pages with indexed lines, in the order of their numbers.
	pages []windowPage
}

type windowLine struct {
	page        uint64
	budget      contractor.BudgetName
	tokens      contractor.Tokens
	unconfirmed bool
}

type windowPage struct {
	number uint64
	at     time.Time
	keys   []contractor.RequestKey
}

// Add indexes pages in the order of their numbers. It ignores pages up to LastPage.
func (w *Window) Add(pages ...Page) {
	if w.lines == nil {
		w.lines = make(map[contractor.RequestKey]windowLine)
	}
	for _, p := range pages {
		if p.Number <= w.LastPage {
			continue
		}
		w.LastPage = p.Number
		added := windowPage{number: p.Number, at: p.At}
		for _, line := range p.Lines {
			if !line.KeyFromCaller && !line.Unconfirmed && !line.Replaces {
				continue
			}
			added.keys = append(added.keys, line.Key)
			w.lines[line.Key] = windowLine{p.Number, line.Budget, line.Tokens, line.Unconfirmed}
		}
		if len(added.keys) > 0 {
			w.pages = append(w.pages, added)
		}
	}
}

// Forget removes the pages written before a time.
func (w *Window) Forget(before time.Time) {
	n := 0
	for n < len(w.pages) && w.pages[n].at.Before(before) {
		for _, k := range w.pages[n].keys {
			if w.lines[k].page == w.pages[n].number {
				delete(w.lines, k)
			}
		}
		n++
	}
	w.pages = append([]windowPage(nil), w.pages[n:]...)
}

// Len returns the number of indexed keys.
func (w *Window) Len() int { return len(w.lines) }

// Lookup returns the indexed line of a key. It is a LineLookup.
func (w *Window) Lookup(key contractor.RequestKey) (Line, bool) {
	l, ok := w.lines[key]
	if !ok {
		return Line{}, false
	}
	return Line{Key: key, Budget: l.budget, Tokens: l.tokens, Unconfirmed: l.unconfirmed}, true
}
