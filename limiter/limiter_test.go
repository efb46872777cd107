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

func fixed(places int) func(string) int { return func(string) int { return places } }

func reasonOf(t *testing.T, err error) refuser.Reason {
	t.Helper()
	var refusal *refuser.Refusal
	require.True(t, errors.As(err, &refusal), "%v", err)
	require.Equal(t, refuser.NotExecuted, refusal.Execution)
	return refusal.Reason
}

func ExampleLimiter() {
	l := New(Config{Capacity: fixed(1)})
	ticket := Ticket{Account: "loft-7", Target: "quote-model", Rate: contractor.Rate{Concurrent: 1}}
	admission, err := l.Admit(context.Background(), ticket)
	fmt.Println(err)
	_, err = l.Admit(context.Background(), ticket)
	fmt.Println(err)
	admission.Release(Outcome{})
	// Output:
	// <nil>
	// admit: refused: concurrency_limited (ran: no): 1 requests of the account run here, its share is 1
}

func TestRateIsHeldAndRefilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{})
		l.SetShare("loft-7", 0.5)
		ticket := Ticket{Account: "loft-7", Target: "m", Rate: contractor.Rate{Requests: 10, Burst: 4}}
		admitted := 0
		for range 100 {
			for {
				a, err := l.Admit(t.Context(), ticket)
				if err != nil {
					require.Equal(t, refuser.RateLimited, reasonOf(t, err))
					break
				}
				a.Release(Outcome{})
				admitted++
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.InDelta(t, 50, admitted, 3, "half of ten a second for ten seconds")
	})
}

func TestQueueRefusals(t *testing.T) {
	tests := []struct {
		name   string
		config Config
		ticket Ticket
		want   refuser.Reason
	}{
		{"length", Config{QueueLength: 1}, Ticket{}, refuser.QueueFull},
		{"bytes", Config{QueueBytes: 10}, Ticket{Bytes: 6}, refuser.QueueFull},
		{"total bytes", Config{TotalBytes: 10}, Ticket{Bytes: 6}, refuser.QueueFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tt.config.Capacity = fixed(1)
				l := New(tt.config)
				first, err := l.Admit(t.Context(), tt.ticket)
				require.NoError(t, err)
				go func() {
					second, err := l.Admit(t.Context(), tt.ticket)
					require.NoError(t, err)
					second.Release(Outcome{})
				}()
				synctest.Wait()
				_, err = l.Admit(t.Context(), tt.ticket)
				require.Equal(t, tt.want, reasonOf(t, err))
				first.Release(Outcome{})
				synctest.Wait()
			})
		})
	}
}

func TestDeadlineInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Capacity: fixed(1)})
		first, err := l.Admit(t.Context(), Ticket{})
		require.NoError(t, err)
		begin := time.Now()
		ticket := Ticket{Deadline: begin.Add(3 * time.Second), Estimate: time.Second}
		_, err = l.Admit(t.Context(), ticket)
		require.Equal(t, refuser.DeadlineUnmeetable, reasonOf(t, err))
		require.Equal(t, 2*time.Second, time.Since(begin))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = l.Admit(ctx, Ticket{})
		require.Equal(t, refuser.Cancelled, reasonOf(t, err))
		first.Release(Outcome{})
		again, err := l.Admit(t.Context(), Ticket{})
		require.NoError(t, err, "those that left the queue hold no place")
		again.Release(Outcome{})
	})
}

func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	g := NewGate("m", Config{Capacity: fixed(1), MaxWait: time.Minute})
	now := time.Unix(0, 0)
	g.interval = time.Second
	w, refusal := g.Offer(now, Ticket{Account: "a"})
	require.Nil(t, refusal)
	require.True(t, w.granted)
	_, refusal = g.Offer(now, Ticket{Account: "a", Deadline: now.Add(3 * time.Second)})
	require.Nil(t, refusal)
	_, refusal = g.Offer(now, Ticket{Account: "a", Deadline: now.Add(time.Second)})
	require.Equal(t, refuser.DeadlineUnmeetable, refusal.Reason)
	require.Equal(t, 2*time.Second, refusal.RetryAfter)
}

func TestPlacesFollowWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(Config{Capacity: fixed(16), QueueLength: 1000})
		var served [2]atomic.Int64
		settled := time.Now().Add(3 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		for i, ticket := range []Ticket{{Account: "small", Weight: 1}, {Account: "large", Weight: 3}} {
			for range 400 {
				go func() {
					admission, err := l.Admit(ctx, ticket)
					if err != nil {
						return
					}
					time.Sleep(time.Second)
					if time.Now().After(settled) {
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

func TestFloodLeavesPlacesToOthers(t *testing.T) {
	g := NewGate("m", Config{Capacity: fixed(32), QueueLength: 1000})
	now := time.Unix(0, 0)
	_, refusal := g.Offer(now, Ticket{Account: "parent"})
	require.Nil(t, refusal)
	for range 500 {
		_, refusal = g.Offer(now, Ticket{Account: "flood"})
		require.Nil(t, refusal)
	}
	w, refusal := g.Offer(now, Ticket{Account: "parent"})
	require.Nil(t, refusal)
	require.True(t, w.granted, "a place is kept")
	require.Equal(t, 1, w.priority)
}

func TestCapacityAdapts(t *testing.T) {
	fast, slow := Outcome{FirstToken: time.Millisecond}, Outcome{FirstToken: time.Minute}
	tests := []struct {
		name    string
		running int
		late    int
		outcome Outcome
		want    float64
	}{
		{"grows when used", 10, 0, fast, 10 * increase},
		{"stays when unused", 5, 0, fast, 10},
		{"tolerates some late ones", 10, 2, slow, 10 * increase},
		{"shrinks when slow", 10, 6, slow, 10 * decrease},
		{"shrinks when overloaded", 10, 10, Outcome{Overloaded: true}, 10 * decrease},
		{"one of three upstreams refuses", 10, 6, Outcome{Overloaded: true}, 10 * increase},
		{"cancelled requests say nothing", 10, 20, Outcome{}, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			config := Config{}.withDefaults()
			now := time.Unix(1, 0)
			c := capacity{places: 10}
			for i := range 20 {
				now = now.Add(window / 18)
				if i < tt.late {
					c.adapt(now, tt.running, tt.outcome, &config)
					continue
				}
				c.adapt(now, tt.running, fast, &config)
			}
			require.Equal(t, tt.want, c.places)
		})
	}
}

func TestLongPromptsDoNotKeepThePlacesFew(t *testing.T) {
	config := Config{}.withDefaults()
	now := time.Unix(1, 0)
	c := capacity{places: 64}
	for range 200 * 20 {
		now = now.Add(window / 18)
		c.adapt(now, int(c.places), Outcome{FirstToken: 2 * time.Second}, &config)
	}
	require.Greater(t, c.places, 64.0, "two seconds are usual here")
	lowest := c.places
	for range 100 * 20 {
		now = now.Add(window / 18)
		c.adapt(now, int(c.places), Outcome{FirstToken: 6 * time.Second}, &config)
		lowest = min(lowest, c.places)
	}
	require.Equal(t, float64(config.MinCapacity), lowest, "six seconds are not")
}

func TestDivideKeepsTheWhole(t *testing.T) {
	shares := Divide([]float64{9, 1, 0, 0}, 0.2)
	total := 0.0
	for _, s := range shares {
		total += s
	}
	require.InDelta(t, 1, total, 1e-9)
	require.Greater(t, shares[0], shares[1])
	require.InDelta(t, 0.05, shares[3], 1e-9)
	require.Equal(t, []float64{0.5, 0.5}, Divide([]float64{0, 0}, 0.2))
}
