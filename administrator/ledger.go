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

// TopUpRequest raises the prepaid amount of a budget, once per ID.
type TopUpRequest struct {
	// ID identifies the top-up. If it is empty, the Idempotency-Key is used.
	ID     biller.TopUpID    `json:"id,omitempty"`
	Tokens contractor.Tokens `json:"tokens"`
}

// ReleaseRequest moves a part of a budget's unaccounted amount to its free balance.
type ReleaseRequest struct {
	Tokens contractor.Tokens `json:"tokens"`
	// Force releases the amount even if a zone has not written its section of the
	// ledger since the amount became unaccounted. It is meant for zones that will
	// never return.
	Force bool `json:"force,omitempty"`
}

// ReleaseResult is the response to a ReleaseRequest.
type ReleaseResult struct {
	Balance   Balance `json:"balance"`
	Operation string  `json:"operation"`
	Repeated  bool    `json:"repeated,omitempty"`
}

func (a *Administrator) topUp(ctx context.Context, r *request) (response, error) {
	t, err := decode[TopUpRequest](r)
	if err != nil {
		return response{}, err
	}
	if t.ID == "" {
		t.ID = biller.TopUpID(r.operation)
	}
	if !contractor.ValidName(string(t.ID)) {
		return response{}, contractor.FieldErrors{{Field: "id", Value: string(t.ID), Allowed: "1 to 64 characters of a-z, 0-9, '-', '.' and '_'"}}
	}
	if t.Tokens <= 0 || t.Tokens > contractor.MaxPrepaid {
		return response{}, contractor.FieldErrors{{Field: "tokens", Value: fmt.Sprint(t.Tokens), Allowed: fmt.Sprintf("1 to %d", contractor.MaxPrepaid)}}
	}
	account := contractor.Account(r.parameter("account"))
	budget := contractor.BudgetName(r.parameter("budget"))
	receipt, err := biller.TopUp(ctx, a.config.Store, account, budget, t.ID, t.Tokens)
	if err != nil {
		return response{}, err
	}
	if !receipt.Repeated {
		a.config.Recorder.Event(recorder.BudgetToppedUp, "operator", r.operator.Name, "account", account,
			"budget", budget, "tokens", int64(t.Tokens), "id", string(t.ID))
	}
	return response{body: receipt}, nil
}

// release frees an unaccounted amount. The transaction has a marker, so a request that
// is sent twice releases the amount once.
func (a *Administrator) release(ctx context.Context, r *request) (response, error) {
	release, err := decode[ReleaseRequest](r)
	if err != nil {
		return response{}, err
	}
	account := contractor.Account(r.parameter("account"))
	budget := contractor.BudgetName(r.parameter("budget"))
	s := subject{budgetSection, string(account) + "/" + string(budget)}
	for range maxCommitAttempts {
		earlier, err := a.findRepeated(ctx, r, s)
		if err != nil {
			return response{}, err
		}
		ledger, revision, err := biller.LoadLedger(ctx, a.config.Store, account)
		if err != nil {
			return response{}, err
		}
		if earlier != nil {
			return releaseResponse(&ledger, budget, earlier.Operation, true)
		}
		err = a.writeRelease(ctx, r, s, &ledger, revision, budget, *release)
		if err == nil {
			return releaseResponse(&ledger, budget, r.operation, false)
		}
		if !errors.Is(err, persister.ErrConflict) {
			return response{}, err
		}
		a.config.Recorder.CountRetry("admin_conflict")
	}
	return response{}, persister.ErrConflict
}

// writeRelease commits the release and sets *ledger to the new state.
func (a *Administrator) writeRelease(ctx context.Context, r *request, s subject, ledger *biller.Ledger, revision contractor.Revision, budget contractor.BudgetName, release ReleaseRequest) error {
	releaseFunc := ledger.ReleaseUnaccounted
	if release.Force {
		releaseFunc = ledger.ForceRelease
	}
	next, err := releaseFunc(budget, release.Tokens)
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
	e := a.newEntry(r, "release", revision, fmt.Sprintf("%d wanted.Tokens of budget %s", release.Tokens, budget))
	if _, err := a.commit(ctx, s, e, txn); err != nil {
		return err
	}
	*ledger = next
	return nil
}

func releaseResponse(l *biller.Ledger, budget contractor.BudgetName, operation string, repeated bool) (response, error) {
	for _, b := range balances(l) {
		if b.Budget == budget {
			return response{body: ReleaseResult{Balance: b, Operation: operation, Repeated: repeated}}, nil
		}
	}
	return response{}, notFound("account %q has no budget %q", l.Account, budget)
}

// BillLine is one line of a Bill: the charge of one request.
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

func (a *Administrator) exportBills(ctx context.Context, r *request) (response, error) {
	bill := Bill{Account: contractor.Account(r.parameter("account")), To: time.Now().UTC()}
	for name, limit := range map[string]*time.Time{"from": &bill.From, "to": &bill.To} {
		text := r.URL.Query().Get(name)
		if text == "" {
			continue
		}
		parsed, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return response{}, contractor.FieldErrors{{Field: name, Value: text, Allowed: "a time such as 2026-01-31T00:00:00Z"}}
		}
		*limit = parsed
	}
	lines, err := biller.ReadLines(ctx, a.config.Store, bill.Account, bill.From, bill.To)
	if err != nil {
		return response{}, err
	}
	bill.Lines = make([]BillLine, 0, len(lines))
	for i := range lines {
		bill.Lines = append(bill.Lines, billLine(&lines[i]))
		bill.Tokens += lines[i].Tokens
	}
	if r.URL.Query().Get("format") == "csv" {
		return response{write: bill.writeCSV}, nil
	}
	return response{body: bill}, nil
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
