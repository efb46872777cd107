package administrator

import (
	"context"
	"encoding/csv"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/persister"
	"laburnumline/recorder"
)

const budgetSection = "budget"

// TopUp asks for a budget's balance to be raised, once by id.
type TopUp struct {
	// ID names the top-up. Empty means the Idempotency-Key.
	ID     biller.TopUpID    `json:"id,omitempty"`
	Tokens contractor.Tokens `json:"tokens"`
}

// Release asks for a part of a budget's unaccounted total to be free again.
type Release struct {
	Tokens contractor.Tokens `json:"tokens"`
	// Force releases although a zone has not written its section since. It is
	// meant for zones that are gone for good.
	Force bool `json:"force,omitempty"`
}

// Released is the outcome of a Release.
type Released struct {
	Balance   Balance `json:"balance"`
	Operation string  `json:"operation"`
	Repeated  bool    `json:"repeated,omitempty"`
}

func (a *Administrator) topUp(ctx context.Context, r *request) (reply, error) {
	t, err := decode[TopUp](r)
	if err != nil {
		return reply{}, err
	}
	if t.ID == "" {
		t.ID = biller.TopUpID(r.operation)
	}
	if !contractor.ValidName(string(t.ID)) {
		return reply{}, contractor.FieldErrors{{Field: "id", Value: string(t.ID), Allowed: "1 to 64 characters of a-z, 0-9, '-', '.' and '_'"}}
	}
	if t.Tokens <= 0 || t.Tokens > contractor.MaxPrepaid {
		return reply{}, contractor.FieldErrors{{Field: "tokens", Value: fmt.Sprint(t.Tokens), Allowed: fmt.Sprintf("1 to %d", contractor.MaxPrepaid)}}
	}
	account := contractor.Account(r.parameter("account"))
	budget := contractor.BudgetName(r.parameter("budget"))
	receipt, err := biller.TopUp(ctx, a.config.Store, account, budget, t.ID, t.Tokens)
	if err != nil {
		return reply{}, err
	}
	if !receipt.Repeated {
		a.config.Recorder.Event(recorder.BudgetToppedUp, "operator", r.operator.Name, "account", account,
			"budget", budget, "tokens", int64(t.Tokens), "id", string(t.ID))
	}
	return reply{body: receipt}, nil
}

// release frees an unaccounted amount in a marked transaction, so that a
// request which is sent twice releases once.
func (a *Administrator) release(ctx context.Context, r *request) (reply, error) {
	wanted, err := decode[Release](r)
	if err != nil {
		return reply{}, err
	}
	account := contractor.Account(r.parameter("account"))
	budget := contractor.BudgetName(r.parameter("budget"))
	s := subject{budgetSection, string(account) + "/" + string(budget)}
	for range commitTries {
		earlier, err := a.repeated(ctx, r, s)
		if err != nil {
			return reply{}, err
		}
		ledger, revision, err := biller.LoadLedger(ctx, a.config.Store, account)
		if err != nil {
			return reply{}, err
		}
		if earlier != nil {
			return released(&ledger, budget, earlier.Operation, true)
		}
		err = a.writeRelease(ctx, r, s, &ledger, revision, budget, *wanted)
		if err == nil {
			return released(&ledger, budget, r.operation, false)
		}
		if !errors.Is(err, persister.ErrConflict) {
			return reply{}, err
		}
		a.config.Recorder.CountRetry("admin_conflict")
	}
	return reply{}, persister.ErrConflict
}

// writeRelease commits the release and replaces the ledger by its next state.
func (a *Administrator) writeRelease(ctx context.Context, r *request, s subject, ledger *biller.Ledger, revision contractor.Revision, budget contractor.BudgetName, wanted Release) error {
	free := ledger.ReleaseUnaccounted
	if wanted.Force {
		free = ledger.ForceRelease
	}
	next, err := free(budget, wanted.Tokens)
	if err != nil {
		return err
	}
	value, err := biller.EncodeLedger(&next)
	if err != nil {
		return fmt.Errorf("encode ledger: %w", err)
	}
	key := biller.LedgerKey(next.Account)
	txn := persister.Txn{
		Compares: []persister.Compare{{Key: key, Revision: revision}},
		Puts:     []persister.Put{{Key: key, Value: value}},
	}
	e := a.entry(r, "release", revision, fmt.Sprintf("%d wanted.Tokens of budget %s", wanted.Tokens, budget))
	if _, err := a.commit(ctx, s, e, txn); err != nil {
		return err
	}
	*ledger = next
	return nil
}

func released(l *biller.Ledger, budget contractor.BudgetName, operation string, repeated bool) (reply, error) {
	for _, b := range balances(l) {
		if b.Budget == budget {
			return reply{body: Released{Balance: b, Operation: operation, Repeated: repeated}}, nil
		}
	}
	return reply{}, notFound("account %q has no budget %q", l.Account, budget)
}

// BillLine is one line of an exported bill.
type BillLine struct {
	Request  string                `json:"request"`
	Budget   contractor.BudgetName `json:"budget"`
	Tokens   contractor.Tokens     `json:"tokens"`
	At       time.Time             `json:"at"`
	Zone     contractor.Zone       `json:"zone"`
	VM       contractor.VM         `json:"vm"`
	State    string                `json:"state"`
	Refund   contractor.Tokens     `json:"refund,omitempty"`
	Absorbed contractor.Tokens     `json:"absorbed,omitempty"`
}

// Bill is the exported bill of an account for a period.
type Bill struct {
	Account contractor.Account `json:"account"`
	From    time.Time          `json:"from"`
	To      time.Time          `json:"to"`
	Lines   []BillLine         `json:"lines"`
	Tokens  contractor.Tokens  `json:"tokens"`
}

func (a *Administrator) exportBills(ctx context.Context, r *request) (reply, error) {
	bill := Bill{Account: contractor.Account(r.parameter("account")), To: time.Now().UTC()}
	for name, at := range map[string]*time.Time{"from": &bill.From, "to": &bill.To} {
		given := r.URL.Query().Get(name)
		if given == "" {
			continue
		}
		parsed, err := time.Parse(time.RFC3339, given)
		if err != nil {
			return reply{}, contractor.FieldErrors{{Field: name, Value: given, Allowed: "a time such as 2026-01-31T00:00:00Z"}}
		}
		*at = parsed
	}
	lines, err := biller.ReadLines(ctx, a.config.Store, bill.Account, bill.From, bill.To)
	if err != nil {
		return reply{}, err
	}
	bill.Lines = make([]BillLine, 0, len(lines))
	for i := range lines {
		bill.Lines = append(bill.Lines, billLine(&lines[i]))
		bill.Tokens += lines[i].Tokens
	}
	if r.URL.Query().Get("format") == "csv" {
		return reply{write: bill.writeCSV}, nil
	}
	return reply{body: bill}, nil
}

func billLine(l *biller.Line) BillLine {
	state := "confirmed"
	if l.Unconfirmed {
		state = "unconfirmed"
	}
	return BillLine{
		Request:  l.Key.String(),
		Budget:   l.Budget,
		Tokens:   l.Tokens,
		At:       l.At.UTC(),
		Zone:     l.Zone,
		VM:       l.Entry,
		State:    state,
		Refund:   l.Refund,
		Absorbed: l.Absorbed,
	}
}

func (b *Bill) writeCSV(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/csv")
	out := csv.NewWriter(w)
	_ = out.Write([]string{"request", "budget", "tokens", "at", "zone", "vm", "state", "refund", "absorbed"})
	for _, l := range b.Lines {
		_ = out.Write([]string{
			l.Request, string(l.Budget), strconv.FormatInt(int64(l.Tokens), 10), l.At.Format(time.RFC3339Nano),
			string(l.Zone), string(l.VM), l.State,
			strconv.FormatInt(int64(l.Refund), 10), strconv.FormatInt(int64(l.Absorbed), 10),
		})
	}
	out.Flush()
}
