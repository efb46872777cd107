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
	r.RecordFirstAttempt(start, "loft-7", "order-desk")
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
				r.RecordFirstAttempt(now, account, "m")
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
		r.RecordFirstAttempt(start, "quiet", "m")
	}
	r.RecordFirstAttempt(start, "failing", "m")
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
	require.False(t, r.TakeSecondSend(start, "loft-7", "draft"), "no reserve for second sends")
	for range 3 {
		r.RecordFirstAttempt(start, "loft-7", "draft")
	}
	require.True(t, r.TakeSecondSend(start, "loft-7", "draft"))
	r.ReturnSecondSend(start, "loft-7", "draft")
	require.True(t, r.TakeSecondSend(start, "loft-7", "draft"))
	require.True(t, r.TakeSecondSend(start, "loft-7", "draft"))
	require.False(t, r.TakeSecondSend(start, "loft-7", "draft"))
	require.True(t, r.Decide(start, "loft-7", "draft", 1, time.Time{}, failure).Retry)
	require.False(t, r.Decide(start, "loft-7", "draft", 1, time.Time{}, failure).Retry)
	r.RecordFirstAttempt(start, "other", "draft")
	r.RecordFirstAttempt(start, "other", "draft")
	require.True(t, r.TakeSecondSend(start, "other", "draft"))
	require.False(t, r.TakeSecondSend(start, "other", "draft"), "the account has one left, the target as well")
	require.True(t, r.Decide(start, "other", "draft", 1, time.Time{}, failure).Retry)
}

// Guards against retries that are saved in a calm time, or that a daemon makes anew after a restart: when upstreams fail
// for all daemons at once, each would spend them in the same seconds.
func TestWindowLimitsRetries(t *testing.T) {
	rejected := Failure{Phase: NotSent, Overloaded: true}
	crashed := Failure{Phase: NotSent, UpstreamDown: true}
	fleet := func(count int, known bool) func() (int, bool) { return func() (int, bool) { return count, known } }
	tests := []struct {
		name    string
		config  Config
		calm    time.Duration // with one first attempt in each 100 ms
		pause   time.Duration // between the calm time and the failures
		failure Failure
		retries int
	}{
		{"a fraction of one window", Config{TargetRatio: 0.2}, time.Minute, 0, rejected, 20},
		{"older first attempts do not count", Config{TargetRatio: 0.2}, time.Minute, 5 * time.Second, rejected, 10},
		{"nothing is left of an earlier window", Config{TargetRatio: 0.2}, time.Minute, 11 * time.Second, rejected, 0},
		{"another window", Config{TargetRatio: 0.2, Window: 2 * time.Second}, time.Minute, 0, rejected, 4},
		{"share after crashes", Config{TargetRatio: 0.2, Allowance: 16, Members: fleet(8, true)}, time.Minute, 0, crashed, 22},
		{"no share after rejections", Config{TargetRatio: 0.2, Allowance: 16, Members: fleet(8, true)}, time.Minute, 0, rejected, 20},
		{"no share of an unknown fleet", Config{TargetRatio: 0.2, Allowance: 16, Members: fleet(8, false)}, time.Minute, 0, crashed, 20},
		{"a daemon alone", Config{TargetRatio: 0.2, Allowance: 100, Members: fleet(1, true)}, time.Minute, 0, crashed, 20 + maxShare},
		{"first window", Config{TargetRatio: 0.2, StartedAt: start}, 9 * time.Second, 0, crashed, 0},
		{"after the first window", Config{TargetRatio: 0.2, StartedAt: start}, 12 * time.Second, 0, rejected, 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.config.AccountRatio, tt.config.Burst, tt.config.Random = 1, 1000, func() float64 { return 0 }
			r := New(tt.config)
			now := start
			for ; now.Before(start.Add(tt.calm)); now = now.Add(100 * time.Millisecond) {
				r.RecordFirstAttempt(now, "loft-7", "m")
			}
			now = now.Add(tt.pause - time.Millisecond)
			retries := 0
			for r.Decide(now, "loft-7", "m", 1, time.Time{}, tt.failure).Retry {
				retries++
			}
			require.Equal(t, tt.retries, retries)
			if tt.retries > 0 {
				later := now.Add(r.config.Window / 2)
				require.False(t, r.Decide(later, "loft-7", "m", 1, time.Time{}, tt.failure).Retry, "the window has not passed")
			}
		})
	}
}

// The fleet may seem to shrink because other daemons no longer reach the store. They use their shares nevertheless.
func TestShareFollowsLargestFleet(t *testing.T) {
	members := 60
	c := Config{Allowance: 120, Window: 10 * time.Second, Members: func() (int, bool) { return members, true }}
	f := fleetSize{}
	require.Equal(t, 2.0, f.share(start, &c))
	members = 48
	require.Equal(t, 2.0, f.share(start.Add(fleetRetention-time.Second), &c))
	require.Equal(t, 2.5, f.share(start.Add(fleetRetention+time.Second), &c))
	members = 80
	require.Equal(t, 1.5, f.share(start.Add(fleetRetention+3*time.Second), &c))
}
