package router

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/refuser"
	"laburnumline/throttler"
)

func newLimitedRouter(upstreams, limited int, rate float64) *Router {
	limits := throttler.New(throttler.Config{})
	r := New(Config{Zone: "gulf-south-a", Limits: limits})
	list := engines(upstreams)
	r.SetUpstreams(start, list)
	for _, u := range list[:limited] {
		limits.Record(throttler.IDOf(u.Name, 0), throttler.Response{SentAt: start, ReceivedAt: start, Limit: throttler.Limit{Stated: true, Rate: rate}})
	}
	return r
}

// An overloaded upstream must not get more requests than its limit allows, however idle it looks and
// also if all others are ejected.
func TestRouterKeepsRequestLimits(t *testing.T) {
	r := newLimitedRouter(3, 1, 2)
	q := Query{Target: "quote-model", PromptTokens: 100}
	sent := map[string]int{}
	for i := range 400 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		c, err := r.Choose(now, q)
		require.NoError(t, err)
		sent[c.Upstream.Name]++
		outcome := Succeeded
		if c.Upstream.Name != "runner-0" && i > 200 {
			outcome = Crashed
		}
		r.Finish(now, c.Upstream.Name, q, outcome, 0)
	}
	require.LessOrEqual(t, sent["runner-0"], 8)
	require.Positive(t, sent["runner-0"])
}

// If all upstreams state limits, a request beyond them is refused at once and may come again. A
// limited upstream that was not asked for some time gets the next request.
func TestRouterRefusesBeyondRequestLimits(t *testing.T) {
	r := newLimitedRouter(1, 1, 0.5)
	q := Query{Target: "quote-model"}
	_, err := r.Choose(start, q)
	var refusal *refuser.Refusal
	require.True(t, errors.As(err, &refusal))
	require.Equal(t, refuser.UpstreamLimited, refusal.Reason)
	require.Equal(t, refuser.NotExecuted, refusal.Execution)
	require.Equal(t, 2*time.Second, refusal.RetryAfter)

	r = newLimitedRouter(3, 1, 0.5)
	now := start.Add(6 * time.Second)
	_, err = r.Choose(start, q)
	require.NoError(t, err)
	c, err := r.Choose(now, q)
	require.NoError(t, err)
	require.Equal(t, "runner-0", c.Upstream.Name)
}

// Of a large pool only a sample is looked at. It may have none but limited upstreams.
func TestRouterFindsUnlimitedUpstreamInLargePool(t *testing.T) {
	r := newLimitedRouter(400, 399, 0.01)
	for range 50 {
		c, err := r.Choose(start, Query{Target: "quote-model"})
		require.NoError(t, err)
		require.Equal(t, "runner-399", c.Upstream.Name)
	}
}
