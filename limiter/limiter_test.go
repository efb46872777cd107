package limiter

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/contractor"
	"laburnumline/refuser"
)

func fixedCapacity(limit int) func(string) int { return func(string) int { return limit } }

func reasonOf(t *testing.T, err error) refuser.Reason {
	t.Helper()
	var refusal *refuser.Refusal
	require.True(t, errors.As(err, &refusal), "%v", err)
	require.Equal(t, refuser.NotExecuted, refusal.Execution)
	return refusal.Reason
}

func ExampleLimiter() {
	l := New(Config{FixedCapacity: fixedCapacity(1)})
	request := Request{Account: "loft-7", Target: "quote-model", Rate: contractor.Rate{Concurrent: 1}}
	admission, err := l.Admit(context.Background(), request)
	fmt.Println(err)
	_, err = l.Admit(context.Background(), request)
	fmt.Println(err)
	admission.Release(Outcome{})
	// Output:
	// <nil>
	// admit: refused: concurrency_limited (ran: no): 1 requests of the account run here, its share is 1
}

// Guards against a daemon that admits more or less than its share of a rate,
// for example after its bucket was emptied by a burst.
func TestRateLimitRefillsInProportionToShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{})
		l.SetShare("loft-7", 0.5)
		request := Request{Account: "loft-7", Target: "m", Rate: contractor.Rate{Requests: 10, Burst: 4}}
		admitted := 0
		for range 100 {
			for {
				a, err := l.Admit(t.Context(), request)
				if err != nil {
					require.Equal(t, refuser.RateLimited, reasonOf(t, err))
					break
				}
				a.Release(Outcome{})
				admitted++
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.InDelta(t, 50, admitted, 3, "half of 10 requests per second for 10 s")
	})
}

// Guards against queues that exceed a limit on their length or bytes: with one
// slot taken and one request waiting, the next one must be refused.
func TestFullQueueRefusesRequests(t *testing.T) {
	tests := []struct {
		name    string
		config  Config
		request Request
		want    refuser.Reason
	}{
		{"length", Config{MaxQueueLength: 1}, Request{}, refuser.QueueFull},
		{"bytes", Config{MaxQueueBytes: 10}, Request{Bytes: 6}, refuser.QueueFull},
		{"total bytes", Config{MaxTotalQueueBytes: 10}, Request{Bytes: 6}, refuser.QueueFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tt.config.FixedCapacity = fixedCapacity(1)
				l := New(tt.config)
				first, err := l.Admit(t.Context(), tt.request)
				require.NoError(t, err)
				go func() {
					second, err := l.Admit(t.Context(), tt.request)
					require.NoError(t, err)
					second.Release(Outcome{})
				}()
				synctest.Wait()
				_, err = l.Admit(t.Context(), tt.request)
				require.Equal(t, tt.want, reasonOf(t, err))
				first.Release(Outcome{})
				synctest.Wait()
			})
		})
	}
}

// Guards against requests that wait past the last useful start, and against
// abandoned waiters that later occupy a slot.
func TestWaitEndsAtDeadlineOrCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{FixedCapacity: fixedCapacity(1)})
		first, err := l.Admit(t.Context(), Request{})
		require.NoError(t, err)
		begin := time.Now()
		request := Request{Deadline: begin.Add(3 * time.Second), FirstTokenEstimate: time.Second}
		_, err = l.Admit(t.Context(), request)
		require.Equal(t, refuser.DeadlineUnmeetable, reasonOf(t, err))
		require.Equal(t, 2*time.Second, time.Since(begin))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = l.Admit(ctx, Request{})
		require.Equal(t, refuser.Cancelled, reasonOf(t, err))
		first.Release(Outcome{})
		again, err := l.Admit(t.Context(), Request{})
		require.NoError(t, err, "requests that left the queue occupy no slot")
		again.Release(Outcome{})
	})
}

// Guards against queueing a request whose expected wait already exceeds its
// deadline, which would lose the time for a retry elsewhere.
func TestExpectedWaitBeyondDeadlineIsRefused(t *testing.T) {
	target := NewTargetLimiter("m", Config{FixedCapacity: fixedCapacity(1), MaxWait: time.Minute})
	now := time.Unix(0, 0)
	target.completionInterval = time.Second
	w, refusal := target.Submit(now, Request{Account: "a"})
	require.Nil(t, refusal)
	require.True(t, w.admitted)
	_, refusal = target.Submit(now, Request{Account: "a", Deadline: now.Add(3 * time.Second)})
	require.Nil(t, refusal)
	_, refusal = target.Submit(now, Request{Account: "a", Deadline: now.Add(time.Second)})
	require.Equal(t, refuser.DeadlineUnmeetable, refusal.Reason)
	require.Equal(t, 2*time.Second, refusal.RetryAfter)
}

// Guards against weights that do not determine the throughput of accounts with
// full queues.
func TestThroughputFollowsWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{FixedCapacity: fixedCapacity(16), MaxQueueLength: 1000})
		var served [2]atomic.Int64
		warmupEnd := time.Now().Add(3 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		for i, request := range []Request{{Account: "small", Weight: 1}, {Account: "large", Weight: 3}} {
			for range 400 {
				go func() {
					admission, err := l.Admit(ctx, request)
					if err != nil {
						return
					}
					time.Sleep(time.Second)
					if time.Now().After(warmupEnd) {
						served[i].Add(1)
					}
					admission.Release(Outcome{})
				}()
			}
		}
		time.Sleep(time.Minute)
		require.InDelta(t, 3, float64(served[1].Load())/float64(served[0].Load()), 0.2)
	})
}

// Guards against one account that takes all slots: a second account must still
// be admitted at once, with priority.
func TestReservedSlotsAdmitOtherAccounts(t *testing.T) {
	target := NewTargetLimiter("m", Config{FixedCapacity: fixedCapacity(32), MaxQueueLength: 1000})
	now := time.Unix(0, 0)
	_, refusal := target.Submit(now, Request{Account: "parent"})
	require.Nil(t, refusal)
	for range 500 {
		_, refusal = target.Submit(now, Request{Account: "flood"})
		require.Nil(t, refusal)
	}
	w, refusal := target.Submit(now, Request{Account: "parent"})
	require.Nil(t, refusal)
	require.True(t, w.admitted, "a slot was reserved")
	require.Equal(t, 1, w.priority)
}

// Guards against a capacity that changes for the wrong reason: it must not grow
// unused, shrink for a few late tokens or for one of several upstreams, or
// react to cancelled requests.
func TestCapacityAdapts(t *testing.T) {
	fast, slow := Outcome{TimeToFirstToken: time.Millisecond}, Outcome{TimeToFirstToken: time.Minute}
	tests := []struct {
		name    string
		running int
		late    int
		outcome Outcome
		want    float64
	}{
		{"grows when used", 10, 0, fast, 10 * increaseFactor},
		{"stays when unused", 5, 0, fast, 10},
		{"tolerates some late ones", 10, 2, slow, 10 * increaseFactor},
		{"shrinks when slow", 10, 6, slow, 10 * decreaseFactor},
		{"shrinks when overloaded", 10, 10, Outcome{Overloaded: true}, 10 * decreaseFactor},
		{"one of three upstreams refuses", 10, 6, Outcome{Overloaded: true}, 10 * increaseFactor},
		{"cancelled requests are ignored", 10, 20, Outcome{}, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			config := Config{}.withDefaults()
			now := time.Unix(1, 0)
			c := adaptiveCapacity{limit: 10}
			for i := range 20 {
				now = now.Add(evaluationPeriod / 18)
				if i < tt.late {
					c.adapt(now, tt.running, tt.outcome, &config)
					continue
				}
				c.adapt(now, tt.running, fast, &config)
			}
			require.Equal(t, tt.want, c.limit)
		})
	}
}

// Guards against a capacity that stays at its minimum because long prompts
// always exceed the objective. Congestion on top of that must still reduce it.
func TestCapacityGrowsWithLongPrompts(t *testing.T) {
	config := Config{}.withDefaults()
	now := time.Unix(1, 0)
	c := adaptiveCapacity{limit: 64}
	for range 200 * 20 {
		now = now.Add(evaluationPeriod / 18)
		c.adapt(now, int(c.limit), Outcome{TimeToFirstToken: 2 * time.Second}, &config)
	}
	require.Greater(t, c.limit, 64.0, "two seconds are the baseline")
	lowest := c.limit
	for range 100 * 20 {
		now = now.Add(evaluationPeriod / 18)
		c.adapt(now, int(c.limit), Outcome{TimeToFirstToken: 6 * time.Second}, &config)
		lowest = min(lowest, c.limit)
	}
	require.Equal(t, float64(config.MinCapacity), lowest, "six seconds are late")
}

// Guards against shares that add up to more or less than the rate, and against
// a share of zero for a daemon without demand.
func TestDivideRateSharesSumToOne(t *testing.T) {
	shares := DivideRate([]float64{9, 1, 0, 0}, 0.2)
	total := 0.0
	for _, s := range shares {
		total += s
	}
	require.InDelta(t, 1, total, 1e-9)
	require.Greater(t, shares[0], shares[1])
	require.InDelta(t, 0.05, shares[3], 1e-9)
	require.Equal(t, []float64{0.5, 0.5}, DivideRate([]float64{0, 0}, 0.2))
}
