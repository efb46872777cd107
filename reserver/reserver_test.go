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
	self   = DaemonID{VM: "vm-1", Incarnation: 1}
)

// reserve100 requests 100 tokens that a keeper of the epoch grants.
func reserve100(t *testing.T, r *Reserver, epoch contractor.Epoch) (Reservation, error) {
	t.Helper()
	pending := r.Begin(start, Request{Key: contractor.RequestKey{1}, Budget: budget, Amount: 100})
	return r.Accept(start, pending, Response{Amount: 100, Epoch: epoch})
}

func refusalReason(t *testing.T, err error) refuser.Reason {
	t.Helper()
	var refusal *refuser.Refusal
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, refuser.NotExecuted, refusal.Execution)
	return refusal.Reason
}

func ExampleReserver() {
	r := New(Config{Self: DaemonID{VM: "vm-1", Incarnation: 1}})
	now := time.Now()
	pending := r.Begin(now, Request{Budget: contractor.BudgetID{Account: "loft-7", Name: "quotes"}, Amount: 900})
	reservation, err := r.Accept(now, pending, Response{Amount: 900, Epoch: 1})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(r.BeginDispatch(now, reservation) == nil)
	r.Settle(now, reservation, 640)
	for _, record := range r.TakeUnreported(now, now, "loft-7", 10) {
		fmt.Println(record.Amount, record.Used)
	}
	// Output:
	// true
	// 900 640
}

// Guards against a dispatch after the keeper has counted the reservation as expired: the
// daemon was suspended between the grant and the dispatch, or retries go on too long.
func TestBeginDispatchEnforcesDeadlines(t *testing.T) {
	for _, c := range []struct {
		name       string
		dispatched bool
		after      time.Duration
		refused    bool
	}{
		{"first dispatch at the deadline", false, DefaultDispatchWindow, false},
		{"first dispatch after the deadline", false, DefaultDispatchWindow + time.Millisecond, true},
		{"repeated dispatch at the end of the request", true, DefaultDispatchWindow + DefaultLongestRequest, false},
		{"repeated dispatch after the end of the request", true, DefaultDispatchWindow + DefaultLongestRequest + time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(Config{Self: self})
			v, err := reserve100(t, r, 1)
			require.NoError(t, err)
			if c.dispatched {
				require.NoError(t, r.BeginDispatch(start, v))
			}
			err = r.BeginDispatch(start.Add(c.after), v)
			require.Equal(t, c.refused, err != nil)
			if c.refused {
				require.Equal(t, refuser.DeadlineUnmeetable, refusalReason(t, err))
			}
		})
	}
}

// Guards against two keepers spending the same tokens: after a seal, a response of the
// former keeper arrives that the new keeper knows nothing of. The amount has to be refused
// and released to the new keeper; a reservation granted before the seal stays valid.
func TestSealKeepsGrantedReservationsOnly(t *testing.T) {
	r := New(Config{Self: self})
	granted, err := reserve100(t, r, 1)
	require.NoError(t, err)
	pending := r.Begin(start, Request{Key: contractor.RequestKey{2}, Budget: budget, Amount: 50})
	response := r.Seal(start, "loft-7", 2)
	require.Len(t, response.Records, 1)
	require.Equal(t, granted.ID, response.Records[0].Ref.ID)
	_, err = r.Accept(start, pending, Response{Amount: 50, Epoch: 1})
	require.Equal(t, refuser.BudgetUnreachable, refusalReason(t, err))
	require.NoError(t, r.BeginDispatch(start, granted), "the seal has reported this reservation to the new keeper")
	require.True(t, r.Seal(start, "loft-7", 1).Refused)
	released := r.TakeUnreported(start, start, "loft-7", 10)
	require.Len(t, released, 1)
	require.Zero(t, released[0].Used)
	require.False(t, r.AcknowledgeReleases("loft-7", 1, []uint64{pending.ID}), "only the replaced keeper has applied the release")
	require.True(t, r.AcknowledgeReleases("loft-7", 2, []uint64{pending.ID}))
}

// Guards against double accounting: a keeper's response arrives twice, or a request is
// settled twice. The first settlement counts, and it is reported until it is acknowledged.
func TestResponsesAndSettlementsCountOnce(t *testing.T) {
	r := New(Config{Self: self})
	pending := r.Begin(start, Request{Key: contractor.RequestKey{1}, Budget: budget, Amount: 100})
	v, err := r.Accept(start, pending, Response{Amount: 100, Epoch: 1})
	require.NoError(t, err)
	require.NoError(t, r.BeginDispatch(start, v))
	_, err = r.Accept(start, pending, Response{Amount: 100, Epoch: 1})
	require.Error(t, err)
	r.Abandon(start, pending, true)
	r.Settle(start, v, 70)
	r.Settle(start, v, 20)
	records := r.TakeUnreported(start, start, "loft-7", 10)
	require.Len(t, records, 1)
	require.Equal(t, contractor.Tokens(70), records[0].Used)
	require.Empty(t, r.TakeUnreported(start, start.Add(-time.Second), "loft-7", 10))
	r.MarkUnreported("loft-7", records)
	require.Len(t, r.TakeUnreported(start, start.Add(-time.Second), "loft-7", 10), 1)
	r.Acknowledge("loft-7", []uint64{v.ID})
	require.Empty(t, r.CountsByAccount())
}

// Guards against the loss of a former keeper's state: its successor names the same witness
// and fails before it has taken over. The witness has to report both replicas to the third
// keeper. It also has to refuse partial updates without a full one, and sealed epochs.
func TestWitnessKeepsStateUntilTakeoverCompletes(t *testing.T) {
	r := New(Config{Self: self})
	keeper := DaemonID{VM: "vm-2", Incarnation: 1}
	record := Record{Ref: Ref{keeper, 1}, Amount: 10, Epoch: 1}
	update := WitnessUpdate{Account: "loft-7", Epoch: 1, Generation: 1, Records: []Record{record}}
	require.Equal(t, WitnessIncomplete, r.Witness(keeper, update))
	update.Full = true
	require.Equal(t, WitnessKept, r.Witness(keeper, update))
	require.Equal(t, []WitnessedKeeper{{"loft-7", keeper}}, r.WitnessedKeepers())
	transfer := biller.Transfer{ID: biller.TransferID{1}}
	partial := WitnessUpdate{Account: "loft-7", Epoch: 1, Generation: 1, DropRecords: []Ref{record.Ref}, Transfers: []biller.Transfer{transfer}}
	require.Equal(t, WitnessKept, r.Witness(keeper, partial))
	next := WitnessUpdate{Account: "loft-7", Epoch: 2, Generation: 1, Full: true}
	require.Equal(t, WitnessKept, r.Witness(self, next))
	response := r.Seal(start, "loft-7", 3)
	require.Len(t, response.Witnessed, 2, "an incomplete takeover has removed the former keeper's replica")
	require.Equal(t, []biller.Transfer{transfer}, response.Witnessed[0].Transfers)
	require.Empty(t, response.Witnessed[0].Records)
	require.Equal(t, WitnessSealed, r.Witness(self, next))
}

// Guards against reservations that stay open forever because their request never settled
// them, and against charging for one that was never dispatched.
func TestSettleExpiredChargesDispatchedReservations(t *testing.T) {
	r := New(Config{Self: self})
	v, err := reserve100(t, r, 1)
	require.NoError(t, err)
	require.NoError(t, r.BeginDispatch(start, v))
	_, err = reserve100(t, r, 1)
	require.NoError(t, err)
	require.Zero(t, r.SettleExpired(v.EndBy.Add(-time.Millisecond)))
	require.Equal(t, 2, r.SettleExpired(v.EndBy))
	var used contractor.Tokens
	for _, record := range r.TakeUnreported(v.EndBy, v.EndBy, "loft-7", 10) {
		used += record.Used
	}
	require.Equal(t, v.Amount, used, "only the dispatched reservation is charged")
}
