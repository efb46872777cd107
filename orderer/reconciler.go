package orderer

import (
	"context"
	"time"

	"laburnumline/contractor"
	"laburnumline/recorder"
)

// Reconciler keeps the models of the contracts in force served. It periodically
// makes a plan and sends the orders of the plan.
//
// Several reconcilers may run at once for a while, for example when daemons
// disagree on the leader. Fencing numbers and leases keep their orders apart, and
// each plan starts from the models that the engines report.
type Reconciler struct {
	// Orderer sends the orders.
	Orderer *Orderer
	// IsLeader reports whether this daemon is the one that plans.
	IsLeader func() bool
	// Contracts returns the contracts in force.
	Contracts func(ctx context.Context) ([]contractor.Contract, error)
	// Engines returns the state of the engines.
	Engines func(ctx context.Context) ([]EngineState, error)
	// Demand returns the number of engines that each model needs. Nil means one each.
	Demand func() map[string]int
	// Period is the time between two plans. Zero means 1 min.
	Period time.Duration
	// Recorder counts plans. Nil discards them.
	Recorder *recorder.Recorder
}

const defaultPlanPeriod = time.Minute

// Run plans until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	period := r.Period
	if period <= 0 {
		period = defaultPlanPeriod
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if !r.IsLeader() {
			continue
		}
		if err := r.Reconcile(ctx); err != nil {
			r.Recorder.Count("orderer.plan_failed", 1)
		}
	}
}

// Reconcile makes one plan and sends its orders. It stops at the first order that
// fails, because a model must not be unloaded when its replacement did not load.
func (r *Reconciler) Reconcile(ctx context.Context) error {
	contracts, err := r.Contracts(ctx)
	if err != nil {
		return err
	}
	engines, err := r.Engines(ctx)
	if err != nil {
		return err
	}
	var demand map[string]int
	if r.Demand != nil {
		demand = r.Demand()
	}
	for _, step := range Plan(Requirements(contracts, demand), engines) {
		if err := r.Orderer.Send(ctx, step.Upstream, step.Order); err != nil {
			return err
		}
	}
	r.Recorder.Count("orderer.planned", 1)
	return nil
}
