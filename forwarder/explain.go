package forwarder

import (
	"fmt"
	"time"

	"laburnumline/apportioner"
	"laburnumline/balancer"
	"laburnumline/contractor"
	"laburnumline/quarantiner"
	"laburnumline/refuser"
	"laburnumline/registrar"
	"laburnumline/resolver"
)

// Explainers are the variants of decisions that change nothing.
type Explainers struct {
	Balancer interface {
		Explain(now time.Time, q balancer.Query) balancer.Explanation
		PartCached(now time.Time, list []registrar.Upstream, id uint64) bool
	}
	Budgets interface {
		Explain(account contractor.Account, maxCost contractor.Tokens) apportioner.Share
	}
	Quarantine interface {
		PeekParts(now time.Time, parts []quarantiner.Digest) (quarantiner.Digest, quarantiner.Verdict)
	}
}

// Explanation says what the daemon would do with a request now.
type Explanation struct {
	Version int64
	// Route, Account and Service are nil as far as they are not found or not needed.
	Route   *resolver.Route
	Account *resolver.Account
	Service *resolver.Service
	Share   *apportioner.Share
	// Quarantine is the verdict on the prompt parts.
	Quarantine quarantiner.Verdict
	// Unreachable is true if another daemon would be asked, because this one reaches no upstream.
	Unreachable bool
	// UncachedParts has the indices of the shared prompt parts that no upstream is known to have cached.
	UncachedParts []int
	Choice        balancer.Explanation
	// Refusal is set if the request would be refused.
	Refusal *refuser.Refusal
}

// UnknownError says which input of an explanation is unknown.
type UnknownError struct{ Input, Detail string }

func (e *UnknownError) Error() string { return fmt.Sprintf("unknown %s: %s", e.Input, e.Detail) }

// Explain says what the daemon would do with a request now. Nothing is sent, reserved or counted. Of a traffic
// split, the first service is explained.
func (f *Forwarder) Explain(now time.Time, r *Request, e Explainers) (*Explanation, error) {
	config := f.config
	config.Recorder, config.Random = nil, func() float64 { return 0 }
	x := &exchange{forwarder: &Forwarder{config: config}, request: r}
	refusal := x.resolve()
	explained := &Explanation{Version: x.version, Route: x.route, Account: x.account, Service: x.service, Refusal: refusal}
	if refusal != nil {
		switch refusal.Reason {
		case refuser.NoRoute:
			input := "host"
			if config.Tables.Table().HasHost(r.Host) {
				input = "path"
			}
			return nil, &UnknownError{Input: input, Detail: refusal.Detail}
		case refuser.Unauthorized:
			return nil, &UnknownError{Input: "key", Detail: fmt.Sprintf("route %q needs the key of an account", x.routeName())}
		}
	}
	if x.service == nil {
		return explained, nil
	}
	if x.service.Engine && r.PromptTokens <= 0 {
		return nil, &UnknownError{Input: "prompt", Detail: fmt.Sprintf("service %q is an engine and needs the tokens of the prompt", x.service.Name)}
	}
	explained.add(refusal)
	explained.Unreachable = x.unreachable()
	if x.account != nil && x.service.Engine {
		share := e.Budgets.Explain(x.account.Name, r.PromptTokens+r.MaxOutputTokens)
		explained.Share = &share
		if !share.Waits {
			explained.add(share.Refusal)
		}
	}
	x.explainQuarantine(now, e, explained)
	x.explainChoice(now, e, explained)
	return explained, nil
}

// add records a refusal, unless an earlier step refuses the request.
func (e *Explanation) add(refusal *refuser.Refusal) {
	if e.Refusal == nil {
		e.Refusal = refusal
	}
}

func (x *exchange) explainQuarantine(now time.Time, e Explainers, explained *Explanation) {
	_, explained.Quarantine = e.Quarantine.PeekParts(now, x.sharedParts())
	if explained.Quarantine == quarantiner.Quarantined {
		explained.add(quarantineRefusal(quarantinedPartDetail))
	}
}

// explainChoice explains the choice, and adds the upstreams that are left out before it.
func (x *exchange) explainChoice(now time.Time, e Explainers, explained *Explanation) {
	upstreams := x.forwarder.config.Upstreams
	query := x.query()
	explained.Choice = e.Balancer.Explain(now, query)
	for i, p := range x.request.PromptParts {
		if i < len(x.request.PromptParts)-1 && !e.Balancer.PartCached(now, query.Candidates, p.ID) {
			explained.UncachedParts = append(explained.UncachedParts, i)
		}
	}
	if !explained.Choice.Chosen {
		explained.add(notChosen(&explained.Choice.Choice))
	}
	candidates := make(map[registrar.Name]bool, len(query.Candidates))
	for i := range query.Candidates {
		candidates[query.Candidates[i].Name] = true
	}
	leaveOut := func(u registrar.Upstream, why balancer.Exclusion) {
		explained.Choice.Candidates = append(explained.Choice.Candidates, balancer.CandidateExplanation{Upstream: u, Exclusion: why})
	}
	for _, u := range upstreams.Of(x.service.Name) {
		switch {
		case candidates[u.Name]:
		case !x.isHome(u.Zone):
			leaveOut(u, balancer.OutsideHome)
		default:
			leaveOut(u, balancer.OtherSoftware)
		}
	}
	for _, u := range upstreams.EvacuatedOf(x.service.Name) {
		leaveOut(u, balancer.EvacuatedZone)
	}
}
