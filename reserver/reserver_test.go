package reserver

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/biller"
	"laburnumline/contractor"
	"laburnumline/refuser"
)

var (
	start  = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)
	budget = contractor.BudgetID{Account: "loft-7", Name: "quotes"}
	self   = Holder{VM: "vm-1", Incarnation: 1}
)

func reserve(t *testing.T, r *Reserver, epoch contractor.Epoch) (Reservation, error) {
	t.Helper()
	ask := r.Ask(start, Request{Key: contractor.RequestKey{1}, Budget: budget, Want: 100})
	return r.Accept(start, ask, Answer{Amount: 100, Epoch: epoch})
}

func reason(t *testing.T, err error) refuser.Reason {
	t.Helper()
	var refusal *refuser.Refusal
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, refuser.NotExecuted, refusal.Execution)
	return refusal.Reason
}

func ExampleReserver() {
	r := New(Config{Self: Holder{VM: "vm-1", Incarnation: 1}})
	now := time.Now()
	ask := r.Ask(now, Request{Budget: contractor.BudgetID{Account: "loft-7", Name: "quotes"}, Want: 900})
	reservation, err := r.Accept(now, ask, Answer{Amount: 900, Epoch: 1})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(r.BeginDispatch(now, reservation) == nil)
	r.Settle(now, reservation, 640)
	for _, record := range r.Unsent(now, now, "loft-7", 10) {
		fmt.Println(record.Amount, record.Used)
	}
	// Output:
	// true
	// 900 640
}

func TestBeginDispatchChecksTheDeadline(t *testing.T) {
	for _, c := range []struct {
		name       string
		dispatched bool
		after      time.Duration
		refused    bool
	}{
		{"in time", false, DefaultDispatchWindow, false},
		{"after a pause", false, DefaultDispatchWindow + time.Millisecond, true},
		{"again within the request", true, DefaultDispatchWindow + DefaultLongestRequest, false},
		{"again after the longest request", true, DefaultDispatchWindow + DefaultLongestRequest + time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(Config{Self: self})
			v, err := reserve(t, r, 1)
			require.NoError(t, err)
			if c.dispatched {
				require.NoError(t, r.BeginDispatch(start, v))
			}
			err = r.BeginDispatch(start.Add(c.after), v)
			require.Equal(t, c.refused, err != nil)
			if c.refused {
				require.Equal(t, refuser.DeadlineUnmeetable, reason(t, err))
			}
		})
	}
}

func TestSeal(t *testing.T) {
	r := New(Config{Self: self})
	given, err := reserve(t, r, 1)
	require.NoError(t, err)
	asked := r.Ask(start, Request{Key: contractor.RequestKey{2}, Budget: budget, Want: 50})
	report := r.Seal(start, "loft-7", 2)
	require.Len(t, report.Records, 1)
	require.Equal(t, given.ID, report.Records[0].Ref.ID)
	_, err = r.Accept(start, asked, Answer{Amount: 50, Epoch: 1})
	require.Equal(t, refuser.BudgetUnreachable, reason(t, err))
	require.NoError(t, r.BeginDispatch(start, given), "the new keeper knows it")
	require.True(t, r.Seal(start, "loft-7", 1).Refused)
	released := r.Unsent(start, start, "loft-7", 10)
	require.Len(t, released, 1)
	require.Zero(t, released[0].Used)
	require.False(t, r.Applied("loft-7", 1, []uint64{asked.ID}), "a replaced keeper has applied it")
	require.True(t, r.Applied("loft-7", 2, []uint64{asked.ID}))
}

func TestAnswersAndSettlementsCountOnce(t *testing.T) {
	r := New(Config{Self: self})
	ask := r.Ask(start, Request{Key: contractor.RequestKey{1}, Budget: budget, Want: 100})
	v, err := r.Accept(start, ask, Answer{Amount: 100, Epoch: 1})
	require.NoError(t, err)
	require.NoError(t, r.BeginDispatch(start, v))
	_, err = r.Accept(start, ask, Answer{Amount: 100, Epoch: 1})
	require.Error(t, err)
	r.Abandon(start, ask, true)
	r.Settle(start, v, 70)
	r.Settle(start, v, 20)
	records := r.Unsent(start, start, "loft-7", 10)
	require.Len(t, records, 1)
	require.Equal(t, contractor.Tokens(70), records[0].Used)
	require.Empty(t, r.Unsent(start, start.Add(-time.Second), "loft-7", 10))
	r.Unsend("loft-7", records)
	require.Len(t, r.Unsent(start, start.Add(-time.Second), "loft-7", 10), 1)
	r.Acknowledge("loft-7", []uint64{v.ID})
	require.Empty(t, r.Accounts())
}

func TestWitness(t *testing.T) {
	r := New(Config{Self: self})
	keeper := Holder{VM: "vm-2", Incarnation: 1}
	record := Record{Ref: Ref{keeper, 1}, Amount: 10, Epoch: 1}
	update := WitnessUpdate{Account: "loft-7", Epoch: 1, Generation: 1, Records: []Record{record}}
	require.Equal(t, WitnessIncomplete, r.Witness(keeper, update))
	update.Whole = true
	require.Equal(t, WitnessKept, r.Witness(keeper, update))
	require.Equal(t, []Duty{{"loft-7", keeper}}, r.Duties())
	transfer := biller.Transfer{ID: biller.TransferID{1}}
	more := WitnessUpdate{Account: "loft-7", Epoch: 1, Generation: 1, Drop: []Ref{record.Ref}, Transfers: []biller.Transfer{transfer}}
	require.Equal(t, WitnessKept, r.Witness(keeper, more))
	next := WitnessUpdate{Account: "loft-7", Epoch: 2, Generation: 1, Whole: true}
	require.Equal(t, WitnessKept, r.Witness(self, next))
	report := r.Seal(start, "loft-7", 3)
	require.Len(t, report.Witnessed, 2, "an unfinished takeover keeps the former keeper's state")
	require.Equal(t, []biller.Transfer{transfer}, report.Witnessed[0].Transfers)
	require.Empty(t, report.Witnessed[0].Records)
	require.Equal(t, WitnessSealed, r.Witness(self, next))
}

func TestExpiredReservationsAreSettled(t *testing.T) {
	r := New(Config{Self: self})
	v, err := reserve(t, r, 1)
	require.NoError(t, err)
	require.NoError(t, r.BeginDispatch(start, v))
	_, err = reserve(t, r, 1)
	require.NoError(t, err)
	require.Zero(t, r.Expired(v.EndBy.Add(-time.Millisecond)))
	require.Equal(t, 2, r.Expired(v.EndBy))
	var used contractor.Tokens
	for _, record := range r.Unsent(v.EndBy, v.EndBy, "loft-7", 10) {
		used += record.Used
	}
	require.Equal(t, v.Amount, used, "only the dispatched one is charged")
}
