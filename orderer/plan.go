package orderer

import (
	"cmp"
	"slices"

	"laburnumline/contractor"
)

// EngineState is what one engine serves now.
type EngineState struct {
	Upstream contractor.Upstream
	// Models are the models, adapters and versions that are loaded.
	Models []string
	// Capacity is the number of models that the engine has memory for. Zero means 1.
	Capacity int
	// Load is the work at the engine, to disturb the idle ones first.
	Load int
}

func (s *EngineState) capacity() int { return max(s.Capacity, 1) }

// Requirement is the number of engines that a model needs, without the spare.
type Requirement struct {
	Model   string
	Engines int
}

// Step is one order of a plan.
type Step struct {
	Upstream contractor.Upstream
	Order    Order
}

// Requirements returns the models that the contracts in force pay for. Each needs one
// engine, or as many as demand says.
func Requirements(contracts []contractor.Contract, demand map[string]int) []Requirement {
	wanted := make(map[string]bool)
	for _, c := range contracts {
		if c.Retired {
			continue
		}
		for _, b := range c.Budgets {
			for _, m := range b.Models {
				wanted[m] = true
			}
		}
	}
	needs := make([]Requirement, 0, len(wanted))
	for m := range wanted {
		needs = append(needs, Requirement{Model: m, Engines: max(demand[m], 1)})
	}
	slices.SortFunc(needs, func(a, b Requirement) int { return cmp.Compare(a.Model, b.Model) })
	return needs
}

// Plan returns the loads that keep every needed model served with one spare
// engine each. First every model gets its engines, then the spares follow. A
// model is unloaded only to make room, and only where it leaves enough behind.
func Plan(needs []Requirement, engines []EngineState) []Step {
	p := newPlanner(needs, engines)
	for spare := range 2 {
		for _, n := range needs {
			for p.serving[n.Model] < n.Engines+spare {
				if !p.addEngine(n.Model, spare == 1) {
					break
				}
			}
		}
	}
	return p.steps
}

// planner works on a copy of what the engines serve.
type planner struct {
	engines  []EngineState
	required map[string]int
	serving  map[string]int
	steps    []Step
}

func newPlanner(needs []Requirement, engines []EngineState) *planner {
	p := &planner{required: make(map[string]int), serving: make(map[string]int)}
	for _, n := range needs {
		p.required[n.Model] = n.Engines
	}
	for _, e := range engines {
		if e.Upstream.Leaving {
			continue
		}
		e.Models = slices.Clone(e.Models)
		p.engines = append(p.engines, e)
		for _, m := range e.Models {
			p.serving[m]++
		}
	}
	slices.SortStableFunc(p.engines, func(a, b EngineState) int { return cmp.Compare(a.Load, b.Load) })
	return p
}

// addEngine loads a model on the engine where that disturbs least.
func (p *planner) addEngine(model string, spare bool) bool {
	for i := range p.engines {
		e := &p.engines[i]
		if len(e.Models) < e.capacity() && !slices.Contains(e.Models, model) {
			p.planLoad(e, model)
			return true
		}
	}
	for i := range p.engines {
		e := &p.engines[i]
		if slices.Contains(e.Models, model) {
			continue
		}
		if surplus := p.surplusModel(e, spare); surplus != "" {
			p.planUnload(e, surplus)
			p.planLoad(e, model)
			return true
		}
	}
	return false
}

// surplusModel returns a loaded model that has more engines than it needs.
func (p *planner) surplusModel(e *EngineState, spare bool) string {
	for _, m := range e.Models {
		limit, needed := p.required[m]
		if needed && spare {
			limit++
		}
		if p.serving[m] > limit {
			return m
		}
	}
	return ""
}

func (p *planner) planLoad(e *EngineState, model string) {
	e.Models = append(e.Models, model)
	p.serving[model]++
	p.steps = append(p.steps, Step{e.Upstream, Order{Action: Load, Model: model}})
}

func (p *planner) planUnload(e *EngineState, model string) {
	e.Models = slices.DeleteFunc(e.Models, func(m string) bool { return m == model })
	p.serving[model]--
	p.steps = append(p.steps, Step{e.Upstream, Order{Action: Unload, Model: model}})
}
