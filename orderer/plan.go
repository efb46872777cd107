package orderer

import (
	"cmp"
	"slices"

	"laburnumline/contractor"
)

// EngineState describes the models that one engine serves now.
type EngineState struct {
	Upstream contractor.Upstream
	// Models are the models, adapters and versions that are loaded.
	Models []string
	// Capacity is the number of models that the engine has memory for. Zero means 1.
	Capacity int
	// Load is the engine's current work. Engines with less work get orders first.
	Load int
}

func (s *EngineState) capacity() int { return max(s.Capacity, 1) }

// Requirement is the number of engines that have to serve a model, not counting
// the spare one.
type Requirement struct {
	Model   string
	Engines int
}

// Step is one order of a plan.
type Step struct {
	Upstream contractor.Upstream
	Order    Order
}

// Requirements returns the requirements of all models in the budgets of contracts
// that are not retired: the number of engines in demand, but at least one.
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
	requirements := make([]Requirement, 0, len(wanted))
	for m := range wanted {
		requirements = append(requirements, Requirement{Model: m, Engines: max(demand[m], 1)})
	}
	slices.SortFunc(requirements, func(a, b Requirement) int { return cmp.Compare(a.Model, b.Model) })
	return requirements
}

// Plan returns the orders after which each required model is served by its number
// of engines and one spare, as far as there is room. The required engines of all
// models come before the spares. A model is unloaded only to make room for
// another, and only if enough other engines serve it.
func Plan(requirements []Requirement, engines []EngineState) []Step {
	p := newPlanner(requirements, engines)
	for spare := range 2 {
		for _, n := range requirements {
			for p.serving[n.Model] < n.Engines+spare {
				if !p.addEngine(n.Model, spare == 1) {
					break
				}
			}
		}
	}
	return p.steps
}

// planner holds the state of the engines as it will be after the planned steps.
type planner struct {
	engines  []EngineState
	required map[string]int
	serving  map[string]int
	steps    []Step
}

func newPlanner(requirements []Requirement, engines []EngineState) *planner {
	p := &planner{required: make(map[string]int), serving: make(map[string]int)}
	for _, n := range requirements {
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

// addEngine plans to load a model on one more engine: the least busy one with room
// or, if there is none, the least busy one that serves a surplus model. It returns
// false if there is neither.
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

// surplusModel returns a model of the engine that more engines serve than
// required. If the room is for a spare, other models keep their spares too.
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
