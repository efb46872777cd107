package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumline/apportioner"
	"laburnumline/balancer"
	"laburnumline/contractor"
	"laburnumline/refuser"
	"laburnumline/registrar"
)

type fixedShare struct{ share apportioner.Share }

func (s fixedShare) Explain(contractor.Account, contractor.Tokens) apportioner.Share { return s.share }

// Guards against an explanation that omits an upstream or why it is left out, that does not tell which input is
// unknown, or that gives another refusal than the request would get.
func TestExplainTellsWhatIsUnknownLeftOutAndRefused(t *testing.T) {
	s := newFakeUpstreams(t, fakeResponse{status: 200})
	s.list[1].Zone = "south"
	s.evacuated, s.list = s.list[3:], s.list[:3]
	f := s.forwarder()
	explainers := Explainers{Balancer: f.config.Balancer.(*balancer.Balancer), Budgets: fixedShare{apportioner.Share{Fits: true}}, Quarantine: s.quarantine}
	route, _ := s.table.Route("a.example", "/again/")
	route.AllowedRegions = []string{"north"}
	f.config.RegionOf = func(zone string) string { return map[string]string{"": "north"}[zone] }
	request := Request{Host: "a.example", Path: "/again/", Key: "key", PromptTokens: 100, ReceivedAt: time.Now(), PromptParts: []balancer.Part{{ID: 1, Tokens: 90}, {ID: 2, Tokens: 10}}}

	e, err := f.Explain(time.Now(), &request, explainers)
	require.NoError(t, err)
	require.Nil(t, e.Refusal)
	require.True(t, e.Choice.Chosen)
	require.Equal(t, []int{0}, e.UncachedParts)
	excluded := map[registrar.Name]balancer.Exclusion{}
	for _, c := range e.Choice.Candidates {
		excluded[c.Upstream.Name] = c.Exclusion
	}
	require.Equal(t, map[registrar.Name]balancer.Exclusion{"i0": "", "i1": balancer.OutsideHome, "i2": "", "i3": balancer.EvacuatedZone}, excluded)
	require.Empty(t, s.calls)

	for input, change := range map[string]func(r *Request){
		"host": func(r *Request) { r.Host = "b.example" }, "path": func(r *Request) { r.Path = "/none" },
		"key": func(r *Request) { r.Key = "secret-key" }, "prompt": func(r *Request) { r.PromptTokens = 0 },
	} {
		changed := request
		change(&changed)
		_, err := f.Explain(time.Now(), &changed, explainers)
		require.ErrorContains(t, err, "unknown "+input+":")
		require.NotContains(t, err.Error(), "secret-key")
	}

	explainers.Budgets = fixedShare{apportioner.Share{Limited: true, Refusal: refuser.New(refuser.BudgetUnreachable, "reserve").WithRetryAfter(time.Second)}}
	e, err = f.Explain(time.Now(), &request, explainers)
	require.NoError(t, err)
	require.Equal(t, refuser.BudgetUnreachable, e.Refusal.Reason)
	require.Equal(t, time.Second, e.Refusal.RetryAfter)
	s.list = nil
	e, err = f.Explain(time.Now(), &request, explainers)
	require.NoError(t, err)
	require.Equal(t, refuser.Evacuated, e.Refusal.Reason)
	require.Equal(t, evacuatedRetryAfter, e.Refusal.RetryAfter)
}
