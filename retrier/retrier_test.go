package retrier

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
)

var start = time.Unix(1000, 0)

func ExampleRetrier() {
	r := New(Config{Random: func() float64 { return 0.5 }})
	r.RecordFirstAttempt("loft-7", "order-desk")
	order := Failure{Phase: NoResponse, UpstreamDown: true}
	fmt.Println(r.Decide(time.Now(), "loft-7", "order-desk", 1, time.Time{}, order).Reason)
	draft := Failure{Phase: NoResponse, UpstreamDown: true, Repeatable: true}
	d := r.Decide(time.Now(), "loft-7", "quote-model", 1, time.Time{}, draft)
	fmt.Println(d.Retry, d.Delay, d.Reason)
	// Output:
	// not_repeatable
	// true 25ms answer_missing
}

// A retry must be safe, within the attempts, the deadline and the budget. The reason tells
// operators which of these prevented it.
func TestDecideGivesReason(t *testing.T) {
	tests := []struct {
		name     string
		attempt  int
		deadline time.Duration
		failure  Failure
		retry    bool
		resume   bool
		reason   Reason
	}{
		{"not sent", 1, 0, Failure{Phase: NotSent, UpstreamDown: true}, true, false, RequestNotSent},
		{"repeatable", 1, 0, Failure{Phase: NoResponse, UpstreamDown: true, Repeatable: true}, true, false, ResponseMissing},
		{"not repeatable", 1, 0, Failure{Phase: NoResponse, UpstreamDown: true}, false, false, NotRepeatable},
		{"resumable", 2, 0, Failure{Phase: Partial, UpstreamDown: true, Resumable: true}, true, true, StreamBroken},
		{"not resumable", 1, 0, Failure{Phase: Partial, Repeatable: true}, false, false, NotResumable},
		{"attempts", 3, 0, Failure{Phase: NotSent, UpstreamDown: true}, false, false, AttemptsExhausted},
		{"deadline", 1, 60 * time.Millisecond, Failure{Phase: NotSent, UpstreamDown: true}, false, false, DeadlineNear},
		{"overload without budget", 1, 0, Failure{Phase: NotSent, Overloaded: true}, false, false, BudgetExhausted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(Config{Random: func() float64 { return 0.5 }})
			deadline := time.Time{}
			if tt.deadline > 0 {
				deadline = start.Add(tt.deadline)
			}
			d := r.Decide(start, "loft-7", "m", tt.attempt, deadline, tt.failure)
			require.Equal(t, tt.retry, d.Retry)
			require.Equal(t, tt.resume, d.Resume)
			require.Equal(t, tt.reason, d.Reason)
		})
	}
}

// When all attempts fail, unlimited retries multiply the load on upstreams that are
// already overloaded or restarting. Retries must stay below 10 % of the offered load.
func TestRetriesAreLimitedByOfferedLoad(t *testing.T) {
	tests := []struct {
		name     string
		accounts int
		failure  Failure
		offered  int
	}{
		{"overload", 10, Failure{Phase: NoResponse, Repeatable: true, Overloaded: true}, 10},
		{"crashes", 10, Failure{Phase: NotSent, UpstreamDown: true}, 1000},
		{"one account", 1, Failure{Phase: NotSent, UpstreamDown: true}, 1000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := New(Config{})
			retries := 0
			for i := range tt.offered {
				account := contractor.Account(fmt.Sprint(i % tt.accounts))
				now := start.Add(time.Duration(i) * time.Millisecond)
				r.RecordFirstAttempt(account, "m")
				for attempt := 1; r.Decide(now, account, "m", attempt, time.Time{}, tt.failure).Retry; attempt++ {
					retries++
				}
			}
			require.LessOrEqual(t, float64(retries), 0.1*float64(tt.offered))
		})
	}
}

// If one account's failing requests used up the budget of the target, the requests of other
// accounts could not be retried.
func TestFailingAccountCannotUseTargetBudget(t *testing.T) {
	r := New(Config{})
	for range 1000 {
		r.RecordFirstAttempt("quiet", "m")
	}
	r.RecordFirstAttempt("failing", "m")
	used := 0
	for r.Decide(start, "failing", "m", 1, time.Time{}, Failure{Phase: NotSent, UpstreamDown: true}).Retry {
		used++
	}
	require.Equal(t, reserveRetries, used)
	require.True(t, r.Decide(start, "quiet", "m", 1, time.Time{}, Failure{Phase: NotSent, Overloaded: true}).Retry)
}

// Guards against second sends that use up the retries of failed requests, or that are lost to the budget when they
// are not made.
func TestSecondSendsLeaveARetry(t *testing.T) {
	r := New(Config{TargetRatio: 1, AccountRatio: 1, Random: func() float64 { return 0 }})
	failure := Failure{Phase: NoResponse, Repeatable: true}
	require.False(t, r.TakeSecondSend("loft-7", "draft"), "no reserve for second sends")
	for range 3 {
		r.RecordFirstAttempt("loft-7", "draft")
	}
	require.True(t, r.TakeSecondSend("loft-7", "draft"))
	r.ReturnSecondSend("loft-7", "draft")
	require.True(t, r.TakeSecondSend("loft-7", "draft"))
	require.True(t, r.TakeSecondSend("loft-7", "draft"))
	require.False(t, r.TakeSecondSend("loft-7", "draft"))
	require.True(t, r.Decide(start, "loft-7", "draft", 1, time.Time{}, failure).Retry)
	require.False(t, r.Decide(start, "loft-7", "draft", 1, time.Time{}, failure).Retry)
	r.RecordFirstAttempt("other", "draft")
	r.RecordFirstAttempt("other", "draft")
	require.True(t, r.TakeSecondSend("other", "draft"))
	require.False(t, r.TakeSecondSend("other", "draft"), "the account has one left, the target as well")
	require.True(t, r.Decide(start, "other", "draft", 1, time.Time{}, failure).Retry)
}
